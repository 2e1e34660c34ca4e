package scheduler

import "time"

// Event is an input of Scheduler.Reduce.
type Event interface{ event() }

// Request is a client's request. The scheduler ends it with Reject or Fail, unless the caller reports that no
// such answer is needed: by AttemptEnded with Success or Finished, ResponseStarted or ClientGone.
type Request struct {
	ID        uint64
	Class     string
	Plan      string
	Key       string        // identifies the data that the request uses, empty for none
	Remaining time.Duration // time until the deadline
	Volume    string
	Units     float64
	Shard     int  // shard that stores the data, -1 for a new object
	Brokers   int  // number of brokers that receive the volume's requests
	Retry     bool // the client marked the request as a retry
	Write     bool // no rule reads it
	// Generation is the generation of the settings that the request came under, 0 for the present one.
	Generation uint64
}

// TimerFired reports that a timer set by SetTimer has expired.
type TimerFired struct{ Token uint64 }

// ClientGone reports that a request no longer needs a final answer from the scheduler: its client
// disconnected, or the caller answered it, for example at its deadline or on shutdown.
type ClientGone struct{ ID uint64 }

// HealthCheckResult is the result of a HealthCheck. No rule emits a HealthCheck, and Reduce ignores the
// result.
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

// AttemptEnded reports how one attempt of a request ended. The caller must pass one for each Forward.
type AttemptEnded struct {
	ID              uint64
	Attempt         int // from 0
	Node            string
	Outcome         Outcome
	Latency         time.Duration
	Finished        bool       // the caller has given the client its final answer
	RateUsed        int        // 1 + percent of the plan's rate served, 0 for unknown; no rule reads it
	ServedElsewhere float64    // units of the volume through other brokers; no rule reads it
	Load            LoadReport // no rule reads it
}

// ResponseStarted reports that a streamed response has begun, so that the request needs no other answer.
type ResponseStarted struct {
	ID      uint64
	Attempt int
	Node    string
	Latency time.Duration
}

// EndpointUpdate is one event of the subscription to the endpoint list.
type EndpointUpdate struct {
	Kind      UpdateKind
	Version   uint64 // no rule reads it
	Endpoints []Endpoint
}

// SettingsChanged replaces the settings. The new settings must have passed Validate. Their Brokers and
// Ordinal are ignored: a Scheduler keeps those with which it started. Generation counts the configurations
// of the process, from FirstGeneration. Requests of an earlier generation keep its classes and plans. With
// Generation 0, or the present one, the settings replace those of the present generation.
type SettingsChanged struct {
	Settings   Settings
	Generation uint64
}

// VolumeLimitChanged bounds the number of volumes that are remembered, which is defaultMaxVolumes at first.
type VolumeLimitChanged struct{ MaxVolumes int }

// ProcessesChanged reports the number of known running processes of this broker, which is 2 while one process
// replaces another, and the number of further processes that may run undetected.
type ProcessesChanged struct{ Processes, Unseen int }

func (Request) event()            {}
func (TimerFired) event()         {}
func (ClientGone) event()         {}
func (HealthCheckResult) event()  {}
func (PeerMessage) event()        {}
func (AttemptEnded) event()       {}
func (ResponseStarted) event()    {}
func (EndpointUpdate) event()     {}
func (SettingsChanged) event()    {}
func (VolumeLimitChanged) event() {}
func (ProcessesChanged) event()   {}

// UpdateKind is the kind of an EndpointUpdate.
type UpdateKind int

// The kinds of endpoint updates.
const (
	DeltaUpdate  UpdateKind = iota // changed entries only
	FullUpdate                     // all entries; an absent node has been removed
	CachedUpdate                   // all entries known before a restart, possibly stale
	FailedUpdate                   // the discovery call failed or the subscription broke; no entries
)

// NodeState is the state of a node in the endpoint list.
type NodeState int

// The states of a node.
const (
	Ready NodeState = iota
	Draining
	Removed
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Name      string // identifies the node
	Zone      string
	Kind      string // no rule reads it
	Shard     int
	State     NodeState
	Weight    float64
	StartedAt Time // time of the last start, 0 if long ago

	Priority      int     // in a shard, nodes with a lower value are preferred while they have a slot
	TrafficWeight float64 // relative load among nodes of equal priority; 0 or less counts as 1
}

// LoadReport is a node's report about its own load. Fields that the node does not report are negative.
type LoadReport struct {
	InFlight    float64 // requests
	Queued      float64 // requests
	Utilization float64 // busy fraction of the processor
	ServiceTime time.Duration
	ServedRate  float64 // requests a second
	ErrorRate   float64 // errors a second
}

// NoLoadReport is a LoadReport without any reported field.
var NoLoadReport = LoadReport{
	InFlight:    -1,
	Queued:      -1,
	Utilization: -1,
	ServiceTime: -1,
	ServedRate:  -1,
	ErrorRate:   -1,
}

// Outcome is the result of an attempt or of a health check.
type Outcome int

// The outcomes. Overloaded, Unreachable and NotSent prove that the node did not execute the request.
const (
	Success          Outcome = iota
	Failure                  // the node answered with an error
	Overloaded               // the node rejected the attempt
	TimedOut                 // no answer arrived in time
	Unreachable              // no connection could be made
	ConnectionBroken         // the connection broke before the answer
	Canceled                 // a Cancel stopped the attempt
	NotSent                  // the request ended before the attempt was sent
)

// MayHaveExecuted reports whether the node may have executed the request in an attempt with this outcome.
func (o Outcome) MayHaveExecuted() bool { return o != Overloaded && o != Unreachable && o != NotSent }
