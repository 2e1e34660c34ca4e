package scheduler

import "time"

// Event is something that a Scheduler receives.
type Event interface{ event() }

// Request is a client's request, which is owed one final answer.
type Request struct {
	ID        uint64
	Class     string
	Plan      string
	Key       string        // the piece of data, empty for none
	Remaining time.Duration // until its deadline
	Volume    string
	Units     float64
	Shard     int  // that holds the data, -1 for a new object
	Brokers   int  // through which the volume's requests come
	Retry     bool // the client says that it asked before
	Write     bool // no rule reads it
}

// TimerFired says that a timer, set by SetTimer, is due.
type TimerFired struct{ Token uint64 }

// ClientGone says that a request needs no final answer of the scheduler any more: its client left, or the
// owner answered it, as at its deadline and on shutdown.
type ClientGone struct{ ID uint64 }

// HealthCheckResult is the result of a HealthCheck. No rule asks for one, and Reduce ignores it.
type HealthCheckResult struct {
	Node    string
	Latency time.Duration
	Outcome Outcome
	Load    LoadReport
}

// PeerMessage carries the bytes of another broker's SendToPeer.
type PeerMessage struct {
	From int // ordinal of the sender
	Data []byte
}

// AttemptEnded says how one attempt of a request ended. Each Forward gets exactly one.
type AttemptEnded struct {
	ID              uint64
	Attempt         int // from 0
	Node            string
	Outcome         Outcome
	Latency         time.Duration
	Finished        bool       // the request is over; if unset the final answer is still owed
	RateUsed        int        // 1 + percent of the plan's rate served, 0 for unknown; no rule reads it
	ServedElsewhere float64    // units of the volume through other brokers; no rule reads it
	Load            LoadReport // no rule reads it
}

// ResponseStarted says that a streamed response has begun; its attempt now belongs to the client.
type ResponseStarted struct {
	ID      uint64
	Attempt int
	Node    string
	Latency time.Duration
}

// EndpointUpdate is a watch event of the endpoint list.
type EndpointUpdate struct {
	Kind      UpdateKind
	Version   uint64 // no rule reads it
	Endpoints []Endpoint
}

// SettingsChanged brings new settings, which passed Validate. Brokers and Ordinal count only when a Scheduler
// starts.
type SettingsChanged struct{ Settings Settings }

// ProcessesChanged says how many processes are this broker together, as while one replaces another, and how
// many more may run without being known.
type ProcessesChanged struct{ Processes, Unseen int }

func (Request) event()           {}
func (TimerFired) event()        {}
func (ClientGone) event()        {}
func (HealthCheckResult) event() {}
func (PeerMessage) event()       {}
func (AttemptEnded) event()      {}
func (ResponseStarted) event()   {}
func (EndpointUpdate) event()    {}
func (SettingsChanged) event()   {}
func (ProcessesChanged) event()  {}

// UpdateKind says how an EndpointUpdate is to be read.
type UpdateKind int

// The kinds of endpoint updates.
const (
	DeltaUpdate  UpdateKind = iota // changed entries only
	FullUpdate                     // all entries; a node that is absent has been removed
	CachedUpdate                   // all entries as last known before a restart, perhaps stale
	FailedUpdate                   // a call failed or the subscription broke; no entries
)

// NodeState is what the endpoint list says of a node.
type NodeState int

// The states of a node.
const (
	Ready NodeState = iota
	Draining
	Removed
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Name      string // of the node
	Zone      string
	Kind      string // no rule reads it
	Shard     int
	State     NodeState
	Weight    float64
	StartedAt Time // when it last started, 0 for long ago

	Priority      int     // of the nodes of a shard, lower goes first while it has a free slot
	TrafficWeight float64 // of the load, against others of its priority; 0 counts as 1
}

// LoadReport is a node's report on itself; fields that the node does not report are negative.
type LoadReport struct {
	InFlight    float64 // requests
	Queued      float64 // requests
	Utilization float64 // part of the processor that is busy
	ServiceTime time.Duration
	ServedRate  float64 // requests a second
	ErrorRate   float64 // errors a second
}

// NoLoadReport is a report without any field.
var NoLoadReport = LoadReport{
	InFlight:    -1,
	Queued:      -1,
	Utilization: -1,
	ServiceTime: -1,
	ServedRate:  -1,
	ErrorRate:   -1,
}

// Outcome says how an attempt or a health check ended.
type Outcome int

// The outcomes. Overloaded, Unreachable and NotSent prove that the attempt never executed.
const (
	Success          Outcome = iota
	Failure                  // the node answered with an error
	Overloaded               // the node rejected it
	TimedOut                 // no answer in time
	Unreachable              // no connection
	ConnectionBroken         // the connection broke before the answer
	Canceled                 // by a Cancel
	NotSent                  // it was over before it left
)

// MayHaveExecuted tells whether an attempt that ended so may have executed.
func (o Outcome) MayHaveExecuted() bool { return o != Overloaded && o != Unreachable && o != NotSent }
