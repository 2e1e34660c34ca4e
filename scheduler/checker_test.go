package scheduler_test

import (
	"fmt"
	"math"

	"junctionwharf/scheduler"
)

// The rules that a checker checks.
const (
	ruleAnswer    = "answer"     // each request gets a final answer in time, and is not forwarded after its end
	ruleExecution = "execution"  // no request executes, or is offered for repetition, more often than its class allows
	ruleDrain     = "drain"      // no request is forwarded to a node DrainGrace after it drained or was removed
	ruleOrder     = "order"      // requests with the same key run in the order of arrival
	ruleBudget    = "budget"     // retries do not exceed the retry budget
	ruleLimit     = "limit"      // volumes do not exceed their rate limit
	ruleSlowStart = "slow start" // a starting node receives no more load than it can handle
)

// rounding is the tolerance for sums of units.
const rounding = 1e-6

// checker observes the events and actions of one scheduler and records each violation of a rule. Limits for all
// brokers together (rate limit, slow start) are checked as this broker's even part of the limit.
type checker struct {
	settings     scheduler.Settings
	now          scheduler.Time
	violations   []string
	requests     map[uint64]*checkedRequest
	unanswered   []*checkedRequest            // in the order of arrival; some may be answered by now
	byKey        map[string][]*checkedRequest // requests of ordered classes
	nodes        map[string]*checkedNode
	requestTimes []scheduler.Time
	retryTimes   []scheduler.Time
	limits       map[string]*checkedLimit // by volume
	quietUntil   map[string]scheduler.Time
}

type checkedRequest struct {
	scheduler.Request
	class     scheduler.Class
	deadline  scheduler.Time
	answers   int
	over      bool // the request was answered, or its client disconnected
	attempts  []*checkedAttempt
	forwarded bool
}

type checkedAttempt struct {
	node    string
	at      scheduler.Time
	ended   bool
	outcome scheduler.Outcome
}

func (a *checkedAttempt) mayHaveExecuted() bool {
	if !a.ended {
		return true
	}
	return a.outcome != scheduler.Overloaded && a.outcome != scheduler.Unreachable && a.outcome != scheduler.NotSent
}

type checkedNode struct {
	scheduler.Endpoint
	leftAt    scheduler.Time // when an update listed the node as draining or removed, -1 for never
	startedAt scheduler.Time // last start time in an update, -1 for long ago
	sent      []sentUnits    // units sent as positive values, units served as negative values
}

type checkedLimit struct {
	level float64
	at    scheduler.Time
}

func newChecker(settings scheduler.Settings) *checker {
	return &checker{
		settings:   settings,
		requests:   map[uint64]*checkedRequest{},
		byKey:      map[string][]*checkedRequest{},
		nodes:      map[string]*checkedNode{},
		limits:     map[string]*checkedLimit{},
		quietUntil: map[string]scheduler.Time{},
	}
}

func (c *checker) violate(rule, format string, args ...any) {
	c.violations = append(c.violations, rule+": "+fmt.Sprintf(format, args...))
}

func (c *checker) class(name string) scheduler.Class {
	for _, class := range c.settings.Classes {
		if class.Name == name {
			return class
		}
	}
	return scheduler.Class{}
}

func (c *checker) plan(name string) scheduler.Plan {
	for _, plan := range c.settings.Plans {
		if plan.Name == name {
			return plan
		}
	}
	return scheduler.Plan{}
}

// observeEvents records the events of a step. It must be called before the scheduler handles them.
func (c *checker) observeEvents(now scheduler.Time, events []scheduler.Event) {
	c.now = now
	for _, event := range events {
		switch e := event.(type) {
		case scheduler.Request:
			r := &checkedRequest{Request: e, class: c.class(e.Class), deadline: now + e.Remaining}
			c.requests[e.ID] = r
			c.unanswered = append(c.unanswered, r)
			if r.class.Ordered {
				c.byKey[e.Key] = append(c.byKey[e.Key], r)
			}
			c.requestTimes = append(c.requestTimes, now)
		case scheduler.ClientGone:
			if r := c.requests[e.ID]; r != nil {
				r.over = true
			}
		case scheduler.AttemptEnded:
			c.observeEnd(e)
		case scheduler.EndpointUpdate:
			c.observeUpdate(e)
		}
	}
}

func (c *checker) observeEnd(e scheduler.AttemptEnded) {
	r := c.requests[e.ID]
	if r == nil || e.Attempt >= len(r.attempts) {
		return
	}
	attempt := r.attempts[e.Attempt]
	attempt.ended = true
	attempt.outcome = e.Outcome
	if e.Finished && !r.over {
		r.answers++
		r.over = true
	}
	mayStillRun := e.Outcome == scheduler.TimedOut || e.Outcome == scheduler.ConnectionBroken ||
		e.Outcome == scheduler.Canceled
	if r.class.Ordered && mayStillRun {
		c.quietUntil[r.Key] = max(c.quietUntil[r.Key], c.now+c.settings.Rules.QuietPeriod)
	}
	if n := c.nodes[attempt.node]; n != nil && e.Outcome == scheduler.Success && attempt.at >= n.startedAt {
		n.sent = append(n.sent, sentUnits{c.now, -r.Units})
	}
}

func (c *checker) observeUpdate(e scheduler.EndpointUpdate) {
	if e.Kind == scheduler.FailedUpdate {
		return
	}
	listed := map[string]bool{}
	for _, endpoint := range e.Endpoints {
		listed[endpoint.Name] = true
		n := c.nodes[endpoint.Name]
		if n == nil {
			n = &checkedNode{leftAt: -1, startedAt: -1}
			c.nodes[endpoint.Name] = n
		}
		n.Endpoint = endpoint
		if endpoint.StartedAt > 0 {
			n.startedAt = endpoint.StartedAt
		}
		if endpoint.State == scheduler.Ready {
			n.leftAt = -1
		} else if n.leftAt < 0 {
			n.leftAt = c.now
		}
	}
	for name, n := range c.nodes {
		if e.Kind != scheduler.DeltaUpdate && !listed[name] && n.leftAt < 0 {
			n.leftAt = c.now
		}
	}
}

// checkActions checks the actions of a step, and that no final answer is later than AnswerSlack after the deadline.
func (c *checker) checkActions(actions []scheduler.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case scheduler.Forward:
			c.checkForward(a)
		case scheduler.Reject:
			c.checkAnswer(a.ID, true)
		case scheduler.Fail:
			c.checkAnswer(a.ID, false)
		}
	}
	for len(c.unanswered) > 0 && c.unanswered[0].over {
		c.unanswered = c.unanswered[1:]
	}
	for _, r := range c.unanswered {
		if !r.over && c.now > r.deadline+c.settings.Rules.AnswerSlack {
			c.violate(ruleAnswer, "request %d has no answer although its deadline has passed", r.ID)
			r.over = true
		}
	}
}

func (c *checker) checkAnswer(id uint64, rejected bool) {
	r := c.requests[id]
	if r == nil {
		c.violate(ruleAnswer, "answer for unknown request %d", id)
		return
	}
	if r.over {
		return // the client already has an answer or has disconnected, so this answer is not counted
	}
	r.over = true
	r.answers++
	if !rejected || c.safeToRepeat(r.class) {
		return
	}
	for _, attempt := range r.attempts {
		if attempt.mayHaveExecuted() {
			c.violate(ruleExecution, "request %d is rejected but may have executed", id)
			return
		}
	}
}

// safeToRepeat reports whether a client may repeat a request of a class that may have executed.
func (c *checker) safeToRepeat(class scheduler.Class) bool {
	if class.Idempotency == scheduler.IdempotentWithKey {
		return class.Scope == scheduler.ScopeAll
	}
	return class.Idempotency == scheduler.Idempotent
}

func (c *checker) checkForward(a scheduler.Forward) {
	r, n := c.requests[a.ID], c.nodes[a.Node]
	switch {
	case r == nil || r.over:
		c.violate(ruleAnswer, "request %d is forwarded but is unknown or has ended", a.ID)
		return
	case n == nil:
		c.violate(ruleDrain, "request is forwarded to unknown node %s", a.Node)
		return
	case n.leftAt >= 0 && c.now > n.leftAt+c.settings.Rules.DrainGrace:
		c.violate(ruleDrain, "node %s left at %v but receives a request at %v", a.Node, n.leftAt, c.now)
	}
	c.checkExecution(r, n)
	c.checkOrder(r)
	c.checkBudget(r)
	c.checkLimit(r)
	c.checkSlowStart(r, n)
	r.attempts = append(r.attempts, &checkedAttempt{node: a.Node, at: c.now})
	r.forwarded = true
}

func (c *checker) checkExecution(r *checkedRequest, n *checkedNode) {
	if limit := c.settings.Capabilities.MaxAttempts; limit > 0 && len(r.attempts) >= limit {
		c.violate(ruleExecution, "request %d has attempt %d, above the limit", r.ID, len(r.attempts)+1)
	}
	for _, attempt := range r.attempts {
		if !attempt.ended && !c.settings.Capabilities.HedgedRequests {
			c.violate(ruleExecution, "request %d has two attempts in flight", r.ID)
		}
	}
	for _, attempt := range r.attempts {
		if !attempt.mayHaveExecuted() {
			continue
		}
		first := c.nodes[attempt.node]
		switch {
		case r.class.Idempotency == scheduler.NotIdempotent:
			c.violate(ruleExecution, "request %d is not idempotent but is forwarded again", r.ID)
		case r.class.Idempotency != scheduler.IdempotentWithKey:
		case c.now > attempt.at+r.class.DedupWindow:
			c.violate(ruleExecution, "request %d is forwarded again after its dedup window", r.ID)
		case r.class.Scope == scheduler.ScopeZone && first.Zone != n.Zone,
			r.class.Scope == scheduler.ScopeShard && first.Shard != n.Shard:
			c.violate(ruleExecution, "request %d is forwarded outside the scope of its key", r.ID)
		}
		return
	}
}

func (c *checker) checkOrder(r *checkedRequest) {
	if !r.class.Ordered || r.Key == "" {
		return
	}
	if len(r.attempts) == 0 && c.now < c.quietUntil[r.Key] {
		c.violate(ruleOrder, "request with key %s is forwarded within the quiet period", r.Key)
	}
	for _, other := range c.byKey[r.Key] {
		if other == r {
			return
		}
		inFlight := false
		for _, attempt := range other.attempts {
			inFlight = inFlight || !attempt.ended
		}
		if !other.over || inFlight {
			c.violate(ruleOrder, "request %d is forwarded before request %d has ended", r.ID, other.ID)
		}
	}
}

func (c *checker) checkBudget(r *checkedRequest) {
	rules := c.settings.Rules
	if rules.RetryBudgetWindow == 0 || len(r.attempts) == 0 {
		return
	}
	c.retryTimes = append(c.retryTimes, c.now)
	inWindow := func(times []scheduler.Time) (count float64) {
		for _, at := range times {
			if c.now-at < rules.RetryBudgetWindow {
				count++
			}
		}
		return count
	}
	retries, requests := inWindow(c.retryTimes), inWindow(c.requestTimes)
	if retries > rules.RetryBudgetMin+rules.RetryBudgetRatio*requests+1e-9 {
		c.violate(ruleBudget, "%v retries for %v requests exceed the retry budget", retries, requests)
	}
}

// checkLimit checks the rate limit at the first forward of a request. This broker's part of the token bucket is
// assumed to be empty at time 0, and therefore full again when a random day starts, at 1000 s.
func (c *checker) checkLimit(r *checkedRequest) {
	plan := c.plan(r.Plan)
	if plan.Limit <= 0 || r.forwarded {
		return
	}
	brokers := math.Max(1, float64(min(r.Brokers, c.settings.Brokers)))
	limit := c.limits[r.Volume]
	if limit == nil {
		limit = &checkedLimit{at: 0}
		c.limits[r.Volume] = limit
	}
	refill := plan.Limit / brokers * (c.now - limit.at).Seconds()
	limit.level = min(plan.LimitBurst/brokers, limit.level+refill) - r.Units
	limit.at = c.now
	if limit.level < -plan.LimitOverdraft/brokers-rounding {
		c.violate(ruleLimit, "token bucket of volume %s is at %.1f units, beyond its overdraft", r.Volume, limit.level)
	}
}

// checkSlowStart checks the units sent to a starting node within the overload window. They must not exceed the units
// that the node served, plus this broker's even part of SlowStartUnits, which grows with the age of the node.
func (c *checker) checkSlowStart(r *checkedRequest, n *checkedNode) {
	rules := c.settings.Rules
	n.sent = append(n.sent, sentUnits{c.now, r.Units})
	age := c.now - n.startedAt
	if rules.OverloadWindow == 0 || n.startedAt < 0 || age > rules.WarmUpTime {
		return
	}
	sum := 0.0
	for _, s := range n.sent {
		if c.now-s.at <= rules.OverloadWindow && s.at >= n.startedAt {
			sum += s.units
		}
	}
	growth := 1 + (1-rules.InitialCapacity)/rules.InitialCapacity*float64(age)/float64(rules.WarmUpTime)
	if sum > c.settings.SlowStartUnits*growth/float64(c.settings.Brokers)+rounding {
		c.violate(ruleSlowStart, "node %s received %.1f units in the window, too many at age %v", n.Name, sum, age)
	}
}

// finish checks that no final answer is overdue at the end, and that no request has several counted answers.
func (c *checker) finish(at scheduler.Time) {
	c.now = at
	c.checkActions(nil)
	for _, r := range c.requests {
		if r.answers > 1 {
			c.violate(ruleAnswer, "request %d has %d final answers", r.ID, r.answers)
		}
	}
}
