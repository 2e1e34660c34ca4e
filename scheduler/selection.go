package scheduler

import (
	"cmp"
	"iter"
	"slices"

	"junctionwharf/balancer"
)

// selectNode returns the first node of a shard, in the order of candidates, that may serve a request now, or
// nil if there is none.
func (s *Scheduler) selectNode(sh *shard, r *request) *node {
	for n := range s.candidates(sh, r) {
		if s.mayServe(n, r) {
			return n
		}
	}
	return nil
}

// mayServe reports whether a request may be forwarded to a node now.
func (s *Scheduler) mayServe(n *node, r *request) bool {
	return n.state == Ready && s.belowLimit(n, r) && inScope(r, n) && s.slowStartAllows(n, r.Units)
}

// candidates yields the nodes of a shard, best choice first. The balancer is used only if several nodes are
// ready and the settings do not disable it.
func (s *Scheduler) candidates(sh *shard, r *request) iter.Seq[*node] {
	if len(sh.nodes) < 2 || s.settings.Balancer.Disabled || !sh.hasSeveralReady() {
		return s.leastLoaded(sh, r)
	}
	replicas := s.balancerOf(sh)
	for _, n := range sh.nodes {
		if n.replica != nil {
			n.replica.InFlight = n.inFlight
			n.replica.CapacityShare = n.slowStart.capacityShare(s.now, &s.settings.Rules)
		}
	}
	proven := !r.safeToRepeat() || r.attempts > 0
	return func(yield func(*node) bool) {
		for replica := range replicas.Candidates(s.now, proven) {
			if !yield(replica.Ref.(*node)) {
				return
			}
		}
	}
}

// leastLoaded yields at most one node: of the nodes that may serve a request, the one with the lowest
// Priority value and, among nodes with that value, the fewest attempts in flight relative to its traffic
// weight. Of equal nodes it yields the first listed. The only node of a shard is yielded without a check.
func (s *Scheduler) leastLoaded(sh *shard, r *request) iter.Seq[*node] {
	if len(sh.nodes) < 2 {
		return slices.Values(sh.nodes)
	}
	var best []*node
	for _, n := range sh.nodes {
		if n.state == Ready && (best == nil || n.isLessLoaded(best[0])) && s.mayServe(n, r) {
			best = append(best[:0], n)
		}
	}
	return slices.Values(best)
}

// isLessLoaded reports whether a node with one more request would be less loaded, relative to its weight,
// than another node with one more request. If their priorities differ, only the priorities are compared.
func (n *node) isLessLoaded(other *node) bool {
	if n.Priority != other.Priority {
		return n.Priority < other.Priority
	}
	weight := func(n *node) float64 { return cmp.Or(max(n.TrafficWeight, 0), 1) }
	return float64(n.inFlight+1)*weight(other) < float64(other.inFlight+1)*weight(n)
}

// balancerOf returns a shard's balancer, updated with the nodes of the last endpoint update.
func (s *Scheduler) balancerOf(sh *shard) *balancer.Balancer {
	if sh.balancer != nil && sh.balancerUpdate == s.endpoints.updates {
		return sh.balancer
	}
	if sh.balancer == nil {
		options := s.settings.Balancer
		// A broker without a name gets the character with its ordinal as code point: decisions depend on
		// the name's hash.
		options.Name = cmp.Or(options.Name, string(rune(s.settings.Ordinal)))
		options.Ordinal = s.settings.Ordinal
		options.Brokers = s.settings.Brokers
		sh.balancer = balancer.New(options)
		at, _ := slices.BinarySearchFunc(s.shards.balanced, sh.id, compareShardID)
		s.shards.balanced = slices.Insert(s.shards.balanced, at, sh)
	}
	sh.balancerUpdate = s.endpoints.updates
	sh.balancer.SetReplicas(s.now, sh.readyReplicas())
	return sh.balancer
}

// readyReplicas returns the shard's ready nodes as replicas of the balancer.
func (sh *shard) readyReplicas() []*balancer.Replica {
	var ready []*balancer.Replica
	for _, n := range sh.nodes {
		if n.state != Ready {
			continue
		}
		if n.replica == nil {
			n.replica = &balancer.Replica{Name: n.Name, Ref: n}
		}
		n.replica.Priority = n.Priority
		n.replica.Weight = max(n.Weight, 0)
		n.replica.CapacityShare = 1
		if n.TrafficWeight > 0 {
			n.replica.Weight = max(n.replica.Weight, 1) * n.TrafficWeight
		}
		ready = append(ready, n.replica)
	}
	return ready
}

// forward sends a request to a node. A first attempt is paid for with tokens, and a retry counts against the
// retry budget. The quota of the rate limit is charged once per request.
func (s *Scheduler) forward(r *request, n *node) {
	if r.attempts == 0 {
		r.volume.tokens -= r.Units
	} else {
		s.budget.recordRetry(s.now)
	}
	if !r.limitCharged && r.isLimited() {
		r.volume.quota.Take(r.ID, r.Units)
	}
	r.attempts++
	r.limitCharged = true
	r.inFlightAt = n
	r.sentAt = s.now
	r.overtaken = 0
	r.lost = false
	if n.inFlight == 0 {
		n.health.waitingSince = s.now
	}
	n.attempts = append(n.attempts, r)
	n.slowStart.tokens -= r.Units
	n.limit.lastForward = s.now
	s.nodes.activate(n)
	n.inFlight++
	s.failovers.recordForward()
	if n.replica != nil && n.shard.balancer != nil {
		n.shard.balancer.RecordSent(s.now, n.replica)
	}
	s.emit(Forward{ID: r.ID, Node: n.Name})
}
