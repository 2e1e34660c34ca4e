package scheduler

import "cmp"

// NodeShare describes the share of a shard's requests that this broker sends to a node.
type NodeShare struct {
	Node   string
	Shard  int
	Weight float64 // relative to the other nodes of the shard
	Factor float64 // factor that outlier detection applies to the weight, 0 to 1
	Share  float64 // fraction of the requests, 0 if this broker does not use the node
	Reason string  // reason for the factor
}

// NodeShares returns the shares of the nodes of all shards that have a balancer and several ready nodes.
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
