package telemetry

// RequestOutcome says how a request ended.
type RequestOutcome uint8

// The outcomes of a request, in the order of the first counters of Counts.
const (
	Served RequestOutcome = iota
	Rejected
	Failed
	Abandoned // its client disconnected before the answer
)

// AttemptOutcome says how an attempt ended, in the terms of package scheduler.
type AttemptOutcome uint8

// The outcomes of an attempt that was started, in the order of the counters from FirstAttemptOutcome on.
const (
	Success AttemptOutcome = iota
	Failure
	Overloaded
	TimedOut
	Unreachable
	ConnectionBroken
	Canceled
	attemptOutcomeCount
)

// ObservationKind says what an Observation reports.
type ObservationKind uint8

// The kinds of observations.
const (
	RequestEnded ObservationKind = iota
	AttemptEnded
	NodeListed
	NodeDraining // it is listed as draining, or is no longer listed: nothing new is sent to it
	NodeUnlisted
)

// Observation is one thing that happened in the broker. Its strings are read during Registry.Observe alone; a row that
// is made of one keeps a copy.
type Observation struct {
	Kind           ObservationKind
	RequestOutcome RequestOutcome // of RequestEnded
	AttemptOutcome AttemptOutcome // of AttemptEnded

	Class, Plan, Volume string
	Node                string // of the attempt, or of the request's last one; empty if there was none

	Units         float64 // of the request
	TotalMicros   int64   // of RequestEnded: from arrival to the end
	QueueMicros   int64   // of RequestEnded: from arrival to the first attempt, or to the end if there was none
	AttemptMicros int64   // of AttemptEnded: from its start to its end
}
