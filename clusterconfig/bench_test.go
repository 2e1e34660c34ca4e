package clusterconfig

import (
	"fmt"
	"testing"
)

// BenchmarkChange measures one change of a key, from its proposal until a holder acts on it, in documents of several
// sizes. The time should be the same for all of them: it must depend on the size of the change, not of the document.
func BenchmarkChange(b *testing.B) {
	for _, keys := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) { benchmarkChange(b, keys) })
	}
}

func benchmarkChange(b *testing.B, keys int) {
	schema := func(string) (Lattice, bool) { return Limit{Min: 1}, true }
	document := &Document{Epoch: 1}
	first := Proposal{Author: "a", Reason: "r"}
	for i := range keys {
		first.Changes = append(first.Changes, Change{fmt.Sprintf("volume.%016x.limit", i), "100"})
	}
	if err := document.Apply(document.NextEntry(first)); err != nil {
		b.Fatal(err)
	}
	now := Micros(10_000_000)
	l := NewLessor(0, 1, DefaultTiming, schema, document, nil, 0)
	l.ConfirmLeadership(1 << 60)
	h := NewLeaseHolder("h", 1, DefaultTiming, schema)
	renew := func() {
		if g := l.HandleRenewal(now, h.Renew(now)); g == nil || !h.HandleGrant(now, *g) {
			b.Fatal("the lessor did not grant the renewal, or the holder rejected the grant")
		}
		h.View(now)
		h.TakeChangedKeys()
	}
	renew()
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		p := Proposal{Expected: l.Document().Version, Author: "a", Reason: "r"}
		p.Changes = []Change{{first.Changes[n%keys].Key, fmt.Sprint(n%100 + 1)}}
		e, err := l.Propose(now, p)
		if err != nil {
			b.Fatal(err)
		}
		if err := l.Begin(e); err != nil {
			b.Fatal(err)
		}
		renew()
		renew() // reports that the holder prepared the change
		if !l.CanActivate(now) {
			b.Fatal("the change cannot be activated although its only holder prepared it")
		}
		if err := l.Activate(); err != nil {
			b.Fatal(err)
		}
		renew()
		now += 1000
	}
}
