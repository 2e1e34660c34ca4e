package membership

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// property checks a State with random answers of its sources.
type property struct {
	*rapid.T
	state     *State
	now       Micros
	announced map[string]Node // the list that results from the announced changes, by name
}

// Property: with random full snapshots of any sources in any order, silence, failures and empty snapshots remove no
// node. A removal by a source that may remove takes effect at once, unless another source has listed the node since.
// The changes add up to the list. Long after the last event, the state remembers only listed nodes.
func TestSilenceRemovesNothingAndRemovalsAreObeyed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, err := New(Options{Sources: []SourceOptions{
			{Name: "a", Permissions: allPermissions},
			{Name: "b", Permissions: allPermissions},
			{Name: "c", Permissions: Permissions{Add: true}},
		}})
		if err != nil {
			t.Fatal(err)
		}
		p := &property{T: t, state: state, announced: map[string]Node{}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			p.step()
		}
		p.now += 3600e6
		state.Reduce(p.now, nil) // nodes whose return was delayed return
		state.Reduce(p.now+3600e6, nil)
		nodes, _ := state.List()
		if len(state.nodes) != len(nodes) || len(state.removals) != 0 {
			t.Fatalf("the state has %d nodes and %d removals, want the %d listed nodes and no removal",
				len(state.nodes), len(state.removals), len(nodes))
		}
	})
}

// step applies a random answer or failure of a source, or only lets time pass.
func (p *property) step() {
	p.now += rapid.Int64Range(1, 20e6).Draw(p.T, "pause")
	before := maps.Clone(p.announced)
	src := Source(rapid.IntRange(0, 2).Draw(p.T, "source"))
	kind := rapid.IntRange(0, 5).Draw(p.T, "kind")
	var event Event
	mayRemove := false
	switch kind {
	case 0:
		event = SourceFailed{src, "x"}
	case 1:
		event = nil
	case 2:
		event = snapshot(src, p.now)
	default:
		event = snapshotOf(src, p.now, p.drawEntries(src)...)
		mayRemove = true
	}
	p.apply(p.state.Reduce(p.now, event))
	if !mayRemove {
		for name := range before {
			if _, still := p.announced[name]; !still {
				p.Fatalf("%s was removed by an event of kind %d, which must not remove a node", name, kind)
			}
		}
	} else if src < 2 {
		p.checkRemovals(src)
	}
	p.checkList()
}

func (p *property) drawEntries(src Source) []Entry {
	var drawn []Entry
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 1, 10, rapid.ID[int]).Draw(p.T, "nodes") {
		e := entries(fmt.Sprint("n", i))[0]
		if src == 1 {
			e.Name = fmt.Sprint("x", i%4) // no other source uses these names, and several addresses share one
		}
		if rapid.IntRange(0, 5).Draw(p.T, "state") == 0 {
			e.State = Draining
		}
		drawn = append(drawn, e)
	}
	return drawn
}

// apply applies a change to the announced list.
func (p *property) apply(c Change) {
	for _, n := range c.Nodes {
		if n.State != Removed {
			p.announced[n.Name] = n
			continue
		}
		if p.announced[n.Name].Address != n.Address {
			p.Fatalf("%s at %s was removed but had not been announced", n.Name, n.Address)
		}
		delete(p.announced, n.Name)
	}
}

// checkRemovals checks that the nodes that a source has removed are not listed, unless another source has listed them
// since.
func (p *property) checkRemovals(src Source) {
	for address, c := range p.state.sources[src].claims {
		n := p.state.nodes[address]
		if c.removed && n != nil && n.listed && !p.claimedSince(address, c.at) {
			p.Fatalf("%s was removed by source %d and is still listed", address, src)
		}
	}
}

func (p *property) claimedSince(address string, at Micros) bool {
	for _, src := range p.state.sources {
		if c, known := src.claims[address]; known && !c.removed && c.at > at {
			return true
		}
	}
	return false
}

// checkList checks that the list equals the sum of the changes, that names are unique, and that each node has a claim.
func (p *property) checkList() {
	nodes, claimedBy := p.state.List()
	if len(nodes) != len(p.announced) {
		p.Fatalf("%d nodes listed, but %d announced", len(nodes), len(p.announced))
	}
	names := map[string]bool{}
	for i, n := range nodes {
		if p.announced[n.Name].Entry != n.Entry || len(claimedBy[i]) == 0 || names[n.Name] {
			p.Fatalf("listed %+v, announced as %+v, claimed by %v; want equal ones, a unique name and a claim",
				n, p.announced[n.Name], claimedBy[i])
		}
		names[n.Name] = true
	}
}

// Ten thousand nodes are replaced within 10 s, 100 at a time. Each answer must announce its changes only, and nothing
// may be kept of the old nodes.
func TestReplaceManyNodes(t *testing.T) {
	s := newDNSState(t)
	s.Reduce(1*second, snapshot(0, 1, numbered(0, 10_000)...))
	now := 1 * second
	announced := 0
	for i := range 100 {
		now += 1e5
		change := s.Reduce(now, snapshot(0, now, numbered(100*(i+1), 10_000+100*(i+1))...))
		announced += len(change.Nodes)
	}
	nodes, _ := s.List()
	if announced != 20_000 || len(nodes) != 10_000 || nodes[0].Name != "n10000" {
		t.Errorf("%d changes announced, want 20000; %d nodes listed, want 10000 from n10000 on", announced, len(nodes))
	}
	s.Reduce(now+600e6, nil)
	if len(s.nodes) != 10_000 || len(s.removals) != 0 || len(s.sources[0].claims) != 10_000 {
		t.Errorf("%d nodes, %d removals, %d claims; want 10000, 0 and 10000",
			len(s.nodes), len(s.removals), len(s.sources[0].claims))
	}
}

// BenchmarkChange measures a change of one node in a list, by an incremental answer and by a full snapshot. For
// comparison, it also measures the merge of the whole list into a new state.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10_000} {
		all := entries(numbered(0, n)...)
		b.Run(fmt.Sprintf("change/n=%d", n), func(b *testing.B) {
			s := newState(b, Options{})
			s.Reduce(1, snapshotOf(discovery, 1, all...))
			b.ReportAllocs()
			now := Micros(1)
			for i := 0; b.Loop(); i++ {
				now += 1e9
				entry := Entry{Name: "x", Address: "x:1", State: NodeState(i % 2), LastStart: UnknownStart}
				s.Reduce(now, changes(discovery, now, entry))
			}
		})
		b.Run(fmt.Sprintf("snapshot/n=%d", n), func(b *testing.B) {
			s := newState(b, Options{})
			b.ReportAllocs()
			now := Micros(1)
			for i := 0; b.Loop(); i++ {
				now += 1e9
				all[n/2].Capacity = float64(1 + i%2)
				s.Reduce(now, snapshotOf(discovery, now, all...))
			}
		})
		b.Run(fmt.Sprintf("anew/n=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s := newState(b, Options{})
				s.Reduce(1, snapshotOf(discovery, 1, all...))
			}
		})
	}
}
