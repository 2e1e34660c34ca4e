package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

// The discovery fails for 20 s. One timer asks for the list again: a chain of timers for each failed list would
// ask ever more often.
func TestFailedListsKeepOneTimer(t *testing.T) {
	settings := basicSettings()
	settings.Subscribe = true
	settings.Rules.PollDeadline = 10 * second
	d := newDriver(t, settings)
	for range 100 {
		d.step(scheduler.EndpointUpdate{Kind: scheduler.FailedUpdate})
		d.advance(200 * ms)
	}
	asked := 0
	for _, action := range d.takeActions() {
		if _, ok := action.(scheduler.WatchEndpoints); ok {
			asked++
		}
	}
	if asked < 2 || asked > 12 {
		t.Errorf("asked %d times in 20 s", asked)
	}
}

func TestDrainingNodeGetsNothingInTheSameStep(t *testing.T) {
	d := newDriver(t, basicSettings(), oneNode)
	draining := oneNode
	draining.State = scheduler.Draining
	d.step(deltaUpdate(draining), scheduler.Request{
		ID: 50, Class: "read", Plan: "high", Volume: "v", Units: 1, Brokers: 1, Remaining: 2000 * ms,
	})
	if got := d.takeForwarded(); len(got) != 0 {
		t.Errorf("forwarded %v to a draining node", got)
	}
}

// An attempt gets no answer. Its slot is free again before its deadline: else the requests behind it would be
// given up.
func TestLostAttemptsGiveTheirSlotsBack(t *testing.T) {
	d := newDriver(t, basicSettings(), oneNode)
	served := d.request("high", "v", 1)
	d.advance(20 * ms)
	d.succeed(served, 20*ms)
	d.request("high", "v", 1)
	d.request("high", "v", 1)
	d.takeActions()
	queued := d.request("high", "v", 1)
	if got := d.takeForwarded(); len(got) != 0 {
		t.Fatalf("forwarded %v over the limit", got)
	}
	d.advance(370 * ms)
	next := d.request("high", "v", 1)
	if got := d.takeForwarded(); len(got) == 0 {
		t.Errorf("nothing forwarded; requests %d and %d wait behind lost attempts", queued, next)
	}
}

// A node that has just started gets as much as it serves: it must not stand idle behind its slow-start budget.
func TestStartingNodeGetsWhatItServes(t *testing.T) {
	settings := basicSettings()
	settings.SlowStartUnits = 8
	slowStartRules(&settings.Rules, 2)
	d := newDriver(t, settings, scheduler.Endpoint{Name: "n:1", StartedAt: 100*second - ms})
	total := 0
	for range 20 {
		id := d.request("high", "v", 2)
		if len(d.takeForwarded()) == 1 {
			total++
			d.advance(10 * ms)
			d.succeed(id, 10*ms)
		}
	}
	if total < 15 {
		t.Errorf("only %d of 20 were forwarded though each was served", total)
	}
	d.request("high", "v", 3)
	d.request("high", "v", 3)
	if got := d.takeForwarded(); len(got) != 1 {
		t.Errorf("forwarded %v: more in flight than the budget", got)
	}
}

// A starting node gets the new objects that it surely bears: else, after many restarts, all would go to the few
// nodes that had not restarted.
func TestStartingNodesGetNewObjects(t *testing.T) {
	settings := basicSettings()
	settings.SlowStartUnits = 40
	slowStartRules(&settings.Rules, 2)
	d := newDriver(t, settings, oneNode)
	d.step(deltaUpdate(scheduler.Endpoint{Name: "n:2", Shard: 1, StartedAt: d.now - ms}))
	d.advance(second)
	d.takeActions()
	for range 8 {
		d.requestLike(scheduler.Request{Units: 1, Shard: -1, Brokers: 1})
	}
	count := 0
	for _, action := range d.takeActions() {
		if forward, ok := action.(scheduler.Forward); ok && forward.Node == "n:2" {
			count++
		}
	}
	if count == 0 || count > 5 {
		t.Errorf("%d of 8 new objects go to the starting node", count)
	}
}

// Brokers that know nothing of the nodes spread their new objects: they must not all choose the first node.
func TestBrokersSpreadNewObjects(t *testing.T) {
	var endpoints []scheduler.Endpoint
	for i := range 40 {
		endpoints = append(endpoints, scheduler.Endpoint{Name: fmt.Sprintf("n%d:1", i), Shard: i})
	}
	used := map[string]int{}
	for seed := range uint64(100) {
		s := newScheduler(t, basicSettings(), seed)
		actions := s.Reduce(100*second, []scheduler.Event{fullUpdate(endpoints...), scheduler.Request{
			ID: 1, Class: "read", Plan: "high", Volume: "v", Units: 1, Shard: -1, Brokers: 1, Remaining: 2 * second,
		}})
		for _, action := range actions {
			if forward, ok := action.(scheduler.Forward); ok {
				used[forward.Node]++
			}
		}
	}
	if len(used) < 25 {
		t.Errorf("100 brokers put their first new object on %d of 40 nodes", len(used))
	}
}

// forwardsOf counts how many of 12 requests go to a node whose answers take the given times, in turn.
func forwardsOf(t *testing.T, brokers int, plan string, latencies ...time.Duration) (count int) {
	t.Helper()
	settings := basicSettings()
	settings.Brokers = brokers
	d := newDriver(t, settings, oneNode)
	for i := range 12 {
		latency := latencies[i%len(latencies)]
		id := d.request(plan, "v", 2)
		count += len(d.takeForwarded())
		d.advance(latency)
		d.succeed(id, latency)
	}
	return count
}

// A node is slow and many brokers use it. They pace their forwards to it: one attempt of each would bury it under a
// hundred requests, and hold the queue at every node just under a latency objective.
func TestManyBrokersPaceTheirForwardsToACongestedNode(t *testing.T) {
	for _, latency := range []time.Duration{400 * ms, 200 * ms} {
		t.Run(latency.String(), func(t *testing.T) {
			few, many := forwardsOf(t, 4, "high", latency), forwardsOf(t, 100, "high", latency)
			if few < 12 || many > 10 {
				t.Errorf("%d forwards of one of 4 brokers, %d of one of 100", few, many)
			}
		})
	}
}

// A sound node that pauses now and then, or puts off work, is not taken for a congested one.
func TestSlowAnswersAmongQuickOnesAreNoCongestion(t *testing.T) {
	if count := forwardsOf(t, 100, "high", 20*ms, 200*ms, 200*ms); count < 12 {
		t.Errorf("%d of 12 requests go to a node that pauses", count)
	}
}

// Requests beyond the reserved rate yield while a queue stands at the node, reserved ones do not: else those at one
// broker would take the slots of reserved ones at others.
func TestUnreservedRequestsYieldAtACongestedNode(t *testing.T) {
	reserved, unreserved := forwardsOf(t, 4, "high", 200*ms), forwardsOf(t, 4, "low", 200*ms)
	if reserved < 12 || unreserved > 8 {
		t.Errorf("%d reserved and %d other requests of 12 go to a congested node", reserved, unreserved)
	}
	if idle := forwardsOf(t, 4, "low", 40*ms); idle < 12 {
		t.Errorf("%d of 12 requests beyond the reserved rate go to an idle node", idle)
	}
}

// A broker with few requests takes a node for congested for a while only: else it would reject at once long after
// the node had recovered.
func TestCongestionFades(t *testing.T) {
	settings := basicSettings()
	settings.Brokers = 100
	d := newDriver(t, settings, oneNode)
	for range 8 {
		id := d.request("high", "v", 2)
		d.advance(400 * ms)
		d.succeed(id, 400*ms)
	}
	d.takeActions()
	d.request("high", "v", 2)
	if actions := d.takeActions(); hasAction[scheduler.Forward](actions) {
		t.Fatalf("forwards at once to a congested node: %v", actions)
	}
	d.advance(15 * second)
	id := d.request("high", "v", 2)
	if got := d.takeForwarded(); len(got) == 0 || got[len(got)-1] != id {
		t.Errorf("forwarded %v, want %d after a long quiet time", got, id)
	}
}

// An attempt that later attempts overtook is canceled and retried; one that is only late is not, which would be
// twice the work for a congested node.
func TestLateAttemptsAreRetriedOnlyIfOvertaken(t *testing.T) {
	settings := basicSettings()
	settings.Classes[0].LatencyObjective = 400 * ms
	settings.Classes = append(settings.Classes, scheduler.Class{
		Name: "soon", LatencyObjective: 150 * ms, Deadline: 2000 * ms, PriorityWeight: 1,
	})
	d := newDriver(t, settings, oneNode)
	d.request("high", "v", 1)
	d.advance(250 * ms)
	if actions := d.takeActions(); hasAction[scheduler.Cancel](actions) {
		t.Fatalf("cancels an attempt that nothing overtook: %v", actions)
	}
	d = newDriver(t, settings, oneNode)
	slow := d.request("high", "v", 1)
	for range 5 { // the node answers what came later
		id := d.request("high", "v", 1)
		d.advance(10 * ms)
		d.succeed(id, 10*ms)
	}
	d.takeActions()
	d.advance(200 * ms)
	for _, action := range d.takeActions() {
		if cancel, ok := action.(scheduler.Cancel); ok && cancel.ID == slow {
			return
		}
	}
	t.Error("an overtaken attempt is not canceled")
}

// actionsOfLateAttempt is what is done while a node answers all requests but the first after a latency, until
// the first is late.
func actionsOfLateAttempt(t *testing.T, latency time.Duration) []scheduler.Action {
	t.Helper()
	settings := basicSettings()
	settings.Capabilities.MaxAttempts = 1
	d := newDriver(t, settings, oneNode)
	d.request("high", "late", 1)
	for range 15 { // the node answers what came later
		id := d.request("high", "v", 1)
		d.advance(latency)
		d.succeed(id, latency)
	}
	d.advance(max(0, 400*ms-15*latency))
	return d.takeActions()
}

// At a congested node late attempts are canceled: else it works mostly at what is late already, and does half of what
// it could. At a quick node a late answer is still waited for.
func TestLateAttemptsAreCanceledAtACongestedNode(t *testing.T) {
	if quick := actionsOfLateAttempt(t, 20*ms); hasAction[scheduler.Cancel](quick) {
		t.Errorf("canceled at a quick node: %v", quick)
	}
	slow := actionsOfLateAttempt(t, 200*ms)
	if !hasAction[scheduler.Cancel](slow) || !hasAction[scheduler.Reject](slow) {
		t.Errorf("late work goes on at a congested node: %v", slow)
	}
}

// A lost or broken answer now and then says nothing of a node's capacity: its next request is forwarded at
// once. After two in a row the node backs off, and a success clears the count. Errors that a node answers with
// never have it back off: it answers, and no other node holds its shard.
func TestOneBrokenConnectionDoesNotRestANode(t *testing.T) {
	for _, outcome := range []scheduler.Outcome{scheduler.ConnectionBroken, scheduler.Failure} {
		t.Run(fmt.Sprint("outcome=", outcome), func(t *testing.T) {
			d := newDriver(t, basicSettings(), oneNode)
			fail := func(id uint64, attempt int) []uint64 {
				d.takeActions()
				d.endAttempt(id, attempt, outcome, 20*ms)
				return d.takeForwarded()
			}
			first := d.request("high", "v", 1)
			if got := fail(first, 0); len(got) != 1 {
				t.Fatalf("forwarded %v after one", got)
			}
			d.endAttempt(first, 1, scheduler.Success, 20*ms)
			next := d.request("high", "v", 1)
			if got := fail(next, 0); len(got) != 1 {
				t.Errorf("forwarded %v after one behind a success", got)
			}
			if got := fail(next, 1); (len(got) == 0) != (outcome == scheduler.ConnectionBroken) {
				t.Errorf("forwarded %v after two in a row", got)
			}
		})
	}
}
