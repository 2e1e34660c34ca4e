package clusterconfig

import "testing"

// A holder sends two renewals, and the second overtakes the first. The leader grants the second, begins a change, and
// sends the pending change with the grant of the first. The holder receives that grant and reports that it has prepared
// the change, so the leader may activate it. Then the older grant arrives, without the change. The holder must reject
// it, or else it would act on the old version alone. (Found by seed 16568 of the simulated cluster in
// internal/consensus.)
func TestOvertakenGrantDoesNotUndoPreparation(t *testing.T) {
	schema := func(string) (Lattice, bool) { return Permission{}, true }
	l := NewLessor(0, 1, testTiming, schema, &Document{Epoch: 1}, nil, 0)
	l.ConfirmLeadership(1 << 60)
	h := NewLeaseHolder("h", 1, testTiming, schema)
	now := Micros(1_000_000)
	first, second := h.Renew(now), h.Renew(now+1)
	overtaken := l.HandleRenewal(now+10, second)
	e, err := l.Propose(now+20, Proposal{Author: "a", Reason: "r", Changes: []Change{{"x", No}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Begin(e); err != nil {
		t.Fatal(err)
	}
	if !h.HandleGrant(now+40, *l.HandleRenewal(now+30, first)) {
		t.Fatal("the grant with the pending change was rejected")
	}
	l.HandleRenewal(now+50, h.Renew(now+45)) // reports that the holder prepared the change
	if !l.CanActivate(now + 60) {
		t.Fatal("the change cannot be activated although its only holder prepared it")
	}
	if h.HandleGrant(now+70, *overtaken) || h.View(now+70).PendingVersion != 1 {
		t.Error("the holder accepted the older grant, or dropped the change that it had reported as prepared")
	}
}
