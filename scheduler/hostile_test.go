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

// decider is what the hostile sequences drive: a Scheduler, or a stub that breaks a rule.
type decider interface {
	Reduce(now scheduler.Time, events []scheduler.Event) []scheduler.Action
}

func hostileSettings(rng *rand.Rand) scheduler.Settings {
	ms := time.Millisecond
	set := scheduler.Settings{Brokers: 1 + rng.IntN(4), Zone: "a", Subscribe: rng.IntN(2) == 0,
		MeanUnits: 2, MaxUnits: 8, SlowStartUnits: 60, ShareWeight: 0.3, SpareWeight: 0.1,
		Classes: []scheduler.Class{
			{Name: "safe", LatencyObjective: 300 * ms, Deadline: 2000 * ms, PriorityWeight: 2, LateWeight: 0.2},
			{Name: "unsafe", LatencyObjective: 400 * ms, Deadline: 2000 * ms, PriorityWeight: 1, Idempotency: scheduler.NotIdempotent},
			{Name: "ordered", LatencyObjective: 500 * ms, Deadline: 3000 * ms, PriorityWeight: 1, Ordered: true},
			{Name: "all", LatencyObjective: 300 * ms, Deadline: 2000 * ms, PriorityWeight: 1, Idempotency: scheduler.IdempotentWithKey, DedupWindow: 900 * ms},
			{Name: "zone", LatencyObjective: 300 * ms, Deadline: 2000 * ms, PriorityWeight: 1, Idempotency: scheduler.IdempotentWithKey, Scope: scheduler.ScopeZone, DedupWindow: 900 * ms},
			{Name: "shard", LatencyObjective: 900 * ms, Deadline: 2000 * ms, PriorityWeight: 1, Idempotency: scheduler.IdempotentWithKey, Scope: scheduler.ScopeShard, DedupWindow: 900 * ms},
		},
		Plans: []scheduler.Plan{{Name: "low", Rate: 5, ReservedRate: 2, Limit: 40, LimitBurst: 60, LimitOverdraft: 8, Weight: 1, Price: 1},
			{Name: "high", Rate: 12, ReservedRate: 14, Weight: 3, Price: 2}, {Name: "none"}},
		Capabilities: scheduler.Capabilities{MaxAttempts: 4, MaxRetryAfter: time.Second, RetryAfter: rng.IntN(2) == 0, Cancel: rng.IntN(2) == 0, Peers: true},
		Rules: scheduler.Rules{AnswerSlack: 8 * ms, DrainGrace: 500 * ms, WarmUpTime: 10 * time.Second, InitialCapacity: 0.2,
			OverloadWindow: 2 * time.Second, OverloadMultiple: float64(2 + rng.IntN(3)), PollDeadline: 10 * time.Second, QuietPeriod: 300 * ms},
	}
	set.Ordinal = rng.IntN(set.Brokers)
	if rng.IntN(2) == 0 {
		set.Rules.RetryBudgetMin, set.Rules.RetryBudgetRatio, set.Rules.RetryBudgetWindow = 3, 0.15, 5*time.Second
	}
	return set
}

// due is an event that will be delivered at a time.
type due struct {
	at    scheduler.Time
	order int
	event scheduler.Event
}

// world feeds a decider with events drawn from a seed. It models no server: each attempt ends at a
// drawn time in a drawn way.
type world struct {
	rng     *rand.Rand
	set     scheduler.Settings
	now     scheduler.Time
	pending []due
	count   int
	nextID  uint64
	sends   map[uint64]int
	ends    map[uint64]scheduler.Time
	over    map[uint64]bool
	nodes   []scheduler.Endpoint
	sick    int // how often attempts go wrong, in percent
	trace   []string
}

func newWorld(seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), now: 1000 * second, sends: map[uint64]int{},
		ends: map[uint64]scheduler.Time{}, over: map[uint64]bool{}}
	w.set = hostileSettings(w.rng)
	w.sick = []int{2, 20, 60}[w.rng.IntN(3)]
	for i := range 6 {
		w.nodes = append(w.nodes, scheduler.Endpoint{Name: fmt.Sprintf("n%d:1", i), Zone: string(rune('a' + i%2)), Shard: i % 4})
	}
	return w
}

func (w *world) later(after time.Duration, event scheduler.Event) {
	w.count++
	w.pending = append(w.pending, due{w.now + after, w.count, event})
}

func (w *world) batch(start scheduler.Time) []scheduler.Event {
	var events []scheduler.Event
	if w.now == start {
		events = append(events, scheduler.EndpointUpdate{Kind: scheduler.CachedUpdate, Version: 1, Endpoints: slices.Clone(w.nodes)})
	}
	slices.SortFunc(w.pending, func(a, b due) int {
		if a.at != b.at {
			return int(max(-1, min(1, a.at-b.at)))
		}
		return a.order - b.order
	})
	for len(w.pending) > 0 && w.pending[0].at <= w.now {
		event := w.pending[0].event
		w.pending = w.pending[1:]
		if end, ok := event.(scheduler.AttemptEnded); ok {
			if w.over[end.ID] || end.Outcome == scheduler.Success {
				end.Finished = true
				w.over[end.ID] = true
			}
			event = end
		}
		if gone, ok := event.(scheduler.ClientGone); ok {
			if w.over[gone.ID] {
				continue
			}
			w.over[gone.ID] = true
		}
		events = append(events, event)
	}
	return events
}

func (w *world) draw(busy bool) []scheduler.Event {
	var events []scheduler.Event
	rate := 1
	if busy {
		rate = 8
	}
	for range w.rng.IntN(2 * rate) {
		w.nextID++
		class := w.set.Classes[w.rng.IntN(len(w.set.Classes))]
		shard := w.rng.IntN(5) - 1
		left := class.Deadline
		if w.rng.IntN(6) == 0 {
			left = time.Duration(w.rng.Int64N(int64(class.Deadline))) + 1
		}
		r := scheduler.Request{ID: w.nextID, Class: class.Name, Plan: w.set.Plans[w.rng.IntN(3)].Name,
			Key: fmt.Sprint("k", w.rng.IntN(5)), Remaining: left, Units: float64(1 + w.rng.IntN(8)), Shard: shard,
			Brokers: 1 + w.rng.IntN(w.set.Brokers)}
		r.Volume = fmt.Sprint(r.Plan, r.Brokers, w.rng.IntN(3))
		events = append(events, r)
		w.ends[r.ID] = w.now + left
		if w.rng.IntN(40) == 0 {
			w.later(time.Duration(w.rng.Int64N(int64(left))), scheduler.ClientGone{ID: r.ID})
		}
	}
	if w.rng.IntN(60) == 0 {
		events = append(events, w.drawList())
	}
	if w.rng.IntN(20) == 0 {
		data := make([]byte, w.rng.IntN(40))
		for i := range data {
			data[i] = byte(w.rng.IntN(3))
		}
		events = append(events, scheduler.PeerMessage{From: w.rng.IntN(6) - 1, Data: data})
	}
	if w.rng.IntN(30) == 0 {
		events = append(events, scheduler.AttemptEnded{ID: 1 << 40, Node: "nobody"}, scheduler.TimerFired{Token: 1 << 50}, scheduler.ClientGone{ID: 1 << 41})
	}
	return events
}

func (w *world) drawList() scheduler.Event {
	i := w.rng.IntN(len(w.nodes))
	switch w.rng.IntN(5) {
	case 0:
		return scheduler.EndpointUpdate{Kind: scheduler.FailedUpdate}
	case 1:
		w.nodes[i].State = scheduler.Draining
	case 2:
		w.nodes[i].State, w.nodes[i].StartedAt = scheduler.Ready, w.now
	case 3: // a new machine takes the place of another
		w.count++
		w.nodes[i] = scheduler.Endpoint{Name: fmt.Sprintf("m%d:1", w.count), Zone: w.nodes[i].Zone, Shard: w.nodes[i].Shard, StartedAt: w.now}
		return scheduler.EndpointUpdate{Kind: scheduler.FullUpdate, Endpoints: slices.Clone(w.nodes)}
	case 4:
		w.nodes[i].State = scheduler.Removed
	}
	return scheduler.EndpointUpdate{Kind: scheduler.DeltaUpdate, Endpoints: []scheduler.Endpoint{w.nodes[i]}}
}

func (w *world) follow(actions []scheduler.Action) {
	for _, action := range actions {
		w.trace = append(w.trace, fmt.Sprintf("%v %T %+v", w.now, action, action))
		switch a := action.(type) {
		case scheduler.Forward:
			w.endLater(a)
		case scheduler.SetTimer:
			w.later(max(a.After, time.Microsecond), scheduler.TimerFired{Token: a.Token})
		case scheduler.Reject:
			w.over[a.ID] = true
		case scheduler.Fail:
			w.over[a.ID] = true
		case scheduler.WatchEndpoints:
			kind := scheduler.FullUpdate
			if w.rng.IntN(2) == 0 {
				kind = scheduler.FailedUpdate
			}
			list := scheduler.EndpointUpdate{Kind: kind}
			if kind == scheduler.FullUpdate {
				list.Endpoints = slices.Clone(w.nodes)
			}
			w.later(50*time.Millisecond, list)
		case scheduler.Cancel:
			for i, d := range w.pending {
				if end, ok := d.event.(scheduler.AttemptEnded); ok && end.ID == a.ID && end.Attempt == a.Attempt {
					end.Outcome = scheduler.Canceled
					w.pending[i] = due{w.now + time.Millisecond, d.order, end}
				}
			}
		}
	}
}

func (w *world) endLater(a scheduler.Forward) {
	attempt := w.sends[a.ID]
	w.sends[a.ID]++
	left := w.ends[a.ID] - w.now
	took := time.Duration(w.rng.Int64N(int64(200 * time.Millisecond)))
	outcome := scheduler.Success
	if w.rng.IntN(100) < w.sick {
		outcome = scheduler.Outcome(1 + w.rng.IntN(5))
		took *= time.Duration(w.rng.IntN(8))
	}
	if outcome == scheduler.TimedOut || took >= left {
		took, outcome = left, scheduler.TimedOut
	}
	w.later(max(took, 1), scheduler.AttemptEnded{ID: a.ID, Attempt: attempt, Node: a.Node, Outcome: outcome, Latency: took, Load: scheduler.NoLoadReport})
}

// play runs a decider through a hostile day and returns the broken rules and the trace of actions.
func play(seed uint64, start func(scheduler.Settings) decider) ([]string, []string) {
	w := newWorld(seed)
	d, c := start(w.set), newChecker(w.set)
	begin := w.now
	for step := range 6000 {
		events := w.batch(begin)
		if step < 5000 && step%2 == 0 {
			events = append(events, w.draw(step/500%3 == 1)...)
		}
		if len(events) > 0 {
			c.see(w.now, events)
			actions := d.Reduce(w.now, events)
			c.act(actions)
			w.follow(actions)
		}
		w.now += 2 * time.Millisecond
	}
	c.finish(w.now)
	return c.broken, w.trace
}

func newGateway(set scheduler.Settings) decider {
	g, err := scheduler.New(set, 5)
	if err != nil {
		panic(err)
	}
	return g
}

func TestHostileSequencesBreakNoRule(t *testing.T) {
	for seed := range uint64(20) {
		if broken, _ := play(seed, newGateway); len(broken) > 0 {
			t.Errorf("seed %d: %d broken, first %v", seed, len(broken), broken[:min(3, len(broken))])
		}
	}
}

func TestEqualEventsGiveEqualActions(t *testing.T) {
	for seed := range uint64(6) {
		_, first := play(seed, newGateway)
		_, second := play(seed, newGateway)
		if !reflect.DeepEqual(first, second) {
			t.Errorf("seed %d: two runs differ", seed)
		}
	}
}

// stub breaks rules on purpose, to show that the checker can fail.
type stub func(events []scheduler.Event) []scheduler.Action

func (s stub) Reduce(_ scheduler.Time, events []scheduler.Event) []scheduler.Action { return s(events) }

// sendAtOnce sends each request to the first node ever listed for its shard, and again when it fails.
func sendAtOnce(scheduler.Settings) decider {
	nodes, taken := map[int]string{}, map[uint64]scheduler.Request{}
	send := func(r scheduler.Request) []scheduler.Action {
		if node := nodes[max(0, r.Shard)]; node != "" {
			return []scheduler.Action{scheduler.Forward{ID: r.ID, Node: node}}
		}
		return nil
	}
	return stub(func(events []scheduler.Event) (out []scheduler.Action) {
		for _, event := range events {
			switch e := event.(type) {
			case scheduler.EndpointUpdate:
				for _, n := range e.Endpoints {
					if e.Kind == scheduler.CachedUpdate || n.StartedAt > 0 {
						nodes[n.Shard] = n.Name
					}
				}
			case scheduler.Request:
				taken[e.ID] = e
				out = append(out, send(e)...)
			case scheduler.AttemptEnded:
				if r, known := taken[e.ID]; known && !e.Finished && e.Attempt < 6 {
					out = append(out, send(r)...)
				}
			}
		}
		return out
	})
}

// silent answers nothing.
func silent(scheduler.Settings) decider {
	return stub(func([]scheduler.Event) []scheduler.Action { return nil })
}

func TestCheckerSeesEachBrokenRule(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(8) {
		for _, start := range []func(scheduler.Settings) decider{sendAtOnce, silent} {
			broken, _ := play(seed, start)
			for _, text := range broken {
				rule, _, _ := strings.Cut(text, ":")
				seen[rule] = true
			}
		}
	}
	for _, rule := range []string{"lost", "twice", "drain", "cold", "order", "budget", "limit"} {
		if !seen[rule] {
			t.Errorf("no stub was caught breaking the rule %q", rule)
		}
	}
}
