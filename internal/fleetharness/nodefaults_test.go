package fleetharness

import "testing"

// A node that accepts and never answers costs no read, is found unresponsive, gets no write afterwards, and is used
// again once it answers.
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
		t.Errorf("%d writes went to a silent node", counts[1])
	}
	fleet.HealNodes(1)
	for attempts := 0; attempts < 4; { // all brokers' pauses end at last
		if ctx.Err() != nil {
			t.Fatal("the node that answers again is not used")
		}
		fleet.expectServed(t, 5, false)
		attempts += fleet.TakeAttemptCounts()[1]
	}
}

// A node that half of the brokers reach is used by that half as before, and costs the others no read.
func TestNodeReachedByHalf(t *testing.T) {
	fleet, ctx := startFleet(t, Scenario{Brokers: 4, Peers: true, Node: NodeSpec{Count: 4}})
	fleet.inject(t, ctx, Event{Kind: NodeAnswersLost, Nodes: []int{2}, Brokers: []int{0, 1}})
	fleet.expectServed(t, 40, false)
	fleet.TakeAttemptCounts()
	fleet.expectServed(t, 40, false, 2, 3)
	if counts := fleet.TakeAttemptCounts(); counts[2] < 5 {
		t.Errorf("brokers that reach the node left it: %v", counts)
	}
}

// One broker has ten times the others' traffic, and a node reports that it is idle whatever it holds: the load stays
// balanced.
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

// A node that is slow gets less than the others. One whose connections are cut, or that refuses them, costs no read,
// and no half answer is passed on.
func TestSlowCutAndCrashed(t *testing.T) {
	fleet, ctx := startFleet(t, Scenario{Brokers: 3, Node: NodeSpec{Count: 5}})
	fleet.inject(t, ctx, Event{Kind: NodeDelay, Nodes: []int{0}, DelayMS: 20})
	fleet.expectServed(t, 60, false)
	fleet.TakeAttemptCounts()
	fleet.expectServed(t, 60, false)
	if c := fleet.TakeAttemptCounts(); c[0]*4 > c[1]+c[2]+c[3]+c[4] {
		t.Errorf("the slow node got as much as the others: %v", c)
	}
	fleet.inject(t, ctx, Event{Kind: NodeReset, Nodes: []int{1}})
	fleet.expectServed(t, 20, false)
	fleet.inject(t, ctx, Event{Kind: NodeCrash, Nodes: []int{2}})
	fleet.expectServed(t, 20, false)
	fleet.inject(t, ctx, Event{Kind: NodeCut, Nodes: []int{3}, Amount: 9})
	fleet.expectServed(t, 20, false)
}

// Links lose and delay both ways, datagrams come out of order, and clients send slowly or break off in the middle. No
// request that was sent completely is lost, and no rule is broken.
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
		t.Errorf("%v", outcomes)
	}
	if outcomes := fleet.SendRequests(20, true, 0, 1, 2); outcomes[OutcomeServed] != 60 {
		t.Errorf("%v", outcomes)
	}
}

// Each shard has one node, as on the platform: no node is blamed for what it cannot be compared in.
func TestOneNodePerShard(t *testing.T) {
	fleet, _ := startFleet(t, Scenario{Brokers: 3, Shards: 3, Node: NodeSpec{Count: 3}})
	fleet.expectServed(t, 20, false)
	if n := len(fleet.LogLines(logNodeUnresponsive)); n > 0 {
		t.Errorf("%d nodes found unresponsive", n)
	}
}
