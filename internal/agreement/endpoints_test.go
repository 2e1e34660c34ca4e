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

// What discovery drains, drains at once. What is drained by the replicated configuration drains although discovery
// says that it is ready, and comes back as discovery has it.
func TestReplicatedDrainsOverlayEndpoints(t *testing.T) {
	o := newEndpointOverlay()
	o.apply(fullUpdate(newNode("a", scheduler.Ready), newNode("b", scheduler.Ready)))

	changed := o.setDrains(map[string]bool{"a": true, "x": true})
	if len(changed) != 1 || changed[0].State != scheduler.Draining || changed[0].Name != "a" {
		t.Errorf("%+v", changed)
	}

	got := o.apply(deltaUpdate(newNode("a", scheduler.Ready), newNode("b", scheduler.Draining)))
	for _, n := range got.update.Nodes {
		if n.State != scheduler.Draining {
			t.Errorf("%+v", n)
		}
	}
	if !slices.Equal(got.drain, []string{"b"}) || len(got.undrain) > 0 {
		t.Errorf("%+v", got)
	}

	if changed := o.setDrains(nil); len(changed) != 1 || changed[0].State != scheduler.Ready {
		t.Errorf("%+v", changed)
	}

	got = o.apply(deltaUpdate(newNode("b", scheduler.Ready), newNode("a", scheduler.Removed)))
	if got.update.Nodes[1].State != scheduler.Removed || len(got.drain) > 0 {
		t.Errorf("%+v", got)
	}
	if !slices.Equal(got.undrain, []string{"b", "a"}) {
		t.Errorf("%v", got.undrain)
	}
}

// A node that is drained by the replicated configuration disappears from discovery: nothing of it may be kept.
func TestRemovedNodeIsForgotten(t *testing.T) {
	o := newEndpointOverlay()
	o.apply(fullUpdate(newNode("b", scheduler.Ready)))
	o.setDrains(map[string]bool{"b": true})
	o.apply(fullUpdate(newNode("c", scheduler.Ready)))
	if changed := o.setDrains(map[string]bool{"b": true}); len(changed) > 0 || len(o.overridden) > 0 {
		t.Errorf("%+v, %v", changed, o.overridden)
	}
}
