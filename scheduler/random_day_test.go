package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

// reducer is what a random day tests: a Scheduler, or a stub that breaks a rule.
type reducer interface {
	Reduce(now scheduler.Time, events []scheduler.Event) []scheduler.Action
}

// randomClasses returns classes with all kinds of idempotency, scope and order.
func randomClasses() []scheduler.Class {
	class := func(name string, objective, deadline time.Duration) scheduler.Class {
		return scheduler.Class{Name: name, LatencyObjective: objective, Deadline: deadline, PriorityWeight: 1}
	}
	withKey := func(name string, objective time.Duration, scope scheduler.Scope) scheduler.Class {
		c := class(name, objective, 2000*ms)
		c.Idempotency = scheduler.IdempotentWithKey
		c.Scope = scope
		c.DedupWindow = 900 * ms
		return c
	}
	idempotent := class("safe", 300*ms, 2000*ms)
	idempotent.PriorityWeight = 2
	idempotent.LateWeight = 0.2
	notIdempotent := class("unsafe", 400*ms, 2000*ms)
	notIdempotent.Idempotency = scheduler.NotIdempotent
	ordered := class("ordered", 500*ms, 3000*ms)
	ordered.Ordered = true
	return []scheduler.Class{
		idempotent,
		notIdempotent,
		ordered,
		withKey("all", 300*ms, scheduler.ScopeAll),
		withKey("zone", 300*ms, scheduler.ScopeZone),
		withKey("shard", 900*ms, scheduler.ScopeShard),
	}
}

// randomSettings returns a random deployment with all kinds of classes, limits and budgets. The order of the random
// draws is part of the recorded decisions.
func randomSettings(rng *rand.Rand) scheduler.Settings {
	settings := scheduler.Settings{
		Brokers: 1 + rng.IntN(4), Zone: "a", Subscribe: rng.IntN(2) == 0,
		MeanUnits: 2, MaxUnits: 8, SlowStartUnits: 60, ShareWeight: 0.3, SpareWeight: 0.1,
		Classes: randomClasses(),
		Plans: []scheduler.Plan{
			{Name: "low", Rate: 5, ReservedRate: 2, Limit: 40, LimitBurst: 60, LimitOverdraft: 8, Weight: 1, Price: 1},
			{Name: "high", Rate: 12, ReservedRate: 14, Weight: 3, Price: 2},
			{Name: "none"},
		},
		Capabilities: scheduler.Capabilities{
			MaxAttempts: 4, MaxRetryAfter: time.Second,
			RetryAfter: rng.IntN(2) == 0, Cancel: rng.IntN(2) == 0, Peers: true,
		},
		Rules: scheduler.Rules{
			AnswerSlack: 8 * ms, DrainGrace: 500 * ms, WarmUpTime: 10 * time.Second, InitialCapacity: 0.2,
			OverloadWindow: 2 * time.Second, OverloadMultiple: float64(2 + rng.IntN(3)),
			PollDeadline: 10 * time.Second, QuietPeriod: 300 * ms,
		},
	}
	settings.Ordinal = rng.IntN(settings.Brokers)
	if rng.IntN(2) == 0 {
		settings.Rules.RetryBudgetMin = 3
		settings.Rules.RetryBudgetRatio = 0.15
		settings.Rules.RetryBudgetWindow = 5 * time.Second
	}
	return settings
}

// randomDay generates random events for a reducer. It does not model nodes: each attempt ends at a random time with a
// random outcome.
type randomDay struct {
	rng          *rand.Rand
	settings     scheduler.Settings
	now          scheduler.Time
	pending      []timedEvent
	sequence     int
	lastID       uint64
	attempts     map[uint64]int
	deadlines    map[uint64]scheduler.Time
	over         map[uint64]bool
	endpoints    []scheduler.Endpoint
	faultPercent int // percentage of attempts that fail
	trace        []string
}

func newRandomDay(seed uint64) *randomDay {
	d := &randomDay{
		rng:       rand.New(rand.NewPCG(seed, 7)),
		now:       1000 * second,
		attempts:  map[uint64]int{},
		deadlines: map[uint64]scheduler.Time{},
		over:      map[uint64]bool{},
	}
	d.settings = randomSettings(d.rng)
	d.faultPercent = []int{2, 20, 60}[d.rng.IntN(3)]
	for i := range 6 {
		d.endpoints = append(d.endpoints, scheduler.Endpoint{
			Name: fmt.Sprintf("n%d:1", i), Zone: string(rune('a' + i%2)), Shard: i % 4,
		})
	}
	return d
}

func (d *randomDay) schedule(after time.Duration, event scheduler.Event) {
	d.sequence++
	d.pending = append(d.pending, timedEvent{d.now + after, d.sequence, 0, event})
}

// dueEvents removes and returns the pending events that are due. On the first call it adds an endpoint list.
func (d *randomDay) dueEvents(start scheduler.Time) []scheduler.Event {
	var events []scheduler.Event
	if d.now == start {
		events = append(events, scheduler.EndpointUpdate{
			Kind: scheduler.CachedUpdate, Version: 1, Endpoints: slices.Clone(d.endpoints),
		})
	}
	slices.SortFunc(d.pending, func(a, b timedEvent) int {
		if a.at != b.at {
			return int(max(-1, min(1, a.at-b.at)))
		}
		return a.sequence - b.sequence
	})
	for len(d.pending) > 0 && d.pending[0].at <= d.now {
		event := d.pending[0].event
		d.pending = d.pending[1:]
		switch e := event.(type) {
		case scheduler.AttemptEnded:
			if d.over[e.ID] || e.Outcome == scheduler.Success {
				e.Finished = true
				d.over[e.ID] = true
			}
			event = e
		case scheduler.ClientGone:
			if d.over[e.ID] {
				continue
			}
			d.over[e.ID] = true
		}
		events = append(events, event)
	}
	return events
}

// drawRequest returns a random request. Its client may disconnect before the deadline.
func (d *randomDay) drawRequest() scheduler.Request {
	d.lastID++
	class := d.settings.Classes[d.rng.IntN(len(d.settings.Classes))]
	shard := d.rng.IntN(5) - 1
	remaining := class.Deadline
	if d.rng.IntN(6) == 0 {
		remaining = time.Duration(d.rng.Int64N(int64(class.Deadline))) + 1
	}
	r := scheduler.Request{
		ID: d.lastID, Class: class.Name, Plan: d.settings.Plans[d.rng.IntN(3)].Name,
		Key: fmt.Sprint("k", d.rng.IntN(5)), Remaining: remaining, Units: float64(1 + d.rng.IntN(8)),
		Shard: shard, Brokers: 1 + d.rng.IntN(d.settings.Brokers),
	}
	r.Volume = fmt.Sprint(r.Plan, r.Brokers, d.rng.IntN(3))
	d.deadlines[r.ID] = d.now + remaining
	if d.rng.IntN(40) == 0 {
		d.schedule(time.Duration(d.rng.Int64N(int64(remaining))), scheduler.ClientGone{ID: r.ID})
	}
	return r
}

// drawEvents returns random external events: requests, updates, invalid peer messages, and events for unknown requests
// and timers.
func (d *randomDay) drawEvents(busy bool) []scheduler.Event {
	var events []scheduler.Event
	rate := 1
	if busy {
		rate = 8
	}
	for range d.rng.IntN(2 * rate) {
		events = append(events, d.drawRequest())
	}
	if d.rng.IntN(60) == 0 {
		events = append(events, d.drawUpdate())
	}
	if d.rng.IntN(20) == 0 {
		data := make([]byte, d.rng.IntN(40))
		for i := range data {
			data[i] = byte(d.rng.IntN(3))
		}
		events = append(events, scheduler.PeerMessage{From: d.rng.IntN(6) - 1, Data: data})
	}
	if d.rng.IntN(30) == 0 {
		events = append(events,
			scheduler.AttemptEnded{ID: 1 << 40, Node: "nobody"},
			scheduler.TimerFired{Token: 1 << 50},
			scheduler.ClientGone{ID: 1 << 41})
	}
	return events
}

func (d *randomDay) drawUpdate() scheduler.Event {
	i := d.rng.IntN(len(d.endpoints))
	endpoint := &d.endpoints[i]
	switch d.rng.IntN(5) {
	case 0:
		return scheduler.EndpointUpdate{Kind: scheduler.FailedUpdate}
	case 1:
		endpoint.State = scheduler.Draining
	case 2:
		endpoint.State = scheduler.Ready
		endpoint.StartedAt = d.now
	case 3: // a new node replaces another node
		d.sequence++
		*endpoint = scheduler.Endpoint{
			Name: fmt.Sprintf("m%d:1", d.sequence), Zone: endpoint.Zone, Shard: endpoint.Shard, StartedAt: d.now,
		}
		return fullUpdate(slices.Clone(d.endpoints)...)
	case 4:
		endpoint.State = scheduler.Removed
	}
	return deltaUpdate(*endpoint)
}

// carryOut carries out actions.
func (d *randomDay) carryOut(actions []scheduler.Action) {
	for _, action := range actions {
		d.trace = append(d.trace, fmt.Sprintf("%v %T %+v", d.now, action, action))
		switch a := action.(type) {
		case scheduler.Forward:
			d.drawEnd(a)
		case scheduler.SetTimer:
			d.schedule(max(a.After, time.Microsecond), scheduler.TimerFired{Token: a.Token})
		case scheduler.Reject:
			d.over[a.ID] = true
		case scheduler.Fail:
			d.over[a.ID] = true
		case scheduler.WatchEndpoints:
			update := fullUpdate(slices.Clone(d.endpoints)...)
			if d.rng.IntN(2) == 0 {
				update = scheduler.EndpointUpdate{Kind: scheduler.FailedUpdate}
			}
			d.schedule(50*time.Millisecond, update)
		case scheduler.Cancel:
			d.cancel(a)
		}
	}
}

// cancel lets an attempt in flight end as canceled after a millisecond.
func (d *randomDay) cancel(a scheduler.Cancel) {
	for i, pending := range d.pending {
		if end, ok := pending.event.(scheduler.AttemptEnded); ok && end.ID == a.ID && end.Attempt == a.Attempt {
			end.Outcome = scheduler.Canceled
			d.pending[i] = timedEvent{d.now + time.Millisecond, pending.sequence, 0, end}
		}
	}
}

// drawEnd schedules the random end of an attempt.
func (d *randomDay) drawEnd(a scheduler.Forward) {
	attempt := d.attempts[a.ID]
	d.attempts[a.ID]++
	remaining := d.deadlines[a.ID] - d.now
	latency := time.Duration(d.rng.Int64N(int64(200 * time.Millisecond)))
	outcome := scheduler.Success
	if d.rng.IntN(100) < d.faultPercent {
		outcome = scheduler.Outcome(1 + d.rng.IntN(5))
		latency *= time.Duration(d.rng.IntN(8))
	}
	if outcome == scheduler.TimedOut || latency >= remaining {
		latency, outcome = remaining, scheduler.TimedOut
	}
	d.schedule(max(latency, 1), scheduler.AttemptEnded{
		ID: a.ID, Attempt: attempt, Node: a.Node, Outcome: outcome, Latency: latency, Load: scheduler.NoLoadReport,
	})
}

// playRandomDay runs a reducer through a random day. It returns the violations of rules and a trace of the actions.
func playRandomDay(seed uint64, start func(scheduler.Settings) reducer) (violations, trace []string) {
	d := newRandomDay(seed)
	r, c := start(d.settings), newChecker(d.settings)
	begin := d.now
	for step := range 6000 {
		events := d.dueEvents(begin)
		if step < 5000 && step%2 == 0 {
			events = append(events, d.drawEvents(step/500%3 == 1)...)
		}
		if len(events) > 0 {
			c.observeEvents(d.now, events)
			actions := r.Reduce(d.now, events)
			c.checkActions(actions)
			d.carryOut(actions)
		}
		d.now += 2 * time.Millisecond
	}
	c.finish(d.now)
	return c.violations, d.trace
}

// startScheduler returns a function that creates a Scheduler.
func startScheduler(t *testing.T) func(scheduler.Settings) reducer {
	return func(settings scheduler.Settings) reducer { return newScheduler(t, settings, 5) }
}

// The scheduler must not break a rule on any of the random days.
func TestRandomDaysBreakNoRule(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			if violations, _ := playRandomDay(seed, startScheduler(t)); len(violations) > 0 {
				t.Errorf("%d violations, the first are %v", len(violations), violations[:min(3, len(violations))])
			}
		})
	}
}

func TestEqualEventsGiveEqualActions(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			_, first := playRandomDay(seed, startScheduler(t))
			_, second := playRandomDay(seed, startScheduler(t))
			if !reflect.DeepEqual(first, second) {
				t.Error("two runs with equal events gave different actions")
			}
		})
	}
}

// stub is a reducer that breaks rules on purpose, to show that the checker detects violations.
type stub func(events []scheduler.Event) []scheduler.Action

func (s stub) Reduce(_ scheduler.Time, events []scheduler.Event) []scheduler.Action { return s(events) }

// forwardAtOnce returns a stub that forwards each request at once, and again after each failed attempt. It uses the
// node of the request's shard that was listed last, either in the cached list or with a start time.
func forwardAtOnce(scheduler.Settings) reducer {
	nodes, requests := map[int]string{}, map[uint64]scheduler.Request{}
	forward := func(r scheduler.Request) []scheduler.Action {
		if node := nodes[max(0, r.Shard)]; node != "" {
			return []scheduler.Action{scheduler.Forward{ID: r.ID, Node: node}}
		}
		return nil
	}
	return stub(func(events []scheduler.Event) (actions []scheduler.Action) {
		for _, event := range events {
			switch e := event.(type) {
			case scheduler.EndpointUpdate:
				for _, endpoint := range e.Endpoints {
					if e.Kind == scheduler.CachedUpdate || endpoint.StartedAt > 0 {
						nodes[endpoint.Shard] = endpoint.Name
					}
				}
			case scheduler.Request:
				requests[e.ID] = e
				actions = append(actions, forward(e)...)
			case scheduler.AttemptEnded:
				if r, known := requests[e.ID]; known && !e.Finished && e.Attempt < 6 {
					actions = append(actions, forward(r)...)
				}
			}
		}
		return actions
	})
}

// answerNothing returns a stub that never answers a request.
func answerNothing(scheduler.Settings) reducer {
	return stub(func([]scheduler.Event) []scheduler.Action { return nil })
}

func TestCheckerDetectsEachBrokenRule(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(8) {
		for _, start := range []func(scheduler.Settings) reducer{forwardAtOnce, answerNothing} {
			violations, _ := playRandomDay(seed, start)
			for _, text := range violations {
				rule, _, _ := strings.Cut(text, ":")
				seen[rule] = true
			}
		}
	}
	rules := []string{ruleAnswer, ruleExecution, ruleDrain, ruleSlowStart, ruleOrder, ruleBudget, ruleLimit}
	for _, rule := range rules {
		if !seen[rule] {
			t.Errorf("the checker detected no violation of the rule %q", rule)
		}
	}
}
