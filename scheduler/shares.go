package scheduler

import (
	"cmp"
)

// Share is what a node gets of this gateway's requests to its shard.
type NodeShare struct {
	Node           string
	Shard          int
	Weight, Factor float64 // its size against others, and what judging leaves of it
	Share          float64 // of the requests, 0 where this gateway does not use it
	Reason         string
}

// NodeShares tells how requests are spread over the nodes of shards that have several.
func (g *Scheduler) NodeShares() []NodeShare {
	var parts []NodeShare
	for _, id := range g.shardIDs {
		s := g.shards[id]
		if s.group == nil || !s.several() {
			continue
		}
		for _, m := range s.group.Replicas() {
			parts = append(parts, NodeShare{m.Name, id, cmp.Or(m.Weight, 1), m.Factor(),
				m.Share(), m.Reason()})
		}
	}
	return parts
}
