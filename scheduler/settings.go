package scheduler

import (
	"errors"
	"fmt"
	"time"

	"junctionwharf/balancer"
)

// Time is a point on the caller's clock, counted from any fixed start.
type Time = time.Duration

// Settings is what a Scheduler is told when it starts, and again by SettingsChanged. The zero value of a
// field means that the deployment has no such thing (no limit, no reports, no peers).
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
