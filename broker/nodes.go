package broker

import (
	"slices"

	"junctionwharf/scheduler"
	"junctionwharf/telemetry"
)

// nodeState is what the list says of a node.
type nodeState struct {
	address    string // empty until a list has named one
	shard      int
	leaving    bool   // it was listed as draining or gone
	lastListed uint64 // State.listUpdates when a list last named it
}

// handleNodeList applies a list: connections to nodes that leave are closed, attempts under way there send no more,
// and the scheduler gets the list.
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

// listNode notes what a list says of one node.
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

// setLeaving notes whether a node leaves, and adds one that begins to do so to the set that it returns.
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

// removeNode forgets a node that is gone. Without it the process, which may run for months, would grow by each node
// that was ever replaced: each replacement comes under a new name.
func (s *State) removeNode(name string, node *nodeState) {
	s.emit(CloseIdle{Address: node.address})
	s.record(telemetry.Observation{Kind: telemetry.NodeUnlisted, Node: name})
	delete(s.nodes, name)
}

// address is where a node is reached, empty for one that is not known.
func (s *State) address(node string) string {
	if n := s.nodes[node]; n != nil {
		return n.address
	}
	return ""
}

// stopSendingTo guards the rule on drains against attempts of several messages, which would go on sending to nodes
// that leave: they are barred at once, while the scheduler may still find them another node in time.
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
	slices.Sort(ids) // the order of a map is random, and a simulation must give the same effects each time
	for _, id := range ids {
		s.emit(StopSending{ID: id, Number: s.requests[id].attempts - 1})
	}
}
