package clusterconfig

import (
	"fmt"
	"testing"
)

// BenchmarkChange is one change of a key, from its proposal until a holder acts on it, in documents of several sizes: it costs by the
// change, not the size.
func BenchmarkChange(b *testing.B) {
	rules := func(string) (Rule, bool) { return Least{Lowest: 1}, true }
	for _, keys := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			doc := &Document{Epoch: 1}
			first := Proposal{Author: "a", Reason: "r"}
			for i := range keys {
				first.Changes = append(first.Changes, Change{fmt.Sprintf("volume.%016x.limit", i), "100"})
			}
			if err := doc.Apply(doc.Next(first)); err != nil {
				b.Fatal(err)
			}
			now := Micros(10_000_000)
			k := NewKeeper(0, 1, DefaultTiming, rules, doc, nil, 0)
			k.Confirmed(1 << 60)
			h := NewHolder("h", 1, DefaultTiming, rules)
			renew := func() {
				if g := k.Renewed(now, h.Renew(now)); g == nil || !h.Granted(now, *g) {
					b.Fatal("not granted")
				}
				h.View(now)
				h.Touched()
			}
			renew()
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				e, err := k.Propose(now, Proposal{Expected: k.Document().Version, Author: "a", Reason: "r", Changes: []Change{{first.Changes[n%keys].Key, fmt.Sprint(n%100 + 1)}}})
				if err != nil {
					b.Fatal(err)
				}
				if err := k.Begin(now, e); err != nil {
					b.Fatal(err)
				}
				renew()
				renew() // says that it is ready
				if !k.Due(now) {
					b.Fatal("not due")
				}
				if err := k.Activate(); err != nil {
					b.Fatal(err)
				}
				renew()
				now += 1000
			}
		})
	}
}
