package scheduler

import "math"

// placementChoices is how many nodes are looked at for a new object. Higher, all brokers choose the same few
// idle nodes; lower, new objects wait at busy nodes while others idle.
const placementChoices = 8

// placeNewObject chooses the shard of a new object: of a few sound nodes, from a random one on so that
// brokers do not all take the same, the one where it will wait least. A node that is warming up counts as far
// as it surely bears the object: else after many restarts all new objects would crowd the old nodes. A node
// whose latency is not known counts as no quicker than the target. It costs reads that follow to a node that
// is still warming up. It returns -1 where no node is sound.
func (s *Scheduler) placeNewObject(r *request) int {
	best := -1
	leastWait := math.Inf(1)
	choices := placementChoices
	target := targetLatency(s.minObjective)
	nodes := s.nodes.list
	start := s.rng.IntN(max(1, len(nodes)))
	for i := 0; i < len(nodes) && choices > 0; i++ {
		n := nodes[(start+i)%len(nodes)]
		sound := n.state == Ready && !n.unresponsive(s.now, s.minObjective) && s.now >= n.health.backoffUntil
		if !sound || !inScope(r, n) || !s.slowStartAllows(n, r.Units) {
			continue
		}
		choices--
		queued := n.inFlight + len(s.shards.byID[n.Shard].queue)
		wait := float64(queued+1) / n.limit.value * max(n.latency.smoothed, target)
		if wait < leastWait {
			best = n.Shard
			leastWait = wait
		}
	}
	return best
}

// inScope tells whether a node drops repeats of a request: one with an idempotency key that may have executed
// stays with the nodes that know its key.
func inScope(r *request, n *node) bool {
	if r.executedOn == nil || r.class.Idempotency != IdempotentWithKey || r.class.Scope == ScopeAll {
		return true
	}
	if n.Shard == r.executedOn.Shard {
		return true
	}
	return r.class.Scope == ScopeZone && n.Zone == r.executedOn.Zone
}
