package broker

import (
	"fmt"
	"testing"

	"junctionwharf/scheduler"
	"junctionwharf/telemetry"
)

// A node begins to drain while an attempt of several messages is under way there. It must not go on sending past the
// rule's grace: it is barred, and retried at another node.
func TestDrainStopsSending(t *testing.T) {
	h := newHarness(t)
	h.turn(RequestArrived{ID: 1, Request: testRequest("write", 0)})
	draining := testNode("n1", 0, scheduler.Draining)
	h.turn(changedNodes(2, draining, testNode("n3", 0, scheduler.Ready)))
	h.turn(changedNodes(3, draining))
	if len(h.sendStops) != 1 {
		t.Fatalf("barred %d times", len(h.sendStops))
	}
	h.turn(AttemptEnded{1, 0, broken(PartiallyWritten)})
	h.advance(100_000)
	if len(h.starts) < 2 || h.starts[1].Attempt.Node != "n3" {
		t.Errorf("%+v", h.starts)
	}
}

// A node that a full list no longer names is removed.
func TestMissingFromFullList(t *testing.T) {
	h := newHarness(t)
	h.turn(fullList(2, testNode("n2", 1, scheduler.Ready)))
	h.turn(RequestArrived{ID: 1, Request: testRequest("read", 0)})
	h.advance(Second)
	if len(h.starts) > 0 {
		t.Error("sent to a node that is gone")
	}
}

// Nodes are replaced one after the other, for months: each replacement has a new name. Those that are gone are
// forgotten, and their idle connections closed.
func TestRemovedNodesAreForgotten(t *testing.T) {
	h := newHarness(t)
	for i := range 200 {
		removed := testNode(fmt.Sprint("o", i), 0, scheduler.Removed)
		added := testNode(fmt.Sprint("o", i+1), 0, scheduler.Ready)
		h.turn(changedNodes(uint64(i+2), removed, added))
	}
	h.turn(fullList(300, testNode("n2", 1, scheduler.Ready)))
	if len(h.state.nodes) != 1 {
		t.Errorf("kept %d", len(h.state.nodes))
	}
	closed := 0
	for _, e := range h.effects {
		if e, is := e.(CloseIdle); is && e.Address == "192.0.2.1:o50" {
			closed++
		}
	}
	if closed == 0 {
		t.Error("idle connections to a node that is gone stay open")
	}
}

// 10,000 nodes are replaced by as many others in one list: each leaves once, is forgotten, and the new ones serve.
func TestReplaceAllNodes(t *testing.T) {
	h := newHarness(t)
	list := func(version uint64, prefix string) NodesListed {
		var nodes []Node
		for i := range 10_000 {
			nodes = append(nodes, testNode(fmt.Sprint(prefix, i), i, scheduler.Ready))
		}
		return fullList(version, nodes...)
	}
	h.turn(list(2, "a"))
	h.turn(RequestArrived{ID: 1, Request: testRequest("read", 5)})
	h.sendStops = nil
	h.turn(list(3, "b"))
	if left := len(h.state.nodes); left != 10_000 {
		t.Errorf("%d nodes are known", left)
	}
	leaving := 0
	for _, o := range h.state.Observations() {
		if o.Kind == telemetry.NodeDraining {
			leaving++
		}
	}
	if leaving != 10_000 || len(h.sendStops) != 1 {
		t.Errorf("%d leave, %d attempts are barred", leaving, len(h.sendStops))
	}
	h.now += Second
	h.turn(RequestArrived{ID: 2, Request: testRequest("read", 7)})
	for range 400 { // the new nodes are warming up, and their slow-start budget grows
		h.now += 5000
		h.turn()
	}
	if last := h.starts[len(h.starts)-1]; last.ID != 2 || last.Attempt.Node != "b7" {
		t.Errorf("%+v", last)
	}
}
