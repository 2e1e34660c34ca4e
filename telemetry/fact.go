// Package telemetry decides what a broker tells metrics sinks: which series there are, what each counts, and when a
// sink is dialled, written to, waited for or left alone. It reads no clock and does no I/O.
//
// The rule on series: every request and every attempt is counted once in each dimension (class, plan, node, volume),
// in the series of its own or in the dimension's "other". So the sum over any dimension is the broker's total at every
// cut, however many volumes come and go, while the number of series and their memory stay under bounds that are stated.
package telemetry

// End says how a request ended.
type End uint8

// The ends of a request. They stand in the order of the counters of Counts.
const (
	Served End = iota
	Busy       // refused: trying again is harmless
	Failed
	Left // its client went before the answer
)

// Outcome says how an attempt ended, as package scheduler names it.
type Outcome uint8

// The outcomes of an attempt that was begun.
const (
	Success Outcome = iota
	Failure
	Overloaded
	TimedOut
	Unreachable
	Broken
	Withdrawn
	outcomes // how many there are
)

// FactKind says what a Fact tells.
type FactKind uint8

// The kinds of facts.
const (
	RequestEnded FactKind = iota
	AttemptEnded
	NodeListed
	NodeLeaving // it is listed as draining or gone: nothing new goes there
	NodeUnlisted
)

// Fact is one thing that happened. The strings are read, never kept, unless a series is made of them, which then
// holds a copy.
type Fact struct {
	Kind    FactKind
	End     End     // of RequestEnded
	Outcome Outcome // of AttemptEnded

	Class, Plan, Volume string
	Node                string // of the attempt, or of the request's last one; empty if there was none

	Units   float64 // of the request
	Whole   int64   // of RequestEnded: µs from arrival to the end
	Waiting int64   // of RequestEnded: µs from arrival to the first attempt, or to the end if there was none
	AtNode  int64   // of AttemptEnded: µs from its start to its end
}
