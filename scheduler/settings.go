package scheduler

import (
	"errors"
	"fmt"
	"time"

	"junctionwharf/balancer"
)

// Time is a point on the caller's clock, counted from any fixed start.
type Time = time.Duration

// Settings is what a Scheduler receives when it starts, and again by SettingsChanged. The zero value of a
// field means that the deployment has no such thing: no limit, no load reports, no peers.
type Settings struct {
	Brokers        int    // in the tier, this one included
	Ordinal        int    // the number of this broker among them, from 0
	Zone           string // where this broker stands
	Classes        []Class
	Plans          []Plan
	Capabilities   Capabilities
	Rules          Rules
	Subscribe      bool          // the endpoint list is sent only to a broker that asks for it
	MeanUnits      float64       // mean size of a request
	MaxUnits       float64       // largest size of a request
	SlowStartUnits float64       // what a starting node bears from all brokers within an OverloadWindow
	MeterPeriod    time.Duration // of the meter of AttemptEnded.RateUsed, 0 for none; no rule reads it
	ShareWeight    float64       // part of the value earned beyond the reserved rate, inside the normal rate
	SpareWeight    float64       // part of the value earned beyond both
	Balancer       balancer.Options
}

// Errors of Validate.
var (
	ErrTopology = errors.New("brokers, ordinal or classes out of range")
	ErrClass    = errors.New("class out of range")
	ErrPlan     = errors.New("plan out of range")
	ErrRule     = errors.New("a rule has a negative time")
)

// Validate names settings that make no sense.
func (set Settings) Validate() error {
	if set.Brokers < 1 || set.Ordinal < 0 || set.Ordinal >= set.Brokers || len(set.Classes) == 0 {
		text := fmt.Sprintf("host %d of %d with %d classes", set.Ordinal, set.Brokers, len(set.Classes))
		return &settingsError{ErrTopology, text}
	}
	for _, class := range set.Classes {
		if class.LatencyObjective <= 0 || min(class.Deadline, class.DedupWindow) < 0 {
			return &settingsError{ErrClass, fmt.Sprintf("class %q has a time out of range", class.Name)}
		}
	}
	for _, plan := range set.Plans {
		lowestRate := min(plan.Rate, plan.ReservedRate, plan.Limit)
		if min(lowestRate, plan.LimitBurst, plan.LimitOverdraft, plan.Weight) < 0 {
			return &settingsError{ErrPlan, fmt.Sprintf("plan %q has a negative figure", plan.Name)}
		}
	}
	rules := set.Rules
	if min(rules.OverloadWindow, rules.WarmUpTime, rules.RetryBudgetWindow, rules.QuietPeriod) < 0 {
		return ErrRule
	}
	return nil
}

// settingsError is an error of Validate with the text that operators know.
type settingsError struct {
	kind error
	text string
}

func (e *settingsError) Error() string { return e.text }
func (e *settingsError) Unwrap() error { return e.kind }

// Idempotency says what happens when a request executes twice.
type Idempotency int

// The kinds of idempotency that a class may have.
const (
	Idempotent        Idempotency = iota // a second execution does no harm
	IdempotentWithKey                    // nodes of a scope drop repeats of its key for a while
	NotIdempotent                        // must not execute twice
)

// Scope names the group of nodes that drops repeats of an idempotency key.
type Scope int

// The scopes of an idempotency key.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeShard
)

// Class is a kind of request.
type Class struct {
	Name             string
	LatencyObjective time.Duration // an answer within it earns its full value
	ObjectiveStretch float64       // further objective, a multiple of the work; no rule reads it
	Deadline         time.Duration // how long the client waits over all its attempts
	PriorityWeight   float64       // value of a unit answered in time
	LateWeight       float64       // part of the value earned after the objective; no rule reads it
	Idempotency      Idempotency
	Scope            Scope
	DedupWindow      time.Duration // how long repeats of an idempotency key are dropped
	Ordered          bool          // requests with one key run in the order of arrival
	Stream           bool          // the answer is streamed; no rule reads it
}

// Plan is the contract of a volume. Rates are units a second over all brokers and nodes.
type Plan struct {
	Name           string
	Rate           float64 // normal rate
	ReservedRate   float64
	Limit          float64 // rate limit, 0 for none
	LimitBurst     float64 // units that the limit's store holds
	LimitOverdraft float64 // units that the store may fall below zero
	Weight         float64 // no rule reads it, Validate alone checks it
	Price          float64 // multiplies the value
}

// Capabilities is what the deployment allows.
type Capabilities struct {
	MaxAttempts    int           // of one request, 0 for no bound
	MaxRetryAfter  time.Duration // the longest that a client is told to wait
	RetryAfter     bool          // clients are told when to come back
	Cancel         bool          // attempts may be canceled
	Peers          bool          // brokers exchange messages
	HealthChecks   bool          // no rule reads it
	HedgedRequests bool          // two attempts of a request may be in flight at once; no rule reads it
}

// Rules holds the figures of the rules that no run may break.
type Rules struct {
	AnswerSlack       time.Duration // by which a final answer may be late; no rule reads it
	DrainGrace        time.Duration // in which its forwards end; internal/discovery's, no rule reads it here
	WarmUpTime        time.Duration // a node that has started is warm after this
	InitialCapacity   float64       // part of its capacity that it starts with, at least
	OverloadWindow    time.Duration // a node goes down that gets too much within it; 0 for no such rule
	OverloadMultiple  float64       // too much, as a multiple of its present capacity
	PollDeadline      time.Duration // the endpoint list must be asked for within it
	QuietPeriod       time.Duration // pause of a key after an attempt that may still run
	RetryBudgetMin    float64       // retries that need no request
	RetryBudgetRatio  float64       // retries for each request
	RetryBudgetWindow time.Duration // 0 where no budget holds
}
