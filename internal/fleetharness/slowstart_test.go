package fleetharness

import (
	"testing"
	"time"
)

// Two nodes restart while they receive more requests than they can serve. One broker learns of the restart late, and
// two brokers are killed during the slow start and learn of it only from the list. The load of all brokers together
// stays within the limit of a node in slow start, and the killed brokers serve again.
func TestSlowStartWithRestarts(t *testing.T) {
	fleet, ctx := startFleet(t, Scenario{
		Brokers: 5, Peers: true, Shards: 2, Node: NodeSpec{Count: 2, Slots: 1, UnitMS: 10},
	})
	fleet.SendRequests(10, false)
	fleet.inject(t, ctx, Event{Kind: ViewLate, Brokers: []int{4}, DelayMS: 700})
	fleet.inject(t, ctx, Event{Kind: NodeCrash, Nodes: []int{0, 1}, DurationS: 0.05})
	restarted := make(chan error)
	go func() { restarted <- fleet.RestartBrokers(ctx, 0, 1) }()
	outcomes := fleet.SendRequests(40, false, 2, 3, 4)
	if err := <-restarted; err != nil {
		t.Fatal(err)
	}
	for outcome, n := range fleet.SendRequests(40, false) {
		outcomes[outcome] += n
	}
	if outcomes[OutcomeServed] == 0 || outcomes[OutcomeLost] > 0 {
		t.Errorf("outcomes: %v", outcomes)
	}
	for _, n := range fleet.nodes {
		expectWithinLimit(t, n)
	}
}

// expectWithinLimit expects a node to have received load during its slow start, and no more than its limit.
func expectWithinLimit(t *testing.T, n *fakeNode) {
	t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.slowStart) == 0 {
		t.Errorf("%s received no load during its slow start", n.name)
	}
	for _, s := range n.slowStart {
		if s.Units > s.Limit {
			t.Errorf("%s received %.0f units at age %d s, above its limit of %.0f", s.Node, s.Units, s.AgeS, s.Limit)
		}
	}
}

// The load of a node in slow start is recorded by second of its age, as the window with the highest load relative to
// the limit. The record begins again when the node starts again.
func TestSlowStartSeconds(t *testing.T) {
	fleet := &Fleet{scenario: &Scenario{Node: NodeSpec{Slots: 1, UnitMS: 20}}}
	n := &fakeNode{fleet: fleet, name: "n", speed: 1, startedAt: time.Hour}
	limitAtStart := 4 * 0.18 * 50 * 3
	for i := range 40 {
		n.addUnits(time.Hour+time.Duration(i)*100*time.Millisecond, 1)
	}
	within := n.addUnits(time.Hour+4*time.Second, 2*limitAtStart)
	if within || len(n.slowStart) != 5 {
		t.Fatalf("load above the limit: accepted %v, record %+v", within, n.slowStart)
	}
	last := n.slowStart[4]
	if last.Units <= last.Limit || last.AgeS != 4 || n.slowStart[2].Units != 30 {
		t.Errorf("record of the first start: %+v", n.slowStart)
	}
	n.startedAt = 2 * time.Hour
	n.addUnits(n.startedAt, 1)
	last = n.slowStart[len(n.slowStart)-1]
	if len(n.slowStart) != 6 || last.AgeS != 0 || last.Units != 1 {
		t.Errorf("record after the second start: %+v", n.slowStart)
	}
}
