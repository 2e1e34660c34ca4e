package simwire

import "junctionwharf/scheduler"

// absent stands for a missing value, in both directions.
const absent = "-"

// Words that delimit batches and endpoint lists in the input.
const (
	batchStart  = "FRAME"
	batchEnd    = "EOF_BATCH"
	listStart   = "LIST"
	endpointRow = "M"
)

// eventKind is the first word of an event line.
type eventKind string

// First words of event lines. Each event is for one instance.
const (
	instanceStarted   eventKind = "START"
	instanceKilled    eventKind = "HALT"
	endpointUpdate    eventKind = "MEMBERSHIP"
	requestArrived    eventKind = "KNOCK"
	timerFired        eventKind = "ALARM"
	clientGone        eventKind = "TIMED_OUT_CLIENT"
	healthCheckResult eventKind = "SAMPLED"
	peerMessage       eventKind = "WHISPER"
	attemptEnded      eventKind = "ENDED"
	responseStarted   eventKind = "HEADERS"
)

// eventFields is the number of fields of each event line, including the first word.
var eventFields = map[eventKind]int{
	instanceStarted:   4,
	instanceKilled:    2,
	endpointUpdate:    5,
	requestArrived:    13,
	timerFired:        3,
	clientGone:        3,
	healthCheckResult: 6,
	peerMessage:       4,
	attemptEnded:      11,
	responseStarted:   6,
}

// Field counts of the lines that are not events, including the first word.
const (
	batchStartFields  = 3
	listStartFields   = 3
	endpointRowFields = 8
)

// Words of the reply: one for each action of the scheduler, the word for a failed instance, the word that ends the
// reply, and the peer field that addresses all peers.
const (
	forwardAction     = "SUBMIT_TO"
	rejectAction      = "TURN_AWAY"
	failAction        = "REPORT_FAILURE"
	cancelAction      = "UNDO_SEND"
	healthCheckAction = "TOUCH"
	sendToPeerAction  = "ANNOUNCE"
	setTimerAction    = "NOTIFY_ME"
	watchAction       = "LISTEN"
	fetchAction       = "LIST_ALL"
	closeIdleAction   = "FREE_LINKS"
	logAction         = "NOTE_DOWN"
	instanceFailed    = "FATAL"
	replyEnd          = "NEXT"
	allPeers          = "all"
)

// Values of a flag, in both directions.
const (
	flagFalse = "0"
	flagTrue  = "1"
)

// Keys of a load report, which is a list of "key:value" pairs separated by commas. Other keys are ignored.
const (
	loadInFlight    = "busy_reqs"
	loadQueued      = "pending"
	loadUtilization = "cpu_share"
	loadServiceTime = "svc_ms" // milliseconds
	loadServedRate  = "served_ps"
	loadErrorRate   = "failed_ps"
)

var outcomes = map[string]scheduler.Outcome{
	"success":     scheduler.Success,
	"failure":     scheduler.Failure,
	"overloaded":  scheduler.Overloaded,
	"timed_out":   scheduler.TimedOut,
	"unreachable": scheduler.Unreachable,
	"broken":      scheduler.ConnectionBroken,
	"withdrawn":   scheduler.Canceled,
	"void":        scheduler.NotSent,
}

var updateKinds = map[string]scheduler.UpdateKind{
	"delta":  scheduler.DeltaUpdate,
	"full":   scheduler.FullUpdate,
	"cached": scheduler.CachedUpdate,
	"failed": scheduler.FailedUpdate,
}

var nodeStates = map[string]scheduler.NodeState{
	"in_service":  scheduler.Ready,
	"terminating": scheduler.Draining,
	"terminated":  scheduler.Removed,
}
