package scheduler

import (
	"errors"
	"fmt"
	"time"

	"junctionwharf/balancer"
)

// Time is a point on the caller's clock, counted from any fixed start.
type Time = time.Duration

// Settings is what a Gateway is told when it starts, and again by Retuned. The zero value of a field means that
// the deployment has no such thing (no limit, no reports, no peers).
type Settings struct {
	Hosts       int    // gateways in the tier, this one included
	Ordinal     int    // the number of this gateway among them, from 0
	Zone        string // where this gateway stands
	Classes     []Class
	Plans       []Plan
	Bounds      Bounds
	Rules       Rules
	Subscribe   bool          // the node list is sent only to a gateway that asks for it
	MeanUnits   float64       // mean size of a request
	MaxUnits    float64       // largest size of a request
	ColdUnits   float64       // what a cold node bears from all hosts within Rules.FallTime
	MeterPeriod time.Duration // period of the meter behind AttemptEnded.Used, 0 for none
	ShareWorth  float64       // part of the worth earned beyond the reserve, inside the share
	SpareWorth  float64       // part of the worth earned beyond reserve and share
	Spread      balancer.Options
}

// Check names settings that make no sense.
func (set Settings) Check() error {
	if set.Hosts < 1 || set.Ordinal < 0 || set.Ordinal >= set.Hosts || len(set.Classes) == 0 {
		return fmt.Errorf("host %d of %d with %d classes", set.Ordinal, set.Hosts, len(set.Classes))
	}
	for _, c := range set.Classes {
		if c.Aim <= 0 || min(c.Deadline, c.Window) < 0 {
			return fmt.Errorf("class %q has a time out of range", c.Name)
		}
	}
	for _, p := range set.Plans {
		if min(p.Rate, p.Reserve, p.Limit, p.LimitBurst, p.LimitSlack, p.Weight) < 0 {
			return fmt.Errorf("plan %q has a negative figure", p.Name)
		}
	}
	if r := set.Rules; min(r.FallTime, r.ColdTime, r.BudgetSpan, r.KeyQuiet) < 0 {
		return errors.New("a rule has a negative time")
	}
	return nil
}

// Effect says what happens when a request runs twice.
type Effect int

// The effects a class may have.
const (
	Safe   Effect = iota // running again does no harm
	Keyed                // repeats are dropped inside a scope, for a while
	Unsafe               // must not run twice
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
	Name       string
	Aim        time.Duration // an answer within it earns full worth
	AimStretch float64       // further aim, as a multiple of the request's work
	Deadline   time.Duration // the client's patience over all its tries
	Worth      float64
	LateWorth  float64 // part of the worth earned after the aim
	Effect     Effect
	Scope      Scope
	Window     time.Duration // how long repeats of a keyed request are dropped
	Ordered    bool          // requests with one key run in the order of arrival
	Stream     bool
}

// Plan is the contract of a volume. Rates are units a second over all hosts and nodes.
type Plan struct {
	Name       string
	Rate       float64 // usual rate
	Reserve    float64
	Limit      float64 // 0 for none
	LimitBurst float64 // units the limit's store holds
	LimitSlack float64 // units that store may fall below zero
	Weight     float64
	Price      float64 // multiplies worth
}

// Bounds is what the deployment allows.
type Bounds struct {
	MaxAttempts   int // attempts of one request, 0 for no bound
	MaxRetryAfter time.Duration
	RetryAfter    bool // clients are told when to come back
	Cancel        bool
	Peers         bool
	Probes        bool
	SecondCopies  bool // two attempts of a request may be out at once
}

// Rules holds the figures of the rules that no run may break.
type Rules struct {
	AnswerSlack  time.Duration
	DrainGrace   time.Duration
	ColdTime     time.Duration // a started node is warm after this
	ColdShare    float64       // the part of its capacity it starts with, at least
	FallTime     time.Duration
	FallMultiple float64
	MustAskIn    time.Duration
	KeyQuiet     time.Duration // rest of a key after an attempt that may still run
	BudgetFloor  float64       // further attempts that need no request
	BudgetRatio  float64       // further attempts for each request taken
	BudgetSpan   time.Duration // 0 where no budget holds
}

// Event is something that a Gateway is told.
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
	Hosts     int // gateways through which the volume's requests come
	Retry     bool
	Write     bool
}

// Timer is a timer, set by SetTimer, that fell due.
type Timer struct{ Token uint64 }

// ClientGone says that a request is over because its client left.
type ClientGone struct{ ID uint64 }

// ProbeResult is the result of a Probe.
type ProbeResult struct {
	Node    string
	Took    time.Duration
	Outcome Outcome
	Load    Load
}

// PeerMessage carries the bytes of another gateway's Tell.
type PeerMessage struct {
	From int
	Data []byte
}

// AttemptEnded says how one attempt of a request ended. Each Send gets exactly one.
type AttemptEnded struct {
	ID        uint64
	Attempt   int
	Node      string
	Outcome   Outcome
	Took      time.Duration
	Finished  bool    // the request is over; if unset the final answer is still owed
	Used      int     // 1 + percent of the plan's rate served in a past period, 0 for unknown
	Elsewhere float64 // units the shard served the volume through other hosts meanwhile
	Load      Load
}

// AnswerStarted says that a streamed answer has begun; its attempt now belongs to the client.
type AnswerStarted struct {
	ID      uint64
	Attempt int
	Node    string
	Took    time.Duration
}

// NodeList is news of the list of nodes.
type NodeList struct {
	Kind    ListKind
	Version uint64
	Nodes   []NodeInfo
}

func (Request) event()       {}
func (Timer) event()         {}
func (ClientGone) event()    {}
func (ProbeResult) event()   {}
func (PeerMessage) event()   {}
func (AttemptEnded) event()  {}
func (AnswerStarted) event() {}
func (NodeList) event()      {}
func (Retuned) event()       {}
func (Shared) event()        {}

// Retuned brings new settings, which passed Check. Hosts and Ordinal count only when a Gateway starts.
type Retuned struct{ Settings Settings }

// Shared tells that so many processes are this host together, as while one replaces another, and how many more may be without
// its being known.
type Shared struct{ Processes, Unseen int }

// ListKind says how a NodeList is to be read.
type ListKind int

// The kinds of list news.
const (
	ListChanges ListKind = iota // changed entries only
	ListFull                    // all entries; a node that is absent has been removed
	ListCached                  // all entries as last held before a restart, perhaps stale
	ListFailed                  // a call failed or the subscription broke; no entries
)

// NodeState is what the list says of a node.
type NodeState int

// The states of a node.
const (
	Ready NodeState = iota
	Draining
	Gone
)

// NodeInfo is one entry of the node list.
type NodeInfo struct {
	Node    string
	Zone    string
	Kind    string
	Shard   int
	State   NodeState
	Weight  float64
	UpSince Time // when it last started, 0 for long ago

	Priority int     // of the nodes of a shard, lower goes first while it has room
	Part     float64 // of the load, against others of its priority; 0 counts as 1
}

// Load is a node's report on itself; fields the node does not report are negative.
type Load struct {
	InFlight float64 // requests in hand
	Queue    float64 // requests waiting
	Busy     float64 // part of the processor that is busy
	Service  time.Duration
	Served   float64 // requests a second
	Failed   float64 // errors a second
}

// NoLoad is a report without any field.
var NoLoad = Load{InFlight: -1, Queue: -1, Busy: -1, Service: -1, Served: -1, Failed: -1}

// Outcome says how an attempt or a probe ended.
type Outcome int

// MayHaveRun tells whether an attempt that ended so may have run.
func (o Outcome) MayHaveRun() bool { return o != Overloaded && o != Unreachable && o != Void }

// The outcomes. Overloaded, Unreachable and Void prove that the attempt never ran.
const (
	Success Outcome = iota
	Failure
	Overloaded
	TimedOut
	Unreachable
	Broken
	Withdrawn
	Void
)

// Action is something that a Gateway wants done.
type Action interface{ action() }

// Send begins an attempt. A Timeout of 0 waits as long as the client does.
type Send struct {
	ID      uint64
	Node    string
	Timeout time.Duration
}

// Refuse is a final answer that says a further try is harmless, with an optional hint when to come.
type Refuse struct {
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

// Probe checks a node.
type Probe struct{ Node string }

// Tell sends bytes to one peer by its ordinal, or to all others with AllPeers.
type Tell struct {
	Peer int
	Data []byte
}

// AllPeers addresses every other gateway of the tier.
const AllPeers = -1

// SetTimer asks for a Timer event after a delay.
type SetTimer struct {
	Token uint64
	After time.Duration
}

// Watch opens or closes the subscription to the node list.
type Watch struct{ On bool }

// FetchList asks for the whole node list once.
type FetchList struct{}

// CloseIdle gives back idle connections to a node.
type CloseIdle struct{ Node string }

// Log is a line for the people on call.
type Log struct{ Text string }

func (Send) action()      {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Cancel) action()    {}
func (Probe) action()     {}
func (Tell) action()      {}
func (SetTimer) action()  {}
func (Watch) action()     {}
func (FetchList) action() {}
func (CloseIdle) action() {}
func (Log) action()       {}
