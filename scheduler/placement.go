package scheduler

import "math"

// placementChoices is the number of nodes that are compared for a new object. With a larger value all brokers
// choose the same few idle nodes. With a smaller value new objects wait at busy nodes while other nodes idle.
const placementChoices = 8

// placeNewObject chooses the shard of a new object: the shard with the shortest expected wait among a few
// candidates. Candidates are ready nodes that answer, do not back off and are within the scope of the
// request's key. The search starts at a random node, so that brokers do not all choose the same node. A node
// that is warming up is a candidate if its slow-start budget covers the object. Without these nodes, all new
// objects would go to the few old nodes after many restarts. As a trade-off, later reads of the object go to
// a node that is still warming up. The latency of a node counts as at least the target latency. The result is
// -1 if no node is a candidate.
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

// inScope reports whether a request may be sent to a node under the scope of its idempotency key. A request
// that may have executed must stay within the nodes that recognize its key.
func inScope(r *request, n *node) bool {
	if r.executedOn == nil || r.class.Idempotency != IdempotentWithKey || r.class.Scope == ScopeAll {
		return true
	}
	if n.Shard == r.executedOn.Shard {
		return true
	}
	return r.class.Scope == ScopeZone && n.Zone == r.executedOn.Zone
}
