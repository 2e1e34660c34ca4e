package broker

import (
	"fmt"

	"junctionwharf/scheduler"
)

// Progress says how far an attempt had come when it broke.
type Progress int

// The steps of an attempt. Only one that was fully written may have run.
const (
	NotConnected Progress = iota
	PartiallyWritten
	FullyWritten
)

func (p Progress) String() string {
	return [...]string{"not connected", "partly written", "written whole"}[p]
}

// AttemptError is the error of an attempt that got no answer.
type AttemptError struct {
	Progress Progress
	Err      error
}

func (e *AttemptError) Error() string { return fmt.Sprintf("%s: %v", e.Progress, e.Err) }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Err }

// Reply is the kind of answer that a storage node gave.
type Reply int

// The replies.
const (
	ReplyOK       Reply = iota // served
	ReplyError                 // it may have run
	ReplyRejected              // it never ran
)

// Result is how an attempt or a health check ended by itself. Err, if set, outweighs all else.
type Result struct {
	Err             *AttemptError
	Reply           Reply
	Value           any
	RateUsed        int     // as in scheduler.AttemptEnded
	ServedElsewhere float64 // as in scheduler.AttemptEnded
	Load            scheduler.LoadReport
}

// Attempt is one sending of a request to one storage node.
type Attempt struct {
	Node      string // its name in the list
	Address   string
	Request   *Request
	Timeout   Micros // how long the broker waits for the answer
	OnWritten func() // the transport calls it once the attempt is fully written; it does not block
}

// Transport carries attempts over a wire. Its methods are called from the loop's goroutine and do not block; done may
// be called from any goroutine, once at most. A transport never sends an attempt again by itself.
type Transport interface {
	Start(a Attempt, done func(Result)) Handle
	CheckHealth(address string, done func(Result))
	CloseIdle(address string)
}

// Handle stands for an attempt in flight. Its methods are called from the loop's goroutine.
type Handle interface {
	// Stop ends the attempt before it returns and reports how far it came; done is not called after.
	Stop() Progress
	// StopSending bars further sending. An attempt that was not fully written yet ends by it.
	StopSending()
	// CancelUnlessWritten ends the attempt unless it was fully written, for nobody waits for it any more: not even a
	// message that is being written goes on. It does not block, and done is called.
	CancelUnlessWritten()
}

// outcome is what is reported to the scheduler; it follows from the result alone.
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
