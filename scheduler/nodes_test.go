package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

// Discovery fails for 20 s. A single timer must retry the subscription. If each failed update started its own chain of
// timers, the broker would retry more and more often.
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
		t.Errorf("subscribed %d times in 20 s, want 2 to 12", asked)
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
		t.Errorf("forwarded requests %v to a draining node, want none", got)
	}
}

// Two attempts receive no answer. Their slots must be freed before their deadlines, because otherwise the requests
// queued behind them would be given up.
func TestLostAttemptsFreeTheirSlots(t *testing.T) {
	d := newDriver(t, basicSettings(), oneNode)
	served := d.request("high", "v", 1)
	d.advance(20 * ms)
	d.succeed(served, 20*ms)
	d.request("high", "v", 1)
	d.request("high", "v", 1)
	d.takeActions()
	queued := d.request("high", "v", 1)
	if got := d.takeForwarded(); len(got) != 0 {
		t.Fatalf("forwarded requests %v above the limit, want none", got)
	}
	d.advance(370 * ms)
	next := d.request("high", "v", 1)
	if got := d.takeForwarded(); len(got) == 0 {
		t.Errorf("no request forwarded, want request %d or %d: the attempts before them are lost", queued, next)
	}
}

// A starting node must receive most of the requests that it serves, and not stay idle because of its slow-start budget.
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
		t.Errorf("%d of 20 requests forwarded although each was served, want at least 15", total)
	}
	d.request("high", "v", 3)
	d.request("high", "v", 3)
	if got := d.takeForwarded(); len(got) != 1 {
		t.Errorf("forwarded requests %v, want one: the slow-start budget covers no more", got)
	}
}

// A starting node must receive some new objects, but not more than it can certainly handle. Without new objects for
// starting nodes, all new objects would go to the few nodes that had not restarted, after many restarts.
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
		t.Errorf("%d of 8 new objects go to the starting node, want 1 to 5", count)
	}
}

// Brokers that know nothing of the nodes' latencies must spread their new objects, and not all choose the first node.
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
		t.Errorf("100 brokers put their first new object on %d of 40 nodes, want at least 25", len(used))
	}
}

// forwardsOf returns how many of 12 requests are forwarded to a node that answers after the given latencies in turn.
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

// Many brokers use a slow node. They must pace their forwards to it. Otherwise one attempt of each broker would give
// the node a hundred requests at once, and each request would wait at the node for almost a latency objective.
func TestManyBrokersPaceTheirForwardsToACongestedNode(t *testing.T) {
	for _, latency := range []time.Duration{400 * ms, 200 * ms} {
		t.Run(latency.String(), func(t *testing.T) {
			few, many := forwardsOf(t, 4, "high", latency), forwardsOf(t, 100, "high", latency)
			if few < 12 || many > 10 {
				t.Errorf("%d forwards with 4 brokers, want 12; %d with 100 brokers, want at most 10", few, many)
			}
		})
	}
}

// A healthy node that occasionally pauses or postpones work must not be treated as congested.
func TestSlowAnswersAmongQuickOnesAreNoCongestion(t *testing.T) {
	if count := forwardsOf(t, 100, "high", 20*ms, 200*ms, 200*ms); count < 12 {
		t.Errorf("%d of 12 requests go to a node that pauses, want 12", count)
	}
}

// While requests queue at a node, requests beyond the reserved rate must be delayed and reserved requests must not.
// Otherwise unreserved requests of one broker would occupy the slots of reserved requests of other brokers.
func TestUnreservedRequestsYieldAtACongestedNode(t *testing.T) {
	reserved, unreserved := forwardsOf(t, 4, "high", 200*ms), forwardsOf(t, 4, "low", 200*ms)
	if reserved < 12 || unreserved > 8 {
		t.Errorf("%d of 12 reserved requests go to a congested node, want 12; %d of 12 others, want at most 8",
			reserved, unreserved)
	}
	if idle := forwardsOf(t, 4, "low", 40*ms); idle < 12 {
		t.Errorf("%d of 12 requests beyond the reserved rate go to an idle node, want 12", idle)
	}
}

// A broker with few requests must treat a node as congested only for a limited time. Otherwise it would reject
// requests long after the node has recovered.
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
		t.Fatalf("a request is forwarded at once to a congested node: %v", actions)
	}
	d.advance(15 * second)
	id := d.request("high", "v", 2)
	if got := d.takeForwarded(); len(got) == 0 || got[len(got)-1] != id {
		t.Errorf("forwarded requests %v, want %d as the last after a long time without requests", got, id)
	}
}

// An attempt must be canceled if the node has served later attempts, so that its request is retried. An attempt that
// is only late must not be canceled: a retry would double the work of a congested node.
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
		t.Fatalf("an attempt that was not overtaken is canceled: %v", actions)
	}
	d = newDriver(t, settings, oneNode)
	slow := d.request("high", "v", 1)
	for range 5 { // the node answers the later requests
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

// actionsOfLateAttempt returns the actions of a scheduler while a node answers all requests except the first after the
// given latency, until the first attempt is late.
func actionsOfLateAttempt(t *testing.T, latency time.Duration) []scheduler.Action {
	t.Helper()
	settings := basicSettings()
	settings.Capabilities.MaxAttempts = 1
	d := newDriver(t, settings, oneNode)
	d.request("high", "late", 1)
	for range 15 { // the node answers the later requests
		id := d.request("high", "v", 1)
		d.advance(latency)
		d.succeed(id, latency)
	}
	d.advance(max(0, 400*ms-15*latency))
	return d.takeActions()
}

// Late attempts must be canceled at a congested node. Otherwise the node works mostly on requests that are already
// late, and does half of what it could. At a fast node the scheduler must still wait for a late answer.
func TestLateAttemptsAreCanceledAtACongestedNode(t *testing.T) {
	if quick := actionsOfLateAttempt(t, 20*ms); hasAction[scheduler.Cancel](quick) {
		t.Errorf("a late attempt is canceled at a fast node: %v", quick)
	}
	slow := actionsOfLateAttempt(t, 200*ms)
	if !hasAction[scheduler.Cancel](slow) || !hasAction[scheduler.Reject](slow) {
		t.Errorf("a late attempt is not canceled and rejected at a congested node: %v", slow)
	}
}

// A single lost or broken answer says nothing about a node's capacity: the next request must be forwarded at once.
// After two consecutive broken connections the node must back off. A success clears the count. Errors that a node
// answers with must never cause a backoff: the node is alive, and no other node stores the shard.
func TestNodeBacksOffAfterTwoBrokenConnections(t *testing.T) {
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
				t.Fatalf("forwarded requests %v after one fault, want one", got)
			}
			d.endAttempt(first, 1, scheduler.Success, 20*ms)
			next := d.request("high", "v", 1)
			if got := fail(next, 0); len(got) != 1 {
				t.Errorf("forwarded requests %v after a fault that follows a success, want one", got)
			}
			if got := fail(next, 1); (len(got) == 0) != (outcome == scheduler.ConnectionBroken) {
				t.Errorf("forwarded requests %v after two consecutive faults, want a backoff only for outcome %d",
					got, scheduler.ConnectionBroken)
			}
		})
	}
}
