package scheduler

import (
	"math"
	"time"
)

// silent tells whether a node with work out has said nothing for long, be it dead, cut off or stuck.
func (n *node) silent(g *Scheduler) bool {
	return len(n.flight) > 0 && g.now-max(n.heard, n.lastSent) > time.Duration(silenceAims*float64(g.aim))
}

// learn takes what an outcome shows of its node. Only answers that served count as service.
func (g *Scheduler) learn(n *node, r *request, e AttemptEnded) {
	if e.Outcome != TimedOut && e.Outcome != Canceled && e.Outcome != Unreachable && e.Outcome != NotSent {
		n.heard = g.now
	}
	n.lastSent = g.now
	switch e.Outcome {
	case Success:
		n.finished += r.Units
		s, span := g.shards[n.Shard], g.set.Rules.WarmUpTime.Seconds()
		if n.cold && r.sentAt >= n.bornAt {
			n.savings += r.Units
		} else if !n.cold && span > 0 {
			s.served, s.servedAt = s.served*math.Exp(-(g.now-s.servedAt).Seconds()/span)+r.Units/span, g.now
		}
		n.answers++
		n.waited += e.Latency.Seconds()
		n.rest, n.futile, n.faults = 0, false, 0
		for _, other := range n.flight {
			if other.sentAt < r.sentAt {
				other.passed++
			}
		}
		if n.took == 0 {
			n.took = e.Latency.Seconds()
		}
	case NotSent: // it never reached the node, which bears it still
		n.savings += r.Units
		if v := r.volume; r.over && r.attempts == 1 { // nor took anything of what its volume has
			v.level += r.Units
			v.limit.Refund(r.ID)
		}
	case Overloaded, Unreachable, ConnectionBroken:
		// One lost answer among good ones shows nothing of the node's room, two on end may. An error never
		// does: a shard has no other node, and what waits while that rests is given up.
		if n.faults++; n.faults < 2 && e.Outcome == ConnectionBroken {
			return
		}
		n.bound = max(min(1, n.bound), n.bound*boundCut)
		n.rest = min(max(2*n.rest, g.tick), g.aim)
		n.restTill = g.now + n.rest
	}
}

// observe tells the shard's group what an outcome shows of its node.
func (g *Scheduler) observe(n *node, r *request, e AttemptEnded) {
	group := n.home.group
	if group == nil || n.member == nil {
		return
	}
	switch e.Outcome {
	case Success:
		if from := r.moved.from; from != nil && from != n && from.heard < r.moved.at && from.member != nil {
			g.foundSilent(from) // it has said nothing, and another answered
		}
		group.RecordAnswer(g.now, n.member,
			time.Duration(float64(e.Latency)*max(1, g.set.MeanUnits)/max(1, r.Units)))
	case Failure, Overloaded:
		group.RecordFailure(g.now, n.member, true)
	case Unreachable, ConnectionBroken:
		group.RecordFailure(g.now, n.member, false)
	}
}

// service is how many seconds an attempt takes.
func (s *shard) service() float64 {
	if n := s.quickest(); n != nil {
		return n.took
	}
	return 0
}

// quickest is the ready node by which the time to serve is judged: of several, the least time among those
// that are not silent, since that is where a request goes next.
func (s *shard) quickest() *node {
	first := s.readyNode()
	if first == nil || s.group == nil {
		return first
	}
	best := first
	for _, n := range s.nodes {
		if n.state != Ready || n.member == nil || n.member.Unresponsive() || n.took <= 0 {
			continue
		}
		if best.member == nil || best.member.Unresponsive() || best.took <= 0 || n.took < best.took {
			best = n
		}
	}
	return best
}

// elsewhere finds the node of a shard, besides one, that may be asked and answered last.
func (n *node) elsewhere() *node {
	var last *node
	for _, other := range n.home.nodes {
		if other != n && other.state == Ready && other.member != nil && !other.member.Unresponsive() &&
			(last == nil || other.heard > last.heard) {
			last = other
		}
	}
	return last
}

func (g *Scheduler) foundSilent(n *node) {
	n.home.group.RecordUnresponsive(g.now, n.member)
	g.log("node found silent", "%s of shard %d, others answer", n.Name, n.Shard)
}
