package telemetry

// RequestOutcome is the result of a request.
type RequestOutcome uint8

// The outcomes of a request, in the order of the first counters of Counts.
const (
	Served RequestOutcome = iota
	Rejected
	Failed
	Abandoned // the client disconnected before the answer
)

// AttemptOutcome is the result of an attempt, in the terms of package scheduler.
type AttemptOutcome uint8

// The outcomes of a started attempt, in the order of the counters from FirstAttemptOutcome on.
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

// ObservationKind is the type of an Observation.
type ObservationKind uint8

// The kinds of observations.
const (
	RequestEnded ObservationKind = iota
	AttemptEnded
	NodeListed
	NodeDraining // the node is now draining or unlisted and receives no new attempts; a Registry does not count it
	NodeUnlisted // the endpoint list no longer contains the node
)

// Observation is an event in the broker that the registry counts. Registry.Observe keeps no reference to its strings: a
// new row gets a copy of the name.
type Observation struct {
	Kind           ObservationKind
	RequestOutcome RequestOutcome // set for RequestEnded
	AttemptOutcome AttemptOutcome // set for AttemptEnded

	Class, Plan, Volume string
	Node                string // node of the attempt, or of the request's last attempt; empty without an attempt

	Units         float64 // size of the request
	TotalMicros   int64   // for RequestEnded: time from arrival to the end
	QueueMicros   int64   // for RequestEnded: time from arrival to the first attempt, or to the end without an attempt
	AttemptMicros int64   // for AttemptEnded: time from the start of the attempt to its end
}
