package agreement

import (
	"net"
	"slices"
	"testing"
)

// newTestConnection returns a connection whose other end is never read.
func newTestConnection(t *testing.T, p peer) *connection {
	t.Helper()
	near, far := net.Pipe()
	c := newConnection(near, nil, p, &trafficCounters{})
	t.Cleanup(func() {
		c.close()
		_ = far.Close()
	})
	return c
}

// A broker moves to another part of the tree, or ends. Replies to it must use the connection of its latest renewal, and
// its route must expire.
func TestRoutesFollowRenewals(t *testing.T) {
	tr := newTree()
	left, right := newTestConnection(t, peer{name: "left"}), newTestConnection(t, peer{name: "right"})
	tr.learnRoute("a", left, 1)
	tr.learnRoute("b", left, 1)
	tr.learnRoute("a", right, 2)
	if tr.routeTo("a") != right || tr.routeTo("b") != left || tr.routeTo("unknown") != nil {
		t.Errorf("routes %+v, want a via right and b via left", tr.routes)
	}
	left.close()
	tr.expireRoutes(3)
	if tr.routeTo("b") != nil || tr.routeTo("a") != right {
		t.Errorf("routes after the left connection closed: %+v, want only a via right", tr.routes)
	}
	tr.expireRoutes(2 + routeTimeout + 1)
	if len(tr.routes) > 0 {
		t.Errorf("routes after the timeout: %+v, want none", tr.routes)
	}
}

// A child connects again before its first connection has ended. Then the first connection ends, which must not remove
// the second one.
func TestReconnectedChildStays(t *testing.T) {
	tr := newTree()
	first, second := newTestConnection(t, peer{name: "a"}), newTestConnection(t, peer{name: "a"})
	tr.addChild("a", first)
	tr.closeChild("a")
	tr.addChild("a", second)
	tr.removeChild(first)
	if !first.closed.Load() || tr.children["a"] != second {
		t.Errorf("first connection closed: %v, children %v; want it closed, and the second connection as the child",
			first.closed.Load(), tr.children)
	}
	tr.removeChild(second)
	if len(tr.children) > 0 {
		t.Errorf("children after the end of the second connection: %v, want none", tr.children)
	}
}

// A broker asks to connect. Each reason for a rejection must be detected. A rejection by a full broker must name its
// children, and an accepted child must learn the path to the voter.
func TestHandshakeRejections(t *testing.T) {
	const cluster, shared = "c", "options"
	voters := []Voter{{Name: "v0"}, {Name: "v1"}, {Name: "v2"}}
	valid := hello{Cluster: cluster, SharedOptions: shared, Name: "n"}
	with := func(change func(*hello)) hello {
		h := valid
		change(&h)
		return h
	}
	attached := func(tr *tree) { tr.parent = newTestConnection(t, peer{path: []string{"v0", "p"}}) }
	for _, c := range []struct {
		name  string
		hello hello
		setUp func(*tree)
		want  string
	}{
		{"another cluster", with(func(h *hello) { h.Cluster = "d" }), attached, `this is cluster "c"`},
		{"other options", with(func(h *hello) { h.SharedOptions = "x" }), attached, rejectedOptions},
		{"no name", with(func(h *hello) { h.Name = "" }), attached, rejectedName},
		{"own name", with(func(h *hello) { h.Name = "self" }), attached, rejectedName},
		{"name of a voter", with(func(h *hello) { h.Name = "v1" }), attached, rejectedName},
		{"false claim to be a voter", with(func(h *hello) { h.IsVoter = true }), attached, rejectedName},
		{"voter", with(func(h *hello) { h.Name, h.IsVoter = "v1", true }), attached, rejectedVoter},
		{"not attached", valid, func(*tree) {}, rejectedNoPath},
		{"cycle", with(func(h *hello) { h.Name = "p" }), attached, rejectedCycle},
		{"full", valid, func(tr *tree) {
			attached(tr)
			tr.addChild("a", newTestConnection(t, peer{name: "a", listenAddress: "address of a"}))
		}, rejectedFull},
		{"accepted", valid, attached, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &Service{sharedOptions: shared, tree: newTree()}
			s.options = Options{Name: "self", Cluster: cluster, Voters: voters, MaxChildren: 1, Log: discardLog}
			c.setUp(&s.tree)
			w := s.decideHandshake(newTestConnection(t, peer{name: c.hello.Name}), c.hello)
			if w.Rejection != c.want || w.Name != "self" {
				t.Errorf("welcome %+v, want rejection %q", w, c.want)
			}
			if c.want == "" && !slices.Equal(w.Path, []string{"v0", "p", "self"}) {
				t.Errorf("path %v, want [v0 p self]", w.Path)
			}
			if full := c.want == rejectedFull; full != slices.Equal(w.Alternatives, []string{"address of a"}) {
				t.Errorf("alternatives %v, want the address of a only if the broker is full", w.Alternatives)
			}
		})
	}
}
