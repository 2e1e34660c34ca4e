package agreement

import (
	"strings"
	"testing"

	"junctionwharf/clusterconfig"
	"junctionwharf/scheduler"
)

// Requests of a class may be retried only if both the settings and the document allow it. If the document lacks the
// class, they may not be retried. Replicated limits have the document's values. Without a lease, no class may be
// retried, and replicated limits are at their floors.
func TestEffectiveSettings(t *testing.T) {
	settings := scheduler.Settings{
		Classes: []scheduler.Class{
			{Name: "read"},
			{Name: "write", Idempotency: scheduler.NotIdempotent},
			{Name: "new"},
		},
		Plans: []scheduler.Plan{{Name: "gold", Limit: 900}, {Name: "free", Limit: 70}, {Name: "all"}},
	}
	timing := clusterconfig.Timing{Lease: 1000, DriftPPM: 500}
	h := clusterconfig.NewLeaseHolder("h", 1, timing, newSchema(testLimitFloors))
	r := h.Renew(10)
	agreed := scheduler.Settings{Classes: settings.Classes[:2], Plans: settings.Plans}
	values := documentValues(agreed, testLimitFloors)
	document := newDocument(t, missingChanges(&clusterconfig.Document{}, values)...)
	g := clusterconfig.Grant{Holder: "h", RenewalSeq: r.Seq, Incarnation: 1, Epoch: 5, Term: 1, Document: document}
	if !h.HandleGrant(20, g) {
		t.Fatal("the grant was rejected")
	}
	for _, c := range []struct {
		name    string
		now     clusterconfig.Micros
		classes []scheduler.Idempotency
		limits  []float64
	}{
		{"with a lease", 30,
			[]scheduler.Idempotency{scheduler.Idempotent, scheduler.NotIdempotent, scheduler.NotIdempotent},
			[]float64{900, 70, 0}},
		{"without a lease", 1010,
			[]scheduler.Idempotency{scheduler.NotIdempotent, scheduler.NotIdempotent, scheduler.NotIdempotent},
			[]float64{100, 70, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := effectiveSettings(settings, testLimitFloors, h.View(c.now))
			for i, want := range c.classes {
				if got.Classes[i].Idempotency != want {
					t.Errorf("class %+v, want idempotency %v", got.Classes[i], want)
				}
			}
			for i, want := range c.limits {
				if got.Plans[i].Limit != want {
					t.Errorf("plan %+v, want limit %v", got.Plans[i], want)
				}
			}
		})
	}
	if settings.Classes[0].Idempotency != scheduler.Idempotent || settings.Plans[0].Limit != 900 {
		t.Error("the broker's own settings were changed")
	}
}

// An operator's proposal has several faults. The error must name all of them.
func TestProposalFaultsAreAllNamed(t *testing.T) {
	document := &clusterconfig.Document{}
	err := document.Validate(newSchema(testLimitFloors), clusterconfig.Proposal{
		Expected: 3,
		Changes: []clusterconfig.Change{
			{Key: "plan.free.limit", Value: "9"},
			{Key: "plan.gold.limit", Value: "9"},
			{Key: "class..repeat", Value: "yes"},
			{Key: "node.n.drain", Value: "maybe"},
		},
	})
	if err == nil {
		t.Fatal("no error for an invalid proposal")
	}
	for _, want := range []string{
		"expected:",
		"author:",
		"reason:",
		"plan.free.limit: unknown key",
		"plan.gold.limit: limit is below the value that brokers use without a lease: got 9, want at least 100",
		"class..repeat: unknown key",
		"node.n.drain: value is neither yes nor no: \"maybe\"",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is missing in the error: %v", want, err)
		}
	}
	if kind := kindOf(err); kind != kindExpected {
		t.Errorf("kind %q, want %q", kind, kindExpected)
	}
}
