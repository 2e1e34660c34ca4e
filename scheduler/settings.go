package scheduler

import (
	"errors"
	"fmt"
	"time"

	"junctionwharf/balancer"
)

// Time is a point on the caller's clock, measured from any fixed start. It is an alias of time.Duration.
type Time = time.Duration

// Settings configures a Scheduler at its start, and later through SettingsChanged. The zero value of an
// optional field means that the deployment does not have the feature: no limit, no load reports, no peers.
type Settings struct {
	Brokers        int    // number of brokers in the tier, including this one
	Ordinal        int    // number of this broker among them, from 0
	Zone           string // zone of this broker
	Classes        []Class
	Plans          []Plan
	Capabilities   Capabilities
	Rules          Rules
	Subscribe      bool          // the broker must subscribe to receive the endpoint list
	MeanUnits      float64       // mean size of a request
	MaxUnits       float64       // largest size of a request
	SlowStartUnits float64       // load that a starting node can handle from all brokers in an OverloadWindow
	MeterPeriod    time.Duration // period of AttemptEnded.RateUsed, 0 for none; no rule reads it
	ShareWeight    float64       // fraction of its value that a request just above the reserved rate earns
	SpareWeight    float64       // fraction of its value that a request far above the normal rate earns
	Balancer       balancer.Options
}

// Errors that Validate returns or wraps.
var (
	ErrTopology = errors.New("number of brokers, ordinal or number of classes is out of range")
	ErrClass    = errors.New("latency objective, deadline or dedup window of a class is out of range")
	ErrPlan     = errors.New("rate, limit or weight of a plan is below 0")
	ErrRule     = errors.New("overload window, warm-up time, retry budget window or quiet period is below 0")
)

// Validate returns an error that describes the first invalid value that it finds.
func (set Settings) Validate() error {
	if set.Brokers < 1 || set.Ordinal < 0 || set.Ordinal >= set.Brokers || len(set.Classes) == 0 {
		text := fmt.Sprintf("ordinal %d, brokers %d, classes %d: want 0 <= ordinal < brokers, classes >= 1",
			set.Ordinal, set.Brokers, len(set.Classes))
		return &settingsError{ErrTopology, text}
	}
	for _, class := range set.Classes {
		if class.LatencyObjective <= 0 || min(class.Deadline, class.DedupWindow) < 0 {
			text := fmt.Sprintf("class %q: latency objective %v is not above 0, or deadline %v or dedup"+
				" window %v is below 0",
				class.Name, class.LatencyObjective, class.Deadline, class.DedupWindow)
			return &settingsError{ErrClass, text}
		}
	}
	for _, plan := range set.Plans {
		lowestRate := min(plan.Rate, plan.ReservedRate, plan.Limit)
		if min(lowestRate, plan.LimitBurst, plan.LimitOverdraft, plan.Weight) < 0 {
			text := fmt.Sprintf("plan %q: a rate, limit or weight is below 0", plan.Name)
			return &settingsError{ErrPlan, text}
		}
	}
	rules := set.Rules
	if min(rules.OverloadWindow, rules.WarmUpTime, rules.RetryBudgetWindow, rules.QuietPeriod) < 0 {
		return ErrRule
	}
	return nil
}

// settingsError is an error of Validate. It replaces the text of the error that it wraps with a specific
// text.
type settingsError struct {
	kind error
	text string
}

func (e *settingsError) Error() string { return e.text }
func (e *settingsError) Unwrap() error { return e.kind }

// Idempotency describes the effect of executing a request twice.
type Idempotency int

// The kinds of idempotency that a class may have.
const (
	Idempotent        Idempotency = iota // a second execution does no harm
	IdempotentWithKey                    // nodes in the scope of the key ignore repeats of it for a while
	NotIdempotent                        // must not execute twice
)

// Scope is the group of nodes that ignores repeats of an idempotency key. The group contains the node at
// which the request may have executed.
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
	LatencyObjective time.Duration // an answer within this time earns its full value
	ObjectiveStretch float64       // additional objective, a multiple of the work; no rule reads it
	Deadline         time.Duration // time that the client waits, over all attempts
	PriorityWeight   float64       // value of a unit answered within the latency objective
	LateWeight       float64       // fraction of the value earned after the objective; no rule reads it
	Idempotency      Idempotency
	Scope            Scope
	DedupWindow      time.Duration // time for which nodes ignore repeats of an idempotency key
	Ordered          bool          // requests with the same key run in the order of arrival
	Stream           bool          // the answer is streamed; no rule reads it
}

// Plan is the service contract of a volume. Rates are in units a second over all brokers and nodes.
type Plan struct {
	Name           string
	Rate           float64 // normal rate, above which the value of requests falls further
	ReservedRate   float64
	Limit          float64 // rate limit, 0 for none
	LimitBurst     float64 // capacity of the limit's token bucket, in units
	LimitOverdraft float64 // units by which that bucket may fall below zero
	Weight         float64 // no rule reads it, only Validate checks it
	Price          float64 // factor of the value
}

// Capabilities describes what the deployment supports.
type Capabilities struct {
	MaxAttempts    int           // per request, 0 for no limit
	MaxRetryAfter  time.Duration // longest wait that a rejection may suggest
	RetryAfter     bool          // rejections suggest a wait before the retry
	Cancel         bool          // attempts may be canceled
	Peers          bool          // brokers exchange messages
	HealthChecks   bool          // no rule reads it
	HedgedRequests bool          // two attempts of a request may be in flight at once; no rule reads it
}

// Rules holds the parameters of the rules that must hold in every run.
type Rules struct {
	AnswerSlack       time.Duration // time by which a final answer may be late; no rule reads it
	DrainGrace        time.Duration // time for a draining node's forwards; only internal/discovery uses it
	WarmUpTime        time.Duration // time after its start at which a node is warm
	InitialCapacity   float64       // minimum fraction of its capacity that a starting node has
	OverloadWindow    time.Duration // window in which too much load makes a node fail; 0 for no such rule
	OverloadMultiple  float64       // load that is too much, as a multiple of the node's present capacity
	PollDeadline      time.Duration // time within which the endpoint list must be requested
	QuietPeriod       time.Duration // pause of a key after an attempt that may still run
	RetryBudgetMin    float64       // retries allowed regardless of the number of requests
	RetryBudgetRatio  float64       // additional retries allowed per request
	RetryBudgetWindow time.Duration // 0 for no retry budget
}
