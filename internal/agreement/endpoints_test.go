package agreement

import (
	"slices"
	"testing"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

func newNode(name string, state scheduler.NodeState) broker.Node {
	return broker.Node{Endpoint: scheduler.Endpoint{Name: name, State: state}}
}

func fullUpdate(nodes ...broker.Node) broker.NodesListed {
	return broker.NodesListed{Kind: scheduler.FullUpdate, Nodes: nodes}
}

func deltaUpdate(nodes ...broker.Node) broker.NodesListed {
	return broker.NodesListed{Kind: scheduler.DeltaUpdate, Nodes: nodes}
}

// A node that discovery reports as draining must drain at once, and its drain must be proposed. A node with a
// replicated drain must drain even if discovery reports it as ready, and must return to the state that discovery
// reports when the replicated drain ends.
func TestReplicatedDrainsOverlayEndpoints(t *testing.T) {
	o := newEndpointOverlay()
	o.apply(fullUpdate(newNode("a", scheduler.Ready), newNode("b", scheduler.Ready)))

	changed := o.setDrains(map[string]bool{"a": true, "x": true})
	if len(changed) != 1 || changed[0].State != scheduler.Draining || changed[0].Name != "a" {
		t.Errorf("changed %+v, want node a, draining", changed)
	}

	got := o.apply(deltaUpdate(newNode("a", scheduler.Ready), newNode("b", scheduler.Draining)))
	for _, n := range got.update.Nodes {
		if n.State != scheduler.Draining {
			t.Errorf("endpoint %+v, want it draining", n)
		}
	}
	if !slices.Equal(got.drain, []string{"b"}) || len(got.undrain) > 0 {
		t.Errorf("drains %v and undrains %v to propose, want a drain of b and no undrain", got.drain, got.undrain)
	}

	if changed := o.setDrains(nil); len(changed) != 1 || changed[0].State != scheduler.Ready {
		t.Errorf("changed %+v, want node a, ready", changed)
	}

	got = o.apply(deltaUpdate(newNode("b", scheduler.Ready), newNode("a", scheduler.Removed)))
	if got.update.Nodes[1].State != scheduler.Removed || len(got.drain) > 0 {
		t.Errorf("%+v, want node a removed and no drain to propose", got)
	}
	if !slices.Equal(got.undrain, []string{"b", "a"}) {
		t.Errorf("undrains %v to propose, want b and a", got.undrain)
	}
}

// A node with a replicated drain disappears from discovery. The overlay must not keep the node.
func TestRemovedNodeIsForgotten(t *testing.T) {
	o := newEndpointOverlay()
	o.apply(fullUpdate(newNode("b", scheduler.Ready)))
	o.setDrains(map[string]bool{"b": true})
	o.apply(fullUpdate(newNode("c", scheduler.Ready)))
	if changed := o.setDrains(map[string]bool{"b": true}); len(changed) > 0 || len(o.overridden) > 0 {
		t.Errorf("changed %+v, overridden %v; want none", changed, o.overridden)
	}
}
