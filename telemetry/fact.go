// Package telemetry decides what a broker tells metrics sinks: which series there are, what each counts, and when a
// sink is dialled, written to, waited for or left alone. It reads no clock and does no I/O.
//
// The rule on series: every request and every attempt is counted once in each dimension (class, plan, node, volume),
// in the series of its own or in the dimension's "other". So the sum over any dimension is the broker's total at every
// cut, however many volumes come and go, while the number of series and their memory stay under bounds that are stated.
package telemetry

// RequestOutcome says how a request ended.
type RequestOutcome uint8

// The ends of a request. They stand in the order of the counters of Counts.
const (
	Served   RequestOutcome = iota
	Rejected                // refused: trying again is harmless
	Failed
	Abandoned // its client went before the answer
)

// AttemptOutcome says how an attempt ended, as package scheduler names it.
type AttemptOutcome uint8

// The outcomes of an attempt that was begun.
const (
	Success AttemptOutcome = iota
	Failure
	Overloaded
	TimedOut
	Unreachable
	ConnectionBroken
	Canceled
	outcomes // how many there are
)

// ObservationKind says what an Observation tells.
type ObservationKind uint8

// The kinds of facts.
const (
	RequestEnded ObservationKind = iota
	AttemptEnded
	NodeListed
	NodeDraining // it is listed as draining or gone: nothing new goes there
	NodeUnlisted
)

// Observation is one thing that happened. The strings are read, never kept, unless a series is made of them, which then
// holds a copy.
type Observation struct {
	Kind           ObservationKind
	RequestOutcome RequestOutcome // of RequestEnded
	AttemptOutcome AttemptOutcome // of AttemptEnded

	Class, Plan, Volume string
	Node                string // of the attempt, or of the request's last one; empty if there was none

	Units         float64 // of the request
	TotalMicros   int64   // of RequestEnded: µs from arrival to the end
	QueueMicros   int64   // of RequestEnded: µs from arrival to the first attempt, or to the end if there was none
	AttemptMicros int64   // of AttemptEnded: µs from its start to its end
}
