package broker

import (
	"fmt"
	"testing"

	"junctionwharf/scheduler"
	"junctionwharf/telemetry"
)

// A node starts draining while an attempt that consists of several messages is in flight there. The attempt must be
// stopped from sending, once although the node is listed as draining twice, and the request is retried at another node.
func TestDrainStopsSending(t *testing.T) {
	h := newHarness(t)
	h.turn(RequestArrived{ID: 1, Request: testRequest("write", 0)})
	draining := testNode("n1", 0, scheduler.Draining)
	h.turn(changedNodes(2, draining, testNode("n3", 0, scheduler.Ready)))
	h.turn(changedNodes(3, draining))
	if len(h.sendStops) != 1 {
		t.Fatalf("%d attempts stopped from sending, want 1", len(h.sendStops))
	}
	h.turn(AttemptEnded{1, 0, broken(PartiallyWritten)})
	h.advance(100_000)
	if len(h.starts) < 2 || h.starts[1].Attempt.Node != "n3" {
		t.Errorf("attempts started: %+v, want a second one at n3", h.starts)
	}
}

// A node that is missing from a full list is removed: requests of its shard are not sent to it.
func TestMissingFromFullList(t *testing.T) {
	h := newHarness(t)
	h.turn(fullList(2, testNode("n2", 1, scheduler.Ready)))
	h.turn(RequestArrived{ID: 1, Request: testRequest("read", 0)})
	h.advance(Second)
	if len(h.starts) > 0 {
		t.Error("request sent to a removed node")
	}
}

// Over months, nodes are replaced one after the other by nodes with new names. The state of removed nodes is dropped,
// and their idle connections are closed.
func TestRemovedNodesAreForgotten(t *testing.T) {
	h := newHarness(t)
	for i := range 200 {
		removed := testNode(fmt.Sprint("o", i), 0, scheduler.Removed)
		added := testNode(fmt.Sprint("o", i+1), 0, scheduler.Ready)
		h.turn(changedNodes(uint64(i+2), removed, added))
	}
	h.turn(fullList(300, testNode("n2", 1, scheduler.Ready)))
	if len(h.state.nodes) != 1 {
		t.Errorf("%d nodes known, want 1", len(h.state.nodes))
	}
	closed := 0
	for _, e := range h.effects {
		if e, is := e.(CloseIdle); is && e.Address == "192.0.2.1:o50" {
			closed++
		}
	}
	if closed == 0 {
		t.Error("idle connections to the removed node o50 were not closed")
	}
}

// One list replaces 10,000 nodes by as many others. Each old node is reported as draining once and its state is
// dropped, and the new nodes serve requests.
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
		t.Errorf("%d nodes known, want 10000", left)
	}
	leaving := 0
	for _, o := range h.state.Observations() {
		if o.Kind == telemetry.NodeDraining {
			leaving++
		}
	}
	if leaving != 10_000 || len(h.sendStops) != 1 {
		t.Errorf("%d nodes draining and %d attempts stopped from sending, want 10000 and 1", leaving, len(h.sendStops))
	}
	h.now += Second
	h.turn(RequestArrived{ID: 2, Request: testRequest("read", 7)})
	for range 400 { // the new nodes are warming up, and their slow-start budget grows
		h.now += 5000
		h.turn()
	}
	if last := h.starts[len(h.starts)-1]; last.ID != 2 || last.Attempt.Node != "b7" {
		t.Errorf("last attempt started: %+v, want request 2 at b7", last)
	}
}
