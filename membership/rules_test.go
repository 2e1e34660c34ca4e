package membership

import "testing"

// step is an event, its time, and the names that must be listed after it.
type step struct {
	at    Micros // in seconds
	event Event
	want  string
}

var (
	drainA  = changes(discovery, 20e6, Entry{Name: "a", Address: "a:1", State: Draining, LastStart: UnknownStart})
	removeA = changes(discovery, 20e6, Entry{Name: "a", State: Removed})
)

// ruleScripts are sequences of events. Each is named after the rule of the package comment that it checks.
var ruleScripts = map[string][]step{
	"rule 2: any source adds": {
		{1, snapshot(discovery, 1, "a"), "a"},
		{2, snapshot(dns, 2, "b"), "a b"},
	},
	"rule 2: a failure removes nothing": {
		{1, snapshot(dns, 1, "a", "b"), "a b"},
		{2, SourceFailed{dns, "no answer"}, "a b"},
		{3600, SourceFailed{dns, "no answer"}, "a b"},
		{7200, nil, "a b"},
	},
	"rule 5: an empty answer is rejected": {
		{1, snapshot(dns, 1, "a"), "a"},
		{2, snapshot(dns, 2), "a"},
		{3600, snapshot(dns, 3600e6), "a"},
	},
	"rule 3: removed from DNS alone": {
		{1, snapshot(discovery, 1, "a", "b"), "a b"},
		{2, snapshot(dns, 2e6, "a", "b"), "a b"},
		{3, snapshot(dns, 3e6, "b"), "b"},
		{4, snapshot(discovery, 4e6, "a", "b"), "b"},
	},
	"rule 3: removed from discovery": {
		{1, snapshot(dns, 1, "a", "b"), "a b"},
		{2, snapshot(discovery, 2e6, "a", "b"), "a b"},
		{20, removeA, "b"},
		{21, snapshot(dns, 21e6, "a", "b"), "b"},
	},
	"rule 3: listed anew by the source that removed it": {
		{1, snapshot(discovery, 1, "a", "b"), "a b"},
		{2, snapshot(dns, 2e6, "a", "b"), "a b"},
		{3, snapshot(dns, 3e6, "b"), "b"},
		{9, snapshot(dns, 9e6, "a", "b"), "a b"},
	},
	"rule 3: listed anew by another source": {
		{1, snapshot(discovery, 1, "b"), "b"},
		{2, snapshot(dns, 2e6, "a", "b"), "a b"},
		{3, snapshot(dns, 3e6, "b"), "b"},
		{4, snapshot(discovery, 4e6, "a", "b"), "a b"},
	},
	"rule 3: the removals of a silent source expire": {
		{1, snapshot(discovery, 1, "a", "b"), "a b"},
		{2, snapshot(dns, 2e6, "a", "b"), "a b"},
		{3, snapshot(dns, 3e6, "b"), "b"},
		{602, SourceFailed{dns, "x"}, "b"},
		{604, nil, "a b"},
	},
	"rule 4: drained by one source": {
		{1, snapshot(discovery, 1, "a"), "a"},
		{2, snapshot(dns, 2, "a"), "a"},
		{20, drainA, "a!"},
		{21, snapshot(dns, 21e6, "a"), "a!"},
		{22, snapshot(discovery, 22e6, "a"), "a"},
	},
	"rule 5: a sudden loss is deferred": {
		{1, snapshot(dns, 1, "a", "b", "c", "d"), "a b c d"},
		{2, snapshot(dns, 2e6, "a"), "a b c d"},
		{20, snapshot(dns, 20e6, "a"), "a b c d"},
		{33, snapshot(dns, 33e6, "a"), "a"},
	},
	"rule 5: a sudden loss is reverted": {
		{1, snapshot(dns, 1, "a", "b", "c", "d"), "a b c d"},
		{2, snapshot(dns, 2e6, "a"), "a b c d"},
		{3, snapshot(dns, 3e6, "a", "b", "c", "d"), "a b c d"},
		{40, snapshot(dns, 40e6, "a"), "a b c d"},
	},
	"rule 5: a single missing node is removed at once": {
		{1, snapshot(dns, 1, "a", "b", "c", "d"), "a b c d"},
		{2, snapshot(dns, 2e6, "a", "b", "c"), "a b c"},
	},
	"rule 5: a node reported as removed is removed at once": {
		{1, snapshot(discovery, 1, "a", "b", "c"), "a b c"},
		{20, removeA, "b c"},
	},
	"rule 6: an older answer is rejected": {
		{1, snapshot(dns, 5e6, "a", "b"), "a b"},
		{2, snapshot(dns, 4e6, "a"), "a b"},
	},
}

// The sources answer or fail as in a script. The list after each step must follow the rule of the package comment after
// which the script is named.
func TestRuleScripts(t *testing.T) {
	for name, steps := range ruleScripts {
		t.Run(name, func(t *testing.T) {
			s := newState(t, Options{})
			for i, step := range steps {
				s.Reduce(step.at*second, step.event)
				if got := listed(s); got != step.want {
					t.Errorf("step %d: listed %q, want %q", i, got, step.want)
				}
			}
		})
	}
}

// A source must not change more than its permissions allow. A source that may only add must neither remove nor drain
// nodes that other sources claim. A source that may only remove and drain must not add nodes.
func TestPermissionsBoundASource(t *testing.T) {
	const (
		discovery Source = iota
		file
		watch
	)
	s := newState(t, Options{Sources: []SourceOptions{
		{Name: "discovery", Permissions: allPermissions},
		{Name: "file", Permissions: Permissions{Add: true}},
		{Name: "watch", Permissions: Permissions{Remove: true, Drain: true}},
	}})
	s.Reduce(1*second, snapshot(discovery, 1, "a", "b"))
	s.Reduce(2*second, snapshot(file, 2, "a", "c"))
	s.Reduce(3*second, snapshotOf(file, 3, Entry{Name: "c", Address: "c:1", State: Draining}))
	s.Reduce(4*second, snapshot(watch, 4, "b", "d", "e"))
	if got := listed(s); got != "a b c" {
		t.Errorf("after adding and draining: listed %q, want a, b and c, none draining", got)
	}
	s.Reduce(5*second, snapshot(watch, 5e6, "d", "e"))
	if got := listed(s); got != "a c" {
		t.Errorf("after a removal: listed %q, want a and c", got)
	}
}

// Entries with one address are one node, with the name under which it was first listed. A name that moves to another
// address is a new node. The old node must be removed before the new one is added.
func TestAddressIsTheIdentityOfANode(t *testing.T) {
	s := newState(t, Options{})
	x := Entry{Name: "x.example.org", Address: "10.0.0.1:1", LastStart: UnknownStart}
	y := Entry{Name: "y.example.org", Address: "10.0.0.2:1", LastStart: UnknownStart}
	s.Reduce(1*second, snapshotOf(dns, 1, x, y))
	c := s.Reduce(2*second, snapshotOf(discovery, 2, Entry{Name: "s-1", Address: "10.0.0.1:1", LastStart: 7}))
	if got := listed(s); got != "x.example.org y.example.org" || len(c.Nodes) != 1 || c.Nodes[0].LastStart != 7 {
		t.Errorf("listed %q, change %+v; want both nodes under their old names and a new start time", got, c)
	}
	moved := y
	moved.Address = "10.0.0.3:1"
	c = s.Reduce(3*second, snapshotOf(dns, 3e6, x, moved))
	if len(c.Nodes) != 2 {
		t.Fatalf("change %+v, want a removed and a new node", c)
	}
	if removed := c.Nodes[0]; removed.State != Removed || removed.Address != "10.0.0.2:1" {
		t.Errorf("first change %+v, want the node at 10.0.0.2:1 removed", removed)
	}
	if added := c.Nodes[1]; added.Address != "10.0.0.3:1" || added.LastStart != 3e6 {
		t.Errorf("second change %+v, want a node at 10.0.0.3:1 started at 3 s", added)
	}
}

// A node flaps: it is removed and listed again every second. Its start time must be the time of its latest return.
// After the third return, returns must be delayed, each for longer, but removals must take effect at once.
func TestFlappingNodeIsHeldBack(t *testing.T) {
	s := newDNSState(t)
	s.Reduce(1*second, snapshot(0, 1, "a", "b"))
	nodes, _ := s.List()
	if nodes[0].LastStart != 0 {
		t.Errorf("start time %d, want 0", nodes[0].LastStart)
	}
	now := 1 * second
	var waits []Micros
	for range 6 {
		now += second
		if c := s.Reduce(now, snapshot(0, now, "b")); len(c.Nodes) != 1 || c.Nodes[0].State != Removed {
			t.Fatalf("at %d the change is %+v, want the node removed", now, c)
		}
		now += second
		listedAt := now
		c := s.Reduce(now, snapshot(0, now, "a", "b"))
		for len(c.Nodes) == 0 {
			at, ok := s.Next()
			if !ok {
				t.Fatal("the node never returns")
			}
			now = at
			c = s.Reduce(now, nil)
		}
		if c.Nodes[0].LastStart != now {
			t.Errorf("start time %d, want the time of the return, %d", c.Nodes[0].LastStart, now)
		}
		waits = append(waits, now-listedAt)
	}
	if waits[0] != 0 || waits[2] != 0 || waits[3] < 2e6 || waits[4] <= waits[3] || waits[5] > 60e6 {
		t.Errorf("delays of the returns: %v; want none for three returns, then at least 2 s, then longer, at most 60 s",
			waits)
	}
}
