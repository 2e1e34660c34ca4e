package clusterconfig

import "testing"

// A holder sends two renewals and the second overtakes the first. The leader grants the second, begins a change, and
// grants the first with it. The holder receives the grant with the change and reports that it has prepared it, so the
// leader may activate. Then the older grant arrives, which knows nothing of the change: it must not count, or the
// holder would act on the old version alone. (Found by seed 16568 of the cluster in internal/consensus.)
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
		t.Fatal("not granted")
	}
	l.HandleRenewal(now+50, h.Renew(now+45)) // reports the preparation
	if !l.CanActivate(now + 60) {
		t.Fatal("the change cannot be activated")
	}
	if h.HandleGrant(now+70, *overtaken) || h.View(now+70).PendingVersion != 1 {
		t.Error("the holder went back to the active version alone, though it had reported the preparation")
	}
}
