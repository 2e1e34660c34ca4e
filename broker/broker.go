// Package broker is the core of junctionwharf: it takes requests, sends attempts to storage nodes
// as package scheduler decides, and gives each request one final answer. It knows no wire: fronts bring
// requests in through a Loop, and a Transport carries attempts out.
package broker

import (
	"fmt"
	"time"

	"junctionwharf/scheduler"
)

// Micros is a point on the monotonic clock, or a span of it, in whole microseconds.
type Micros int64

// Second is one second.
const Second Micros = 1e6

// Duration is the span as package time counts it.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// MicrosOf cuts a duration down to whole microseconds.
func MicrosOf(d time.Duration) Micros { return Micros(d / time.Microsecond) }

// Request is what a client asks for. The core reads all fields but Message, which is the
// transport's own.
type Request struct {
	Class, Plan, Key, Volume string

	Units     float64
	Shard     int // the shard that holds the data, -1 for a new object
	Brokers   int // brokers through which the volume's requests come
	Retry     bool
	Write     bool
	Timeout   Micros // how long the client waits, from now
	Message   any    // what the transport sends
	Transport Transport
}

// Verdict says how a request ended.
type Verdict int

// The verdicts.
const (
	Served   Verdict = iota // a storage node's answer is in Value
	Rejected                // trying again is harmless
	Failed                  // nothing is promised
)

// Response is the one final answer to a request.
type Response struct {
	Verdict    Verdict
	Value      any    // of Served, as the transport made it; one that is an io.Closer is closed if no client takes it
	RetryAfter Micros // of Rejected: when to come again, 0 for no advice
}

// Streaming is a value that takes its time to be given, and may break meanwhile. Its request counts as open until then.
type Streaming interface {
	// OnEnd has a function called once when the value was given whole, or never will be.
	OnEnd(func(whole bool))
}

// Progress says how far an attempt had come when it broke.
type Progress int

// The steps of an attempt. Only one written whole may have run.
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

// Result is how an attempt or a probe ended by itself. Err, if set, outweighs all else.
type Result struct {
	Err             *AttemptError
	Reply           Reply
	Value           any
	RateUsed        int
	ServedElsewhere float64
	Load            scheduler.LoadReport
}

// Attempt is one sending of a request to one storage node.
type Attempt struct {
	Node      string // its name in the list
	Address   string
	Request   *Request
	Timeout   Micros // how long the broker waits for the answer
	OnWritten func() // the transport calls it once the attempt is written whole; it does not block
}

// Transport carries attempts over a wire. Its methods do not block, and done may be called from any
// goroutine, once at most. A transport never sends an attempt again by itself.
type Transport interface {
	Start(a Attempt, done func(Result)) Handle
	Probe(address string, done func(Result))
	CloseIdle(address string)
}

// Handle stands for an attempt that is out.
type Handle interface {
	// Stop ends the attempt before it returns and tells how far it came; done is not called after.
	Stop() Progress
	// StopSending bars further sending. An attempt that was not written whole yet ends by it.
	StopSending()
	// CancelUnlessWritten ends the attempt unless it was written whole, for nobody waits for it any more: not even a message that is being
	// written goes on. It does not block, and done is called.
	CancelUnlessWritten()
}

// outcome is what package scheduler is told; it follows from the result alone.
func (r Result) outcome() scheduler.Outcome {
	if r.Err != nil {
		if r.Err.Progress == FullyWritten {
			return scheduler.ConnectionBroken
		}
		return scheduler.Unreachable
	}
	return [...]scheduler.Outcome{ReplyOK: scheduler.Success, ReplyError: scheduler.Failure, ReplyRejected: scheduler.Overloaded}[r.Reply]
}
