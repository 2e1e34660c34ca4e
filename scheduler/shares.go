package scheduler

import "cmp"

// NodeShare is what a node gets of this broker's requests to its shard.
type NodeShare struct {
	Node   string
	Shard  int
	Weight float64 // its size against others
	Factor float64 // what outlier detection leaves of the weight, 0 to 1
	Share  float64 // of the requests, 0 where this broker does not use the node
	Reason string  // of the factor
}

// NodeShares tells how requests are spread over the nodes of the shards that have several.
func (s *Scheduler) NodeShares() []NodeShare {
	var shares []NodeShare
	for _, id := range s.shards.ids {
		sh := s.shards.byID[id]
		if sh.balancer == nil || !sh.hasSeveralReady() {
			continue
		}
		for _, replica := range sh.balancer.Replicas() {
			shares = append(shares, NodeShare{
				Node:   replica.Name,
				Shard:  id,
				Weight: cmp.Or(replica.Weight, 1),
				Factor: replica.Factor(),
				Share:  replica.Share(),
				Reason: replica.Reason(),
			})
		}
	}
	return shares
}
