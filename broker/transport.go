package broker

import (
	"fmt"

	"junctionwharf/scheduler"
)

// Progress is how much of an attempt's request was written when the attempt ended.
type Progress int

// The stages of an attempt. Only an attempt whose request was fully written may have run.
const (
	NotConnected Progress = iota
	PartiallyWritten
	FullyWritten
)

func (p Progress) String() string {
	return [...]string{"not connected", "partly written", "written whole"}[p]
}

// AttemptError is the error of an attempt that was not answered.
type AttemptError struct {
	Progress Progress
	Err      error
}

func (e *AttemptError) Error() string { return fmt.Sprintf("%s: %v", e.Progress, e.Err) }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Err }

// Reply is the kind of a storage node's answer.
type Reply int

// The replies.
const (
	ReplyOK       Reply = iota // the request was served
	ReplyError                 // the node answered with an error; the request may have run
	ReplyRejected              // the node rejected the request, which did not run
)

// Result is the result of an attempt or a health check that was not stopped. If Err is set, Reply is ignored.
type Result struct {
	Err             *AttemptError
	Reply           Reply
	Value           any
	ValueDiscarded  bool    // the node served the request, but the broker had no memory for its value
	RateUsed        int     // as in scheduler.AttemptEnded
	ServedElsewhere float64 // as in scheduler.AttemptEnded
	Load            scheduler.LoadReport
}

// Attempt is one attempt to send a request to a storage node and to receive the answer.
type Attempt struct {
	Node      string // the node's name in the list
	Address   string
	Request   *Request
	Timeout   Micros // how long the broker waits for the answer
	OnWritten func() // called by the transport once the request is fully written; it must not block
}

// Transport sends attempts over a protocol. The loop's goroutine calls its methods, which must not block. done may be
// called from any goroutine, at most once. A transport never repeats an attempt on its own.
type Transport interface {
	Start(a Attempt, done func(Result)) Handle
	CheckHealth(address string, done func(Result))
	CloseIdle(address string)
}

// Handle controls an attempt in flight. The loop's goroutine calls its methods.
type Handle interface {
	// Stop ends the attempt and returns its progress. done is not called afterwards.
	Stop() Progress
	// StopSending prevents the attempt from sending more data. An attempt whose request is not fully written yet ends.
	StopSending()
	// CancelUnlessWritten ends the attempt unless its request was fully written. Even a message that is partly written
	// is not completed. CancelUnlessWritten does not block, and done is still called.
	CancelUnlessWritten()
}

// outcome returns the outcome of an attempt or a health check with this result, as the scheduler names it.
func (r Result) outcome() scheduler.Outcome {
	if r.Err == nil {
		return replyOutcomes[r.Reply]
	}
	if r.Err.Progress == FullyWritten {
		return scheduler.ConnectionBroken
	}
	return scheduler.Unreachable
}

var replyOutcomes = [...]scheduler.Outcome{
	ReplyOK:       scheduler.Success,
	ReplyError:    scheduler.Failure,
	ReplyRejected: scheduler.Overloaded,
}
