package membership

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const (
	disco Source = iota
	dns
)

func newState(t testing.TB, opt Options) *State {
	t.Helper()
	if opt.Sources == nil {
		all := Permissions{true, true, true}
		opt.Sources = []SourceOptions{{Name: "discovery", Permissions: all}, {Name: "dns", Permissions: all}}
	}
	s, err := New(opt)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func entries(names ...string) []Entry {
	var all []Entry
	for _, n := range names {
		all = append(all, Entry{Name: n, Address: n + ":1", LastStart: UnknownStart})
	}
	return all
}

func numbered(from, to int) (names []string) {
	for i := from; i < to; i++ {
		names = append(names, fmt.Sprintf("n%05d", i))
	}
	return names
}

func listed(s *State) string {
	nodes, _ := s.List()
	var names []string
	for _, n := range nodes {
		name := n.Name
		if n.State == Draining {
			name += "!"
		}
		names = append(names, name)
	}
	return strings.Join(names, " ")
}

func whole(src Source, at Micros, names ...string) SourceAnswered {
	return SourceAnswered{Source: src, AskedAt: at, Complete: true, Entries: entries(names...)}
}

// Each step of the rule, as a script.
func TestRule(t *testing.T) {
	type step struct {
		at    Micros // s
		event Event
		want  string
	}
	drain := SourceAnswered{Source: disco, AskedAt: 20e6, Entries: []Entry{{Name: "a", Address: "a:1", State: Draining, LastStart: UnknownStart}}}
	gone := SourceAnswered{Source: disco, AskedAt: 20e6, Entries: []Entry{{Name: "a", State: Removed}}}
	for name, steps := range map[string][]step{
		"any source adds":            {{1, whole(disco, 1, "a"), "a"}, {2, whole(dns, 2, "b"), "a b"}},
		"failure takes nothing":      {{1, whole(dns, 1, "a", "b"), "a b"}, {2, SourceFailed{dns, "no answer"}, "a b"}, {3600, SourceFailed{dns, "no answer"}, "a b"}, {7200, nil, "a b"}},
		"nothing is never believed":  {{1, whole(dns, 1, "a"), "a"}, {2, whole(dns, 2), "a"}, {3600, whole(dns, 3600e6), "a"}},
		"removed from DNS alone":     {{1, whole(disco, 1, "a", "b"), "a b"}, {2, whole(dns, 2e6, "a", "b"), "a b"}, {3, whole(dns, 3e6, "b"), "b"}, {4, whole(disco, 4e6, "a", "b"), "b"}},
		"removed from discovery":     {{1, whole(dns, 1, "a", "b"), "a b"}, {2, whole(disco, 2e6, "a", "b"), "a b"}, {20, gone, "b"}, {21, whole(dns, 21e6, "a", "b"), "b"}},
		"listed anew by the remover": {{1, whole(disco, 1, "a", "b"), "a b"}, {2, whole(dns, 2e6, "a", "b"), "a b"}, {3, whole(dns, 3e6, "b"), "b"}, {9, whole(dns, 9e6, "a", "b"), "a b"}},
		"listed anew by another":     {{1, whole(disco, 1, "b"), "b"}, {2, whole(dns, 2e6, "a", "b"), "a b"}, {3, whole(dns, 3e6, "b"), "b"}, {4, whole(disco, 4e6, "a", "b"), "a b"}},
		"a silent remover":           {{1, whole(disco, 1, "a", "b"), "a b"}, {2, whole(dns, 2e6, "a", "b"), "a b"}, {3, whole(dns, 3e6, "b"), "b"}, {602, SourceFailed{dns, "x"}, "b"}, {604, nil, "a b"}},
		"draining":                   {{1, whole(disco, 1, "a"), "a"}, {2, whole(dns, 2, "a"), "a"}, {20, drain, "a!"}, {21, whole(dns, 21e6, "a"), "a!"}, {22, whole(disco, 22e6, "a"), "a"}},
		"a sudden loss is held":      {{1, whole(dns, 1, "a", "b", "c", "d"), "a b c d"}, {2, whole(dns, 2e6, "a"), "a b c d"}, {20, whole(dns, 20e6, "a"), "a b c d"}, {33, whole(dns, 33e6, "a"), "a"}},
		"a loss that was none":       {{1, whole(dns, 1, "a", "b", "c", "d"), "a b c d"}, {2, whole(dns, 2e6, "a"), "a b c d"}, {3, whole(dns, 3e6, "a", "b", "c", "d"), "a b c d"}, {40, whole(dns, 40e6, "a"), "a b c d"}},
		"one that leaves, at once":   {{1, whole(dns, 1, "a", "b", "c", "d"), "a b c d"}, {2, whole(dns, 2e6, "a", "b", "c"), "a b c"}},
		"named as gone, at once":     {{1, whole(disco, 1, "a", "b", "c"), "a b c"}, {20, gone, "b c"}},
		"an older answer":            {{1, whole(dns, 5e6, "a", "b"), "a b"}, {2, whole(dns, 4e6, "a"), "a b"}},
	} {
		s := newState(t, Options{})
		for i, step := range steps {
			s.Reduce(step.at*1e6, step.event)
			if got := listed(s); got != step.want {
				t.Errorf("%s: step %d: %q, want %q", name, i, got, step.want)
			}
		}
	}
}

// New settings leave no gap: what an ended source held stays until the new one has answered; and what a snapshot held, until all
// sources have.
func TestRetuneAndRestore(t *testing.T) {
	s := newState(t, Options{})
	s.Restore(5e5, "snapshot", []Entry{{Name: "a", Address: "a:1", LastStart: 77}, {Name: "z", Address: "z:1", LastStart: 0}})
	if got := listed(s); got != "a z" {
		t.Errorf("restored %q", got)
	}
	s.Reduce(1e6, whole(disco, 1, "a", "b"))
	if got := listed(s); got != "a b z" {
		t.Errorf("one of two has answered: %q", got)
	}
	s.Reduce(2e6, whole(dns, 2, "a", "c"))
	if got := listed(s); got != "a b c" {
		t.Errorf("both have answered: %q", got)
	}
	all := Permissions{true, true, true}
	if _, err := s.ApplyOptions(3e6, Options{}); err == nil {
		t.Error("options without a source are taken")
	}
	if _, err := s.ApplyOptions(3e6, Options{Sources: []SourceOptions{{Name: "file", Permissions: all}, {Name: "discovery", Permissions: all}}}); err != nil {
		t.Fatal(err)
	}
	if _, known := s.SourceOf("dns"); known || listed(s) != "a b c" {
		t.Errorf("before the new source answers: %q", listed(s))
	}
	file, _ := s.SourceOf("file")
	c := s.Reduce(4e6, whole(file, 4e6, "d"))
	if got := listed(s); got != "a b d" || len(c.Nodes) != 2 || c.Nodes[0].State != Removed {
		t.Errorf("after it: %q, %+v", got, c)
	}
}

// Permissions bound what a source does: one that may only add neither removes nor drains what others hold.
func TestRights(t *testing.T) {
	s := newState(t, Options{Sources: []SourceOptions{{Name: "discovery", Permissions: Permissions{true, true, true}}, {Name: "file", Permissions: Permissions{Add: true}}, {Name: "watch", Permissions: Permissions{Remove: true, Drain: true}}}})
	s.Reduce(1e6, whole(0, 1, "a", "b"))
	s.Reduce(2e6, whole(1, 2, "a", "c"))
	s.Reduce(3e6, SourceAnswered{Source: 1, AskedAt: 3, Complete: true, Entries: []Entry{{Name: "c", Address: "c:1", State: Draining}}})
	s.Reduce(4e6, whole(2, 4, "b", "d", "e"))
	if got := listed(s); got != "a b c" {
		t.Errorf("%q", got)
	}
	s.Reduce(5e6, whole(2, 5e6, "d", "e"))
	if got := listed(s); got != "a c" {
		t.Errorf("%q", got)
	}
}

// One address is one node, under the first source's name; a name that moves is a new node, and the old one goes first.
func TestNames(t *testing.T) {
	s := newState(t, Options{})
	s.Reduce(1e6, SourceAnswered{Source: dns, AskedAt: 1, Complete: true, Entries: []Entry{{Name: "x.example.org", Address: "10.0.0.1:1", LastStart: UnknownStart}, {Name: "y.example.org", Address: "10.0.0.2:1", LastStart: UnknownStart}}})
	c := s.Reduce(2e6, SourceAnswered{Source: disco, AskedAt: 2, Complete: true, Entries: []Entry{{Name: "s-1", Address: "10.0.0.1:1", LastStart: 7}}})
	if got := listed(s); got != "x.example.org y.example.org" || len(c.Nodes) != 1 || c.Nodes[0].LastStart != 7 {
		t.Errorf("%q, %+v", got, c)
	}
	c = s.Reduce(3e6, SourceAnswered{Source: dns, AskedAt: 3e6, Complete: true, Entries: []Entry{{Name: "x.example.org", Address: "10.0.0.1:1", LastStart: UnknownStart}, {Name: "y.example.org", Address: "10.0.0.3:1", LastStart: UnknownStart}}})
	if len(c.Nodes) != 2 || c.Nodes[0].State != Removed || c.Nodes[0].Address != "10.0.0.2:1" || c.Nodes[1].Address != "10.0.0.3:1" || c.Nodes[1].LastStart != 3e6 {
		t.Errorf("%+v", c)
	}
}

// A node that returns is new unless its source tells its start; one that flaps returns later and later, and goes at once.
func TestReturns(t *testing.T) {
	s := newState(t, Options{Sources: []SourceOptions{{Name: "dns", Permissions: Permissions{true, true, true}}}})
	s.Reduce(1e6, whole(0, 1, "a", "b"))
	nodes, _ := s.List()
	if nodes[0].LastStart != 0 {
		t.Errorf("born %d", nodes[0].LastStart)
	}
	now, back := Micros(1e6), 0
	var waits []Micros
	for range 6 {
		now += 1e6
		if c := s.Reduce(now, whole(0, now, "b")); len(c.Nodes) != 1 || c.Nodes[0].State != Removed {
			t.Fatalf("at %d it did not go: %+v", now, c)
		}
		now += 1e6
		came := now
		c := s.Reduce(now, whole(0, now, "a", "b"))
		for len(c.Nodes) == 0 {
			at, any := s.Next()
			if !any {
				t.Fatal("it never returns")
			}
			now = at
			c = s.Reduce(now, nil)
		}
		if c.Nodes[0].LastStart != now {
			t.Errorf("born %d, back at %d", c.Nodes[0].LastStart, now)
		}
		back++
		waits = append(waits, now-came)
	}
	if back != 6 || waits[0] != 0 || waits[2] != 0 || waits[3] < 2e6 || waits[4] <= waits[3] || waits[5] > 60e6 {
		t.Errorf("%v", waits)
	}
}

// Whatever sources say in whatever order: no silence, failure or empty answer takes a node away; who removes is obeyed at once; the
// changes told add up to the list; and what is remembered stays bounded.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := Permissions{true, true, true}
		s, err := New(Options{Sources: []SourceOptions{{Name: "a", Permissions: all}, {Name: "b", Permissions: all}, {Name: "c", Permissions: Permissions{Add: true}}}})
		if err != nil {
			t.Fatal(err)
		}
		now, told := Micros(0), map[string]Node{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Int64Range(1, 20e6).Draw(t, "pause")
			before := maps.Clone(told)
			src := Source(rapid.IntRange(0, 2).Draw(t, "source"))
			var event Event
			takes := false // whether nodes may go
			kind := rapid.IntRange(0, 5).Draw(t, "kind")
			switch kind {
			case 0:
				event = SourceFailed{src, "x"}
			case 1:
				event = nil
			case 2:
				event = whole(src, now)
			default:
				var es []Entry
				for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 1, 10, rapid.ID[int]).Draw(t, "nodes") {
					e := entries(fmt.Sprint("n", i))[0]
					if src == 1 {
						e.Name = fmt.Sprint("x", i%4) // another name, and one name at several addresses
					}
					if rapid.IntRange(0, 5).Draw(t, "state") == 0 {
						e.State = Draining
					}
					es = append(es, e)
				}
				event, takes = SourceAnswered{Source: src, AskedAt: now, Complete: true, Entries: es}, true
			}
			for _, n := range s.Reduce(now, event).Nodes {
				if n.State == Removed {
					if told[n.Name].Address != n.Address {
						t.Fatalf("%s goes and was not there", n.Address)
					}
					delete(told, n.Name)
				} else {
					told[n.Name] = n
				}
			}
			if !takes {
				for name := range before {
					if _, still := told[name]; !still {
						t.Fatalf("%s was lost by kind %d", name, kind)
					}
				}
			}
			if answer, is := event.(SourceAnswered); is && takes && src < 2 {
				for address, h := range s.sources[src].held {
					if n := s.nodes[address]; h.removed && n != nil && n.listed && !slices.ContainsFunc(s.sources, func(o *source) bool {
						other, holds := o.held[address]
						return holds && !other.removed && other.at > h.at
					}) {
						t.Fatalf("%s is removed by %d and still listed", address, src)
					}
				}
				_ = answer
			}
			nodes, holders := s.List()
			if len(nodes) != len(told) {
				t.Fatalf("%d listed, %d told", len(nodes), len(told))
			}
			names := map[string]bool{}
			for i, n := range nodes {
				if told[n.Name].Entry != n.Entry || len(holders[i]) == 0 || names[n.Name] {
					t.Fatalf("%+v was told as %+v, held by %v", n, told[n.Name], holders[i])
				}
				names[n.Name] = true
			}
		}
		now += 3600e6
		s.Reduce(now, nil) // who was held back comes back
		s.Reduce(now+3600e6, nil)
		if nodes, _ := s.List(); len(s.nodes) != len(nodes) || len(s.went) != 0 {
			t.Fatalf("%d nodes are remembered, %d listed, %d went", len(s.nodes), len(nodes), len(s.went))
		}
	})
}

// Ten thousand nodes replaced within 10 s: each change is told once, none twice, and nothing of the old is kept.
func TestReplacedByTheThousand(t *testing.T) {
	s := newState(t, Options{Sources: []SourceOptions{{Name: "dns", Permissions: Permissions{true, true, true}}}})
	s.Reduce(1e6, whole(0, 1, numbered(0, 10_000)...))
	now, told := Micros(1e6), 0
	for i := range 100 {
		now += 1e5
		told += len(s.Reduce(now, whole(0, now, numbered(100*(i+1), 10_000+100*(i+1))...)).Nodes)
	}
	nodes, _ := s.List()
	if told != 20_000 || len(nodes) != 10_000 || nodes[0].Name != "n10000" {
		t.Errorf("%d told, %d listed", told, len(nodes))
	}
	s.Reduce(now+600e6, nil)
	if len(s.nodes) != 10_000 || len(s.went) != 0 || len(s.sources[0].held) != 10_000 {
		t.Errorf("%d nodes, %d departures, %d held", len(s.nodes), len(s.went), len(s.sources[0].held))
	}
}

func TestOptions(t *testing.T) {
	for _, o := range []Options{{}, {Sources: []SourceOptions{{}}}, {Sources: []SourceOptions{{Name: "a"}}}, {Sources: []SourceOptions{{Name: "a", Permissions: Permissions{Add: true}}, {Name: "a"}}},
		{Sources: []SourceOptions{{Name: "a", Permissions: Permissions{Add: true}, RemovalTTL: -1}}}, {Sources: []SourceOptions{{Name: "a", Permissions: Permissions{Add: true}}}, SuspectHold: -1}} {
		if _, err := New(o); err == nil {
			t.Errorf("%+v is taken", o)
		}
	}
}

// BenchmarkChange is one node replaced in a list, told as a change and as a whole answer, and against merging all anew.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10_000} {
		names := numbered(0, n)
		all := entries(names...)
		b.Run(fmt.Sprintf("change/n=%d", n), func(b *testing.B) {
			s := newState(b, Options{})
			s.Reduce(1, SourceAnswered{Source: disco, AskedAt: 1, Complete: true, Entries: all})
			b.ReportAllocs()
			now := Micros(1)
			for i := 0; b.Loop(); i++ {
				now += 1e9
				state := Health(i % 2)
				s.Reduce(now, SourceAnswered{Source: disco, AskedAt: now, Entries: []Entry{{Name: "x", Address: "x:1", State: state, LastStart: UnknownStart}}})
			}
		})
		b.Run(fmt.Sprintf("whole/n=%d", n), func(b *testing.B) {
			s := newState(b, Options{})
			b.ReportAllocs()
			now := Micros(1)
			for i := 0; b.Loop(); i++ {
				now += 1e9
				all[n/2].Capacity = float64(1 + i%2)
				s.Reduce(now, SourceAnswered{Source: disco, AskedAt: now, Complete: true, Entries: all})
			}
		})
		b.Run(fmt.Sprintf("anew/n=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s := newState(b, Options{})
				s.Reduce(1, SourceAnswered{Source: disco, AskedAt: 1, Complete: true, Entries: all})
			}
		})
	}
}
