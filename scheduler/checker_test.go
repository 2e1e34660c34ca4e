package scheduler_test

import (
	"fmt"
	"math"
	"time"

	"junctionwharf/scheduler"
)

// checker watches the events and actions of one gateway and records each broken rule. What counts
// over all gateways (limit, cold node) is checked against this gateway's even part of the figure.
type checker struct {
	set      scheduler.Settings
	now      scheduler.Time
	broken   []string
	requests map[uint64]*watched
	order    []*watched
	keys     map[string][]*watched // requests of ordered classes, by key
	nodes    map[string]*listed
	takenAt  []scheduler.Time
	extraAt  []scheduler.Time
	limits   map[string]*part
	quiet    map[string]scheduler.Time
}

type watched struct {
	scheduler.Request
	class    scheduler.Class
	deadline scheduler.Time
	answers  int
	over     bool
	attempts []*tried
	sentOnce bool
}

type tried struct {
	node    string
	at      scheduler.Time
	ended   bool
	outcome scheduler.Outcome
}

func (t *tried) mayHaveRun() bool {
	if !t.ended {
		return true
	}
	return t.outcome != scheduler.Overloaded && t.outcome != scheduler.Unreachable && t.outcome != scheduler.NotSent
}

type listed struct {
	scheduler.Endpoint
	leftAt scheduler.Time // when the gateway was told that it leaves, -1 if it was not
	bornAt scheduler.Time // when it started as far as told, -1 for long ago
	sends  []load         // units above zero were sent, below zero served
}

type load struct {
	at    scheduler.Time
	units float64
}

type part struct {
	left float64
	at   scheduler.Time
}

func newChecker(set scheduler.Settings) *checker {
	return &checker{set: set, requests: map[uint64]*watched{}, keys: map[string][]*watched{}, nodes: map[string]*listed{},
		limits: map[string]*part{}, quiet: map[string]scheduler.Time{}}
}

func (c *checker) breaks(rule, format string, args ...any) {
	c.broken = append(c.broken, rule+": "+fmt.Sprintf(format, args...))
}

func (c *checker) class(name string) scheduler.Class {
	for _, class := range c.set.Classes {
		if class.Name == name {
			return class
		}
	}
	return scheduler.Class{}
}

func (c *checker) plan(name string) scheduler.Plan {
	for _, plan := range c.set.Plans {
		if plan.Name == name {
			return plan
		}
	}
	return scheduler.Plan{}
}

// see takes the events of a batch before the gateway acts.
func (c *checker) see(now scheduler.Time, events []scheduler.Event) {
	c.now = now
	for _, event := range events {
		switch e := event.(type) {
		case scheduler.Request:
			r := &watched{Request: e, class: c.class(e.Class), deadline: now + e.Remaining}
			c.requests[e.ID] = r
			c.order = append(c.order, r)
			if r.class.Ordered {
				c.keys[e.Key] = append(c.keys[e.Key], r)
			}
			c.takenAt = append(c.takenAt, now)
		case scheduler.ClientGone:
			if r := c.requests[e.ID]; r != nil && !r.over {
				r.over = true
			}
		case scheduler.AttemptEnded:
			c.seeEnd(e)
		case scheduler.EndpointUpdate:
			c.seeList(e)
		}
	}
}

func (c *checker) seeEnd(e scheduler.AttemptEnded) {
	r := c.requests[e.ID]
	if r == nil || e.Attempt >= len(r.attempts) {
		return
	}
	t := r.attempts[e.Attempt]
	t.ended, t.outcome = true, e.Outcome
	if e.Finished && !r.over {
		r.answers++
		r.over = true
	}
	if !r.class.Ordered {
		// its key is in no order
	} else if e.Outcome == scheduler.TimedOut || e.Outcome == scheduler.ConnectionBroken || e.Outcome == scheduler.Canceled {
		c.quiet[r.Key] = max(c.quiet[r.Key], c.now+c.set.Rules.QuietPeriod)
	}
	if n := c.nodes[t.node]; n != nil && e.Outcome == scheduler.Success && t.at >= n.bornAt {
		n.sends = append(n.sends, load{c.now, -r.Units})
	}
}

func (c *checker) seeList(e scheduler.EndpointUpdate) {
	if e.Kind == scheduler.FailedUpdate {
		return
	}
	named := map[string]bool{}
	for _, info := range e.Endpoints {
		named[info.Name] = true
		n := c.nodes[info.Name]
		if n == nil {
			n = &listed{leftAt: -1, bornAt: -1}
			c.nodes[info.Name] = n
		}
		n.Endpoint = info
		if info.StartedAt > 0 {
			n.bornAt = info.StartedAt
		}
		if info.State == scheduler.Ready {
			n.leftAt = -1
		} else if n.leftAt < 0 {
			n.leftAt = c.now
		}
	}
	for id, n := range c.nodes {
		if e.Kind != scheduler.DeltaUpdate && !named[id] && n.leftAt < 0 {
			n.leftAt = c.now
		}
	}
}

// act checks the actions of a batch.
func (c *checker) act(actions []scheduler.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case scheduler.Forward:
			c.send(a)
		case scheduler.Reject:
			c.answer(a.ID, true)
		case scheduler.Fail:
			c.answer(a.ID, false)
		}
	}
	for len(c.order) > 0 && c.order[0].over {
		c.order = c.order[1:]
	}
	for _, r := range c.order {
		if !r.over && c.now > r.deadline+c.set.Rules.AnswerSlack {
			c.breaks("lost", "request %d has no answer", r.ID)
			r.over = true
		}
	}
}

func (c *checker) answer(id uint64, refusal bool) {
	r := c.requests[id]
	if r == nil {
		c.breaks("lost", "answer for %d, which was never taken", id)
		return
	}
	if r.over {
		return // the bench ignores an answer to what is finished
	}
	r.over = true
	r.answers++
	if refusal && r.class.Idempotency != scheduler.Idempotent && !(r.class.Idempotency == scheduler.IdempotentWithKey && r.class.Scope == scheduler.ScopeAll) {
		for _, t := range r.attempts {
			if t.mayHaveRun() {
				c.breaks("twice", "request %d is refused though it may have run", id)
				return
			}
		}
	}
}

func (c *checker) send(a scheduler.Forward) {
	r, n := c.requests[a.ID], c.nodes[a.Node]
	switch {
	case r == nil || r.over:
		c.breaks("lost", "request %d is sent after its end", a.ID)
		return
	case n == nil:
		c.breaks("drain", "node %s was never listed", a.Node)
		return
	case n.leftAt >= 0 && c.now > n.leftAt+c.set.Rules.DrainGrace:
		c.breaks("drain", "node %s left at %v, sent to at %v", a.Node, n.leftAt, c.now)
	}
	c.checkEffect(r, n)
	c.checkTurn(r)
	c.checkBudget(r)
	c.checkLimit(r)
	c.checkCold(r, n)
	r.attempts = append(r.attempts, &tried{node: a.Node, at: c.now})
	r.sentOnce = true
}

func (c *checker) checkEffect(r *watched, n *listed) {
	if max := c.set.Capabilities.MaxAttempts; max > 0 && len(r.attempts) >= max {
		c.breaks("twice", "request %d has attempt %d", r.ID, len(r.attempts)+1)
	}
	for _, t := range r.attempts {
		if !t.ended && !c.set.Capabilities.HedgedRequests {
			c.breaks("twice", "request %d has two attempts out", r.ID)
		}
	}
	for _, t := range r.attempts {
		if !t.mayHaveRun() {
			continue
		}
		first := c.nodes[t.node]
		switch {
		case r.class.Idempotency == scheduler.NotIdempotent:
			c.breaks("twice", "unsafe request %d is sent again", r.ID)
		case r.class.Idempotency != scheduler.IdempotentWithKey:
		case c.now > t.at+r.class.DedupWindow:
			c.breaks("twice", "keyed request %d is sent after its window", r.ID)
		case r.class.Scope == scheduler.ScopeZone && first.Zone != n.Zone, r.class.Scope == scheduler.ScopeShard && first.Shard != n.Shard:
			c.breaks("twice", "keyed request %d leaves its group", r.ID)
		}
		return
	}
}

func (c *checker) checkTurn(r *watched) {
	if !r.class.Ordered || r.Key == "" {
		return
	}
	if len(r.attempts) == 0 && c.now < c.quiet[r.Key] {
		c.breaks("order", "key %s is not at rest", r.Key)
	}
	for _, other := range c.keys[r.Key] {
		if other == r {
			return
		}
		out := false
		for _, t := range other.attempts {
			out = out || !t.ended
		}
		if !other.over || out {
			c.breaks("order", "request %d is sent before %d is over", r.ID, other.ID)
		}
	}
}

func (c *checker) checkBudget(r *watched) {
	span := c.set.Rules.RetryBudgetWindow
	if span == 0 || len(r.attempts) == 0 {
		return
	}
	c.extraAt = append(c.extraAt, c.now)
	within := func(times []scheduler.Time) (n float64) {
		for _, at := range times {
			if c.now-at < span {
				n++
			}
		}
		return n
	}
	if within(c.extraAt) > c.set.Rules.RetryBudgetMin+c.set.Rules.RetryBudgetRatio*within(c.takenAt)+1e-9 {
		c.breaks("budget", "%v further attempts, %v taken", within(c.extraAt), within(c.takenAt))
	}
}

// checkLimit lets this gateway's part start empty, as after a restart that followed a spent burst.
func (c *checker) checkLimit(r *watched) {
	plan := c.plan(r.Plan)
	if plan.Limit <= 0 || r.sentOnce {
		return
	}
	hosts := math.Max(1, float64(min(r.Brokers, c.set.Brokers)))
	p := c.limits[r.Volume]
	if p == nil {
		p = &part{at: 0}
		c.limits[r.Volume] = p
	}
	p.left = min(plan.LimitBurst/hosts, p.left+plan.Limit/hosts*(c.now-p.at).Seconds()) - r.Units
	p.at = c.now
	if p.left < -plan.LimitOverdraft/hosts-1e-6 {
		c.breaks("limit", "volume %s is at %.1f", r.Volume, p.left)
	}
}

// checkCold asks that what is sent within OverloadWindow stays under what a node of that age surely does,
// which is at least what it served, plus this gateway's part of what it bears beyond.
func (c *checker) checkCold(r *watched, n *listed) {
	rules := c.set.Rules
	n.sends = append(n.sends, load{c.now, r.Units})
	if rules.OverloadWindow == 0 || n.bornAt < 0 || c.now-n.bornAt > rules.WarmUpTime {
		return
	}
	sum := 0.0
	for _, l := range n.sends {
		if c.now-l.at <= rules.OverloadWindow && l.at >= n.bornAt {
			sum += l.units
		}
	}
	grown := 1 + (1-rules.InitialCapacity)/rules.InitialCapacity*float64(c.now-n.bornAt)/float64(rules.WarmUpTime)
	if sum > c.set.SlowStartUnits*grown/float64(c.set.Brokers)+1e-6 {
		c.breaks("cold", "node %s has %.1f units in hand at age %v", n.Name, sum, c.now-n.bornAt)
	}
}

// finish asks that nothing is owed any more.
func (c *checker) finish(at scheduler.Time) {
	c.now = at
	c.act(nil)
	for _, r := range c.requests {
		if r.answers > 1 {
			c.breaks("lost", "request %d has %d answers", r.ID, r.answers)
		}
	}
}

const second = scheduler.Time(time.Second)
