package scheduler_test

import (
	"fmt"
	"math"

	"junctionwharf/scheduler"
)

// The rules that a checker knows.
const (
	ruleAnswer    = "answer"     // each request gets one final answer in time
	ruleExecution = "execution"  // no request executes more often than its class allows
	ruleDrain     = "drain"      // nothing goes to a node that leaves
	ruleOrder     = "order"      // requests with one key run in the order of arrival
	ruleBudget    = "budget"     // retries stay in their budget
	ruleLimit     = "limit"      // volumes stay in their rate limit
	ruleSlowStart = "slow start" // a node that has started gets no more than it bears
)

// rounding is by how many units sums may be off.
const rounding = 1e-6

// checker watches the events and actions of one scheduler and records each broken rule. What counts over all
// brokers (limit, slow start) is checked against this broker's even part of the figure.
type checker struct {
	settings     scheduler.Settings
	now          scheduler.Time
	violations   []string
	requests     map[uint64]*checkedRequest
	unanswered   []*checkedRequest            // in the order of arrival, and some that were answered
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
	over      bool
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
	leftAt    scheduler.Time // when the scheduler was told that it leaves, -1 if it was not
	startedAt scheduler.Time // as far as told, -1 for long ago
	sent      []sentUnits    // above zero were sent, below zero served
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

// observeEvents takes the events of a step before the scheduler acts on them.
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

// checkActions checks the actions of a step, and that nothing is owed for too long.
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
			c.violate(ruleAnswer, "request %d has no answer", r.ID)
			r.over = true
		}
	}
}

func (c *checker) checkAnswer(id uint64, rejected bool) {
	r := c.requests[id]
	if r == nil {
		c.violate(ruleAnswer, "answer for %d, which never came", id)
		return
	}
	if r.over {
		return // an answer to what is over reaches nobody
	}
	r.over = true
	r.answers++
	if !rejected || c.safeToRepeat(r.class) {
		return
	}
	for _, attempt := range r.attempts {
		if attempt.mayHaveExecuted() {
			c.violate(ruleExecution, "request %d is rejected though it may have executed", id)
			return
		}
	}
}

// safeToRepeat tells whether a client may repeat a request of a class that may have executed.
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
		c.violate(ruleAnswer, "request %d is forwarded after its end", a.ID)
		return
	case n == nil:
		c.violate(ruleDrain, "node %s was never listed", a.Node)
		return
	case n.leftAt >= 0 && c.now > n.leftAt+c.settings.Rules.DrainGrace:
		c.violate(ruleDrain, "node %s left at %v, forwarded to at %v", a.Node, n.leftAt, c.now)
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
		c.violate(ruleExecution, "request %d has attempt %d", r.ID, len(r.attempts)+1)
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
			c.violate(ruleExecution, "not idempotent request %d is forwarded again", r.ID)
		case r.class.Idempotency != scheduler.IdempotentWithKey:
		case c.now > attempt.at+r.class.DedupWindow:
			c.violate(ruleExecution, "request %d is forwarded after its dedup window", r.ID)
		case r.class.Scope == scheduler.ScopeZone && first.Zone != n.Zone,
			r.class.Scope == scheduler.ScopeShard && first.Shard != n.Shard:
			c.violate(ruleExecution, "request %d leaves the scope of its key", r.ID)
		}
		return
	}
}

func (c *checker) checkOrder(r *checkedRequest) {
	if !r.class.Ordered || r.Key == "" {
		return
	}
	if len(r.attempts) == 0 && c.now < c.quietUntil[r.Key] {
		c.violate(ruleOrder, "key %s is not quiet", r.Key)
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
			c.violate(ruleOrder, "request %d is forwarded before %d is over", r.ID, other.ID)
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
		c.violate(ruleBudget, "%v retries for %v requests", retries, requests)
	}
}

// checkLimit has this broker's part start empty, as after a restart that followed a spent burst.
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
		c.violate(ruleLimit, "volume %s is at %.1f", r.Volume, limit.level)
	}
}

// checkSlowStart checks that what is sent within the overload window stays under what a node of that age
// surely does, which is at least what it served, plus this broker's part of what it bears beyond.
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
		c.violate(ruleSlowStart, "node %s has %.1f units at age %v", n.Name, sum, age)
	}
}

// finish checks that nothing is owed any more.
func (c *checker) finish(at scheduler.Time) {
	c.now = at
	c.checkActions(nil)
	for _, r := range c.requests {
		if r.answers > 1 {
			c.violate(ruleAnswer, "request %d has %d answers", r.ID, r.answers)
		}
	}
}
