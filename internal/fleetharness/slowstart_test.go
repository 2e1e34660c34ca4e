package fleetharness

import (
	"testing"
	"time"
)

// Two nodes come back newly started, with more requests than they serve, while one broker learns of it late and two are
// killed in the slow start and know of it only by the list. What all send together stays within what such a node bears,
// and the brokers that were killed serve again.
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
		t.Errorf("%v", outcomes)
	}
	for _, n := range fleet.nodes {
		expectWithinLimit(t, n)
	}
}

// expectWithinLimit wants a node to have got something in its slow start, and no more than it bears.
func expectWithinLimit(t *testing.T, n *fakeNode) {
	t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.slowStart) == 0 {
		t.Errorf("%s got nothing in its slow start", n.name)
	}
	for _, s := range n.slowStart {
		if s.Units > s.Limit {
			t.Errorf("%s got %.0f units at age %d s and bears %.0f", s.Node, s.Units, s.AgeS, s.Limit)
		}
	}
}

// What a node got in its slow start is counted by second of its age, with the fullest window against what it bore. A
// second start begins anew.
func TestSlowStartSeconds(t *testing.T) {
	fleet := &Fleet{scenario: &Scenario{Node: NodeSpec{Slots: 1, UnitMS: 20}}}
	n := &fakeNode{fleet: fleet, name: "n", speed: 1, startedAt: time.Hour}
	limitAtStart := 4 * 0.18 * 50 * 3
	for i := range 40 {
		n.addUnits(time.Hour+time.Duration(i)*100*time.Millisecond, 1)
	}
	within := n.addUnits(time.Hour+4*time.Second, 2*limitAtStart)
	if within || len(n.slowStart) != 5 {
		t.Fatalf("%v, %+v", within, n.slowStart)
	}
	last := n.slowStart[4]
	if last.Units <= last.Limit || last.AgeS != 4 || n.slowStart[2].Units != 30 {
		t.Errorf("%+v", n.slowStart)
	}
	n.startedAt = 2 * time.Hour
	n.addUnits(n.startedAt, 1)
	last = n.slowStart[len(n.slowStart)-1]
	if len(n.slowStart) != 6 || last.AgeS != 0 || last.Units != 1 {
		t.Errorf("%+v", n.slowStart)
	}
}
