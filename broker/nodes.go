package broker

import (
	"slices"

	"junctionwharf/scheduler"
	"junctionwharf/telemetry"
)

// nodeState is the state of a listed node.
type nodeState struct {
	address    string // empty until a list contained an address
	shard      int
	leaving    bool   // listed as draining or removed
	lastListed uint64 // value of State.listUpdates when an update last named the node
}

// handleNodeList applies an update of the list of nodes. It closes idle connections to nodes that are draining or
// removed, stops attempts in flight at these nodes from sending more data, and passes the update to the scheduler.
func (s *State) handleNodeList(e NodesListed) {
	s.listUpdates++
	infos := make([]scheduler.Endpoint, 0, len(e.Nodes))
	var leaving map[string]bool
	for i := range e.Nodes {
		n := &e.Nodes[i]
		node := s.listNode(n)
		leaving = s.setLeaving(leaving, n.Name, node, n.State != scheduler.Ready)
		if n.State == scheduler.Removed {
			s.removeNode(n.Name, node)
		}
		info := n.Endpoint
		info.StartedAt = n.LastStart.Duration()
		infos = append(infos, info)
	}
	if e.Kind != scheduler.DeltaUpdate {
		for name, node := range s.nodes {
			if node.lastListed != s.listUpdates {
				leaving = s.setLeaving(leaving, name, node, true)
				s.removeNode(name, node)
			}
		}
	}
	s.stopSendingTo(leaving)
	s.notifyScheduler(scheduler.EndpointUpdate{Kind: e.Kind, Version: e.Version, Endpoints: infos})
}

// listNode adds or updates the state of a listed node.
func (s *State) listNode(n *Node) *nodeState {
	node := s.nodes[n.Name]
	if node == nil {
		node = &nodeState{}
		s.nodes[n.Name] = node
		s.record(telemetry.Observation{Kind: telemetry.NodeListed, Node: n.Name})
	}
	if n.Address != "" {
		node.address = n.Address
	}
	node.shard = n.Shard
	node.lastListed = s.listUpdates
	return node
}

// setLeaving sets whether a node is draining or removed. A node that was neither before is added to the set, which
// setLeaving creates if necessary and returns. The idle connections to such a node are closed.
func (s *State) setLeaving(set map[string]bool, name string, node *nodeState, leaves bool) map[string]bool {
	if leaves && !node.leaving {
		if set == nil {
			set = map[string]bool{}
		}
		set[name] = true
		s.record(telemetry.Observation{Kind: telemetry.NodeDraining, Node: name})
		s.emit(CloseIdle{Address: node.address})
	}
	node.leaving = leaves
	return set
}

// removeNode drops the state of a removed node. Replacement nodes have new names, so without removal the memory of a
// process that runs for months would grow with every node that was ever replaced.
func (s *State) removeNode(name string, node *nodeState) {
	s.emit(CloseIdle{Address: node.address})
	s.record(telemetry.Observation{Kind: telemetry.NodeUnlisted, Node: name})
	delete(s.nodes, name)
}

// address returns the address of a node, or "" for an unknown node.
func (s *State) address(node string) string {
	if n := s.nodes[node]; n != nil {
		return n.address
	}
	return ""
}

// stopSendingTo prevents attempts in flight at nodes that have just begun to drain or were removed from sending more
// data to these nodes. An attempt that consists of several messages would otherwise continue to send. Sending stops
// immediately, so that the scheduler may still choose another node in time.
func (s *State) stopSendingTo(leaving map[string]bool) {
	if len(leaving) == 0 {
		return
	}
	var ids []uint64
	for id, r := range s.requests {
		if r.inFlight && leaving[r.node] && !r.stopped {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids) // map order is random, but a simulation must produce the same effects each time
	for _, id := range ids {
		s.emit(StopSending{ID: id, Number: s.requests[id].attempts - 1})
	}
}
