package simwire

import "junctionwharf/scheduler"

// absent stands for a value that is not there, in both directions.
const absent = "-"

// Words that structure the input.
const (
	batchStart  = "FRAME"
	batchEnd    = "EOF_BATCH"
	listStart   = "LIST"
	endpointRow = "M"
)

// eventKind is the word that begins an event line.
type eventKind string

// Event lines, one instance each.
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

// eventFields is the number of fields of each event line, the event's word among them.
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

// Numbers of fields of the lines that are not events.
const (
	batchStartFields  = 3
	listStartFields   = 3
	endpointRowFields = 8
)

// Words of the reply: one for each action of the scheduler, one for a failed instance, and the end of the reply.
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

// Keys of a load report, "key:value" pairs separated by commas. Keys that are not listed here are ignored.
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
