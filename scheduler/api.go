package scheduler

import (
	"errors"
	"fmt"
	"time"

	"junctionwharf/balancer"
)

// Time is a point on the caller's clock, counted from any fixed start.
type Time = time.Duration

// Settings is what a Scheduler is told when it starts, and again by SettingsChanged. The zero value of a field means that
// the deployment has no such thing (no limit, no reports, no peers).
type Settings struct {
	Brokers        int    // gateways in the tier, this one included
	Ordinal        int    // the number of this gateway among them, from 0
	Zone           string // where this gateway stands
	Classes        []Class
	Plans          []Plan
	Capabilities   Capabilities
	Rules          Rules
	Subscribe      bool          // the node list is sent only to a gateway that asks for it
	MeanUnits      float64       // mean size of a request
	MaxUnits       float64       // largest size of a request
	SlowStartUnits float64       // what a cold node bears from all hosts within Rules.OverloadWindow
	MeterPeriod    time.Duration // period of the meter behind AttemptEnded.RateUsed, 0 for none
	ShareWeight    float64       // part of the worth earned beyond the reserve, inside the share
	SpareWeight    float64       // part of the worth earned beyond reserve and share
	Balancer       balancer.Options
}

// Validate names settings that make no sense.
func (set Settings) Validate() error {
	if set.Brokers < 1 || set.Ordinal < 0 || set.Ordinal >= set.Brokers || len(set.Classes) == 0 {
		return fmt.Errorf("host %d of %d with %d classes", set.Ordinal, set.Brokers, len(set.Classes))
	}
	for _, c := range set.Classes {
		if c.LatencyObjective <= 0 || min(c.Deadline, c.DedupWindow) < 0 {
			return fmt.Errorf("class %q has a time out of range", c.Name)
		}
	}
	for _, p := range set.Plans {
		if min(p.Rate, p.ReservedRate, p.Limit, p.LimitBurst, p.LimitOverdraft, p.Weight) < 0 {
			return fmt.Errorf("plan %q has a negative figure", p.Name)
		}
	}
	if r := set.Rules; min(r.OverloadWindow, r.WarmUpTime, r.RetryBudgetWindow, r.QuietPeriod) < 0 {
		return errors.New("a rule has a negative time")
	}
	return nil
}

// Idempotency says what happens when a request runs twice.
type Idempotency int

// The effects a class may have.
const (
	Idempotent        Idempotency = iota // running again does no harm
	IdempotentWithKey                    // repeats are dropped inside a scope, for a while
	NotIdempotent                        // must not run twice
)

// Scope names the group of nodes that drops repeats of a keyed request.
type Scope int

// The scopes of a keyed class.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeShard
)

// Class is a kind of request.
type Class struct {
	Name             string
	LatencyObjective time.Duration // an answer within it earns full worth
	ObjectiveStretch float64       // further aim, as a multiple of the request's work
	Deadline         time.Duration // the client's patience over all its tries
	PriorityWeight   float64
	LateWeight       float64 // part of the worth earned after the aim
	Idempotency      Idempotency
	Scope            Scope
	DedupWindow      time.Duration // how long repeats of a keyed request are dropped
	Ordered          bool          // requests with one key run in the order of arrival
	Stream           bool
}

// Plan is the contract of a volume. Rates are units a second over all hosts and nodes.
type Plan struct {
	Name           string
	Rate           float64 // usual rate
	ReservedRate   float64
	Limit          float64 // 0 for none
	LimitBurst     float64 // units the limit's store holds
	LimitOverdraft float64 // units that store may fall below zero
	Weight         float64
	Price          float64 // multiplies worth
}

// Capabilities is what the deployment allows.
type Capabilities struct {
	MaxAttempts    int // attempts of one request, 0 for no bound
	MaxRetryAfter  time.Duration
	RetryAfter     bool // clients are told when to come back
	Cancel         bool
	Peers          bool
	HealthChecks   bool
	HedgedRequests bool // two attempts of a request may be out at once
}

// Rules holds the figures of the rules that no run may break.
type Rules struct {
	AnswerSlack       time.Duration
	DrainGrace        time.Duration
	WarmUpTime        time.Duration // a started node is warm after this
	InitialCapacity   float64       // the part of its capacity it starts with, at least
	OverloadWindow    time.Duration
	OverloadMultiple  float64
	PollDeadline      time.Duration
	QuietPeriod       time.Duration // rest of a key after an attempt that may still run
	RetryBudgetMin    float64       // further attempts that need no request
	RetryBudgetRatio  float64       // further attempts for each request taken
	RetryBudgetWindow time.Duration // 0 where no budget holds
}

// Event is something that a Scheduler is told.
type Event interface{ event() }

// Request is a client's request, which is owed one final answer.
type Request struct {
	ID        uint64
	Class     string
	Plan      string
	Key       string // the piece of data, empty for none
	Remaining time.Duration
	Volume    string
	Units     float64
	Shard     int // the shard that holds the data, -1 for a new object
	Brokers   int // gateways through which the volume's requests come
	Retry     bool
	Write     bool
}

// TimerFired is a timer, set by SetTimer, that fell due.
type TimerFired struct{ Token uint64 }

// ClientGone says that a request is over because its client left.
type ClientGone struct{ ID uint64 }

// HealthCheckResult is the result of a HealthCheck.
type HealthCheckResult struct {
	Node    string
	Latency time.Duration
	Outcome Outcome
	Load    LoadReport
}

// PeerMessage carries the bytes of another gateway's SendToPeer.
type PeerMessage struct {
	From int
	Data []byte
}

// AttemptEnded says how one attempt of a request ended. Each Forward gets exactly one.
type AttemptEnded struct {
	ID              uint64
	Attempt         int
	Node            string
	Outcome         Outcome
	Latency         time.Duration
	Finished        bool    // the request is over; if unset the final answer is still owed
	RateUsed        int     // 1 + percent of the plan's rate served in a past period, 0 for unknown
	ServedElsewhere float64 // units the shard served the volume through other hosts meanwhile
	Load            LoadReport
}

// ResponseStarted says that a streamed answer has begun; its attempt now belongs to the client.
type ResponseStarted struct {
	ID      uint64
	Attempt int
	Node    string
	Latency time.Duration
}

// EndpointUpdate is news of the list of nodes.
type EndpointUpdate struct {
	Kind      UpdateKind
	Version   uint64
	Endpoints []Endpoint
}

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

// SettingsChanged brings new settings, which passed Validate. Brokers and Ordinal count only when a Scheduler starts.
type SettingsChanged struct{ Settings Settings }

// ProcessesChanged tells that so many processes are this host together, as while one replaces another, and how many more may be without
// its being known.
type ProcessesChanged struct{ Processes, Unseen int }

// UpdateKind says how a EndpointUpdate is to be read.
type UpdateKind int

// The kinds of list news.
const (
	DeltaUpdate  UpdateKind = iota // changed entries only
	FullUpdate                     // all entries; a node that is absent has been removed
	CachedUpdate                   // all entries as last held before a restart, perhaps stale
	FailedUpdate                   // a call failed or the subscription broke; no entries
)

// NodeState is what the list says of a node.
type NodeState int

// The states of a node.
const (
	Ready NodeState = iota
	Draining
	Removed
)

// Endpoint is one entry of the node list.
type Endpoint struct {
	Name      string
	Zone      string
	Kind      string
	Shard     int
	State     NodeState
	Weight    float64
	StartedAt Time // when it last started, 0 for long ago

	Priority      int     // of the nodes of a shard, lower goes first while it has room
	TrafficWeight float64 // of the load, against others of its priority; 0 counts as 1
}

// LoadReport is a node's report on itself; fields the node does not report are negative.
type LoadReport struct {
	InFlight    float64 // requests in hand
	Queued      float64 // requests waiting
	Utilization float64 // part of the processor that is busy
	ServiceTime time.Duration
	ServedRate  float64 // requests a second
	ErrorRate   float64 // errors a second
}

// NoLoadReport is a report without any field.
var NoLoadReport = LoadReport{InFlight: -1, Queued: -1, Utilization: -1, ServiceTime: -1, ServedRate: -1, ErrorRate: -1}

// Outcome says how an attempt or a probe ended.
type Outcome int

// MayHaveExecuted tells whether an attempt that ended so may have run.
func (o Outcome) MayHaveExecuted() bool { return o != Overloaded && o != Unreachable && o != NotSent }

// The outcomes. Overloaded, Unreachable and NotSent prove that the attempt never ran.
const (
	Success Outcome = iota
	Failure
	Overloaded
	TimedOut
	Unreachable
	ConnectionBroken
	Canceled
	NotSent
)

// Action is something that a Scheduler wants done.
type Action interface{ action() }

// Forward begins an attempt. A Timeout of 0 waits as long as the client does.
type Forward struct {
	ID      uint64
	Node    string
	Timeout time.Duration
}

// Reject is a final answer that says a further try is harmless, with an optional hint when to come.
type Reject struct {
	ID    uint64
	After time.Duration
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID uint64 }

// Cancel stops waiting for an attempt.
type Cancel struct {
	ID      uint64
	Attempt int
}

// HealthCheck checks a node.
type HealthCheck struct{ Node string }

// SendToPeer sends bytes to one peer by its ordinal, or to all others with AllPeers.
type SendToPeer struct {
	Peer int
	Data []byte
}

// AllPeers addresses every other gateway of the tier.
const AllPeers = -1

// SetTimer asks for a TimerFired event after a delay.
type SetTimer struct {
	Token uint64
	After time.Duration
}

// WatchEndpoints opens or closes the subscription to the node list.
type WatchEndpoints struct{ On bool }

// FetchEndpoints asks for the whole node list once.
type FetchEndpoints struct{}

// CloseIdleConnections gives back idle connections to a node.
type CloseIdleConnections struct{ Node string }

// Log is a line for the people on call.
type Log struct{ Text string }

func (Forward) action()              {}
func (Reject) action()               {}
func (Fail) action()                 {}
func (Cancel) action()               {}
func (HealthCheck) action()          {}
func (SendToPeer) action()           {}
func (SetTimer) action()             {}
func (WatchEndpoints) action()       {}
func (FetchEndpoints) action()       {}
func (CloseIdleConnections) action() {}
func (Log) action()                  {}
