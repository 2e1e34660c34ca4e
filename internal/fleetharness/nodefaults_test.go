package fleetharness

import "testing"

// A node that accepts connections and never answers causes no read to fail. The brokers find it unresponsive, send it
// no writes, and use it again after it answers.
func TestNodeThatNeverAnswers(t *testing.T) {
	fleet, ctx := startFleet(t, Scenario{Brokers: 4, Peers: true, Node: NodeSpec{Count: 5}})
	fleet.expectServed(t, 20, false)
	fleet.inject(t, ctx, Event{Kind: NodeSilent, Nodes: []int{1}})
	fleet.expectServed(t, 20, false)
	for b := range fleet.brokers {
		fleet.awaitLog(t, ctx, b, logNodeUnresponsive)
	}
	fleet.TakeAttemptCounts()
	fleet.expectServed(t, 20, true)
	if counts := fleet.TakeAttemptCounts(); counts[1] > 0 {
		t.Errorf("%d writes were sent to a silent node", counts[1])
	}
	fleet.HealNodes(1)
	for attempts := 0; attempts < 4; { // until the pauses of the brokers have ended
		if ctx.Err() != nil {
			t.Fatal("the node is not used after it answers again")
		}
		fleet.expectServed(t, 5, false)
		attempts += fleet.TakeAttemptCounts()[1]
	}
}

// Only half of the brokers can reach a node. That half uses the node as before, and no read of the other half fails.
func TestNodeReachedByHalf(t *testing.T) {
	fleet, ctx := startFleet(t, Scenario{Brokers: 4, Peers: true, Node: NodeSpec{Count: 4}})
	fleet.inject(t, ctx, Event{Kind: NodeAnswersLost, Nodes: []int{2}, Brokers: []int{0, 1}})
	fleet.expectServed(t, 40, false)
	fleet.TakeAttemptCounts()
	fleet.expectServed(t, 40, false, 2, 3)
	if counts := fleet.TakeAttemptCounts(); counts[2] < 5 {
		t.Errorf("brokers that reach the node do not use it: %v", counts)
	}
}

// One broker has ten times the traffic of the others, and a node reports that it is idle regardless of its load. The
// load stays balanced.
func TestHotBrokerAndFalseReport(t *testing.T) {
	fleet, ctx := startFleet(t, Scenario{Brokers: 4, Node: NodeSpec{Count: 5}})
	fleet.inject(t, ctx, Event{Kind: NodeReportsIdle, Nodes: []int{4}})
	done := make(chan struct{})
	go func() {
		defer close(done)
		fleet.expectServed(t, 20, false, 1, 2, 3)
	}()
	fleet.expectServed(t, 200, false, 0)
	<-done
	expectBalanced(t, fleet.TakeAttemptCounts())
}

// A slow node receives less than the others. A node that cuts connections or refuses them causes no read to fail, and
// no partial answer is forwarded.
func TestSlowCutAndCrashed(t *testing.T) {
	fleet, ctx := startFleet(t, Scenario{Brokers: 3, Node: NodeSpec{Count: 5}})
	fleet.inject(t, ctx, Event{Kind: NodeDelay, Nodes: []int{0}, DelayMS: 20})
	fleet.expectServed(t, 60, false)
	fleet.TakeAttemptCounts()
	fleet.expectServed(t, 60, false)
	if c := fleet.TakeAttemptCounts(); c[0]*4 > c[1]+c[2]+c[3]+c[4] {
		t.Errorf("the slow node received as many attempts as the others: %v", c)
	}
	fleet.inject(t, ctx, Event{Kind: NodeReset, Nodes: []int{1}})
	fleet.expectServed(t, 20, false)
	fleet.inject(t, ctx, Event{Kind: NodeCrash, Nodes: []int{2}})
	fleet.expectServed(t, 20, false)
	fleet.inject(t, ctx, Event{Kind: NodeCut, Nodes: []int{3}, Amount: 9})
	fleet.expectServed(t, 20, false)
}

// Links lose and delay packets in both directions, datagrams are reordered, and clients send slowly or disconnect in
// the middle of a request. No completely sent request is lost, and no rule is broken.
func TestPoorLinksEverywhere(t *testing.T) {
	fleet, ctx := startFleet(t, Scenario{Brokers: 4, Peers: true, Node: NodeSpec{Count: 4}})
	for _, event := range []Event{
		{Kind: NodeDelay, Nodes: []int{0}, DelayMS: 5, JitterMS: 10, Direction: Both},
		{Kind: NodeLoss, Nodes: []int{1}, Amount: 0.05, Direction: Requests},
		{Kind: BrokerDatagrams, Brokers: []int{0, 1}, DelayMS: 1, JitterMS: 50},
		{Kind: BrokerClientDelay, Brokers: []int{1}, DelayMS: 1, JitterMS: 5},
		{Kind: BrokerClientPace, Brokers: []int{2}, Amount: 20_000},
	} {
		fleet.inject(t, ctx, event)
	}
	fleet.expectServed(t, 30, false)
	fleet.inject(t, ctx, Event{Kind: BrokerClientCut, Brokers: []int{3}, Amount: 40})
	if outcomes := fleet.SendRequests(10, true, 3); outcomes[OutcomeCut] != 10 {
		t.Errorf("outcomes of 10 requests that were cut: %v", outcomes)
	}
	if outcomes := fleet.SendRequests(20, true, 0, 1, 2); outcomes[OutcomeServed] != 60 {
		t.Errorf("outcomes of 60 requests: %v", outcomes)
	}
}

// Each shard has only one node, as on the platform. Brokers do not find a node unresponsive if its shard has no other
// node to compare with.
func TestOneNodePerShard(t *testing.T) {
	fleet, _ := startFleet(t, Scenario{Brokers: 3, Shards: 3, Node: NodeSpec{Count: 3}})
	fleet.expectServed(t, 20, false)
	if n := len(fleet.LogLines(logNodeUnresponsive)); n > 0 {
		t.Errorf("%d nodes were found unresponsive", n)
	}
}
