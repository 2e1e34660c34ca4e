package scheduler

import (
	"cmp"
	"iter"
	"slices"

	"junctionwharf/balancer"
)

// pick takes the first of the nodes, in the order that package balancer gives, that may serve a request now.
func (g *Scheduler) pick(s *shard, r *request) *node {
	for n := range g.preferred(s, r) {
		if n.state == Ready && g.hasRoom(n, r) && inScope(r, n) && g.coldRoom(n, r.Units) {
			return n
		}
	}
	return nil
}

func (g *Scheduler) send(r *request, n *node) {
	if r.attempts == 0 {
		r.volume.level -= r.Units
	} else {
		g.extras = append(g.extras, g.now)
	}
	if !r.counted {
		r.volume.limit.Take(r.ID, r.Units)
	}
	r.attempts++
	r.counted, r.outAt, r.sentAt = true, n, g.now
	if n.out == 0 {
		n.lastSent = g.now
	}
	r.passed, r.lost, n.flight = 0, false, append(n.flight, r)
	n.savings, n.pacedAt = n.savings-r.Units, g.now
	n.leave(g)
	g.act(Forward{ID: r.ID, Node: n.Name})
}

// leave counts a send.
func (n *node) leave(g *Scheduler) {
	n.work(g)
	n.out++
	g.spent = max(0, g.spent-movesEach)
	if n.member != nil && n.home.group != nil {
		n.home.group.RecordSent(g.now, n.member)
	}
}

// members brings the shard's group up to date with the list.
func (g *Scheduler) members(s *shard) *balancer.Balancer {
	if s.group != nil && s.grouped == g.lists {
		return s.group
	}
	if s.group == nil {
		opt := g.set.Balancer
		opt.Name, opt.Ordinal = cmp.Or(opt.Name, string(rune(g.set.Ordinal))), g.set.Ordinal
		opt.Brokers = g.set.Brokers
		s.group = balancer.New(opt)
		at, _ := slices.BinarySearchFunc(g.groups, s.id, byShard)
		g.groups = slices.Insert(g.groups, at, s)
	}
	s.grouped = g.lists
	var ready []*balancer.Replica
	for _, n := range s.nodes {
		if n.state != Ready {
			continue
		}
		if n.member == nil {
			n.member = &balancer.Replica{Name: n.Name, Ref: n}
		}
		n.member.Priority, n.member.Weight, n.member.CapacityShare = n.Priority, max(n.Weight, 0), 1
		if n.TrafficWeight > 0 {
			n.member.Weight = max(n.member.Weight, 1) * n.TrafficWeight
		}
		ready = append(ready, n.member)
	}
	s.group.SetReplicas(g.now, ready)
	return s.group
}

// preferred yields a shard's nodes, the best choice first.
func (g *Scheduler) preferred(s *shard, r *request) iter.Seq[*node] {
	if len(s.nodes) < 2 || g.set.Balancer.Disabled || !s.several() {
		return g.leastOut(s, r)
	}
	group := g.members(s)
	for _, n := range s.nodes {
		if n.member != nil {
			n.member.InFlight, n.member.CapacityShare = n.out, g.warmth(n)
		}
	}
	return func(yield func(*node) bool) {
		for m := range group.Candidates(g.now, !r.harmless() || r.attempts > 0) {
			if !yield(m.Ref.(*node)) {
				return
			}
		}
	}
}

// leastOut yields the one node with the fewest attempts out, against its part, that may be sent to: the first
// listed of equals.
func (g *Scheduler) leastOut(s *shard, r *request) iter.Seq[*node] {
	if len(s.nodes) < 2 {
		return slices.Values(s.nodes)
	}
	var best []*node
	for _, n := range s.nodes {
		if n.state == Ready && (best == nil || n.before(best[0])) && g.hasRoom(n, r) &&
			inScope(r, n) && g.coldRoom(n, r.Units) {
			best = append(best[:0], n)
		}
	}
	return slices.Values(best)
}

// before tells whether n would be loaded less than other, against its part, with a request on top.
func (n *node) before(other *node) bool {
	if n.Priority != other.Priority {
		return n.Priority < other.Priority
	}
	part := func(n *node) float64 { return cmp.Or(max(n.TrafficWeight, 0), 1) }
	return float64(n.out+1)*part(other) < float64(other.out+1)*part(n)
}

// warmth is the part of its capacity that a node that has just started surely has.
func (g *Scheduler) warmth(n *node) float64 {
	rules := g.set.Rules
	if !n.cold || rules.WarmUpTime <= 0 || rules.InitialCapacity <= 0 {
		return 1
	}
	return min(1, rules.InitialCapacity+
		(1-rules.InitialCapacity)*max(0, (g.now-n.bornAt).Seconds())/rules.WarmUpTime.Seconds())
}

// spreading is what a gateway keeps of this.
type spreading struct {
	lists     uint64 // counts news of the list
	lookTick  int    // the last tick in which attempts were looked at, and its time
	lookAt    Time
	stoodTill Time     // this gateway stood still and judges nobody before
	spent     float64  // attempts called off on suspicion alone, less what sends have earned
	groups    []*shard // shards with a group, by id
}

// width is how many nodes work at what a shard holds.
func (s *shard) width() float64 {
	if s.group == nil {
		return 1
	}
	count := 0
	for _, n := range s.nodes {
		if n.state == Ready && n.member != nil && !n.member.Unresponsive() {
			count++
		}
	}
	return float64(max(1, min(count, s.group.SubsetSize())))
}
