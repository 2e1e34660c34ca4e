package clusterconfig

import "testing"

// Renewals reach the leader in another order than they were sent in: what it granted before a change began, and is heard after what it
// granted later, does not take a holder back that said it was ready. (Found by seed 16568 of the cluster in internal/consensus.)
func TestGrantsInTheOrderTheyWereMade(t *testing.T) {
	rules := func(string) (Rule, bool) { return Switch{}, true }
	k := NewKeeper(0, 1, testTiming, rules, &Document{Epoch: 1}, nil, 0)
	k.Confirmed(1 << 60)
	h := NewHolder("h", 1, testTiming, rules)
	now := Micros(1_000_000)
	first, second := h.Renew(now), h.Renew(now+1)
	late := k.Renewed(now+10, second)
	e, err := k.Propose(now+20, Proposal{Author: "a", Reason: "r", Changes: []Change{{"x", "no"}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := k.Begin(now+20, e); err != nil {
		t.Fatal(err)
	}
	if !h.Granted(now+40, *k.Renewed(now+30, first)) {
		t.Fatal("not granted")
	}
	k.Renewed(now+50, h.Renew(now+45)) // it is ready
	if !k.Due(now + 60) {
		t.Fatal("not due")
	}
	if h.Granted(now+70, *late) || h.View(now+70).Preparing != 1 {
		t.Error("the holder went back to what was in force before, though it had said that it was ready")
	}
}
