package scheduler

import (
	"math"
)

// placeNew chooses the shard of a new object: of a few sound nodes, drawn so that hosts do not all take the
// same, the one where it will wait least. A cold node is one of them as far as it surely bears the object,
// else after many restarts all new work crowds the old ones; one that is not known counts as no quicker than
// the usual. It hurts when reads of new objects follow to a node that is still cold.
func (g *Scheduler) placeNew(r *request) int {
	best, least, left := -1, math.Inf(1), newChoices
	start := g.rng.IntN(max(1, len(g.nodeList)))
	for i := 0; i < len(g.nodeList) && left > 0; i++ {
		n := g.nodeList[(start+i)%len(g.nodeList)]
		sound := n.state == Ready && !n.silent(g) && g.now >= n.restTill
		if !sound || !inScope(r, n) || !g.coldRoom(n, r.Units) {
			continue
		}
		left--
		took := max(n.took, queueShare*g.aim.Seconds())
		wait := float64(n.out+len(g.shards[n.Shard].held)+1) / n.bound * took
		if wait < least {
			best, least = n.Shard, wait
		}
	}
	return best
}

// inScope keeps a keyed request that may have run with the nodes that drop its repeats.
func inScope(r *request, n *node) bool {
	if r.ranAt == nil || r.class.Idempotency != IdempotentWithKey || r.class.Scope == ScopeAll {
		return true
	}
	return n.Shard == r.ranAt.Shard || r.class.Scope == ScopeZone && n.Zone == r.ranAt.Zone
}
