package scheduler

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"junctionwharf/balancer"
)

// byShard orders shards by their ids.
func byShard(s *shard, id int) int { return cmp.Compare(s.id, id) }

// A shard with one ready node knows nothing of spreading: there is nothing to choose, and all is as it was without. Where there
// are several, package balancer ranks them, and the module still decides whether the one in front may be sent to.

// Where no node has answered since an attempt went out, it is tried elsewhere on suspicion alone, for so many of the sends: were all
// nodes slow, more would only add to it.
const (
	movesEach = 0.1
	movesMost = 5.0
)

// overdueTicks is for how long an attempt is out at least before it is tried at another node.
const overdueTicks = 4

// spreading is what a gateway keeps of this.
type spreading struct {
	lists     uint64 // counts news of the list
	lookTick  int    // the last tick in which attempts were looked at, and its time
	lookAt    Time
	stoodTill Time     // this gateway stood still and judges nobody before
	spent     float64  // attempts called off on suspicion alone, less what sends have earned
	groups    []*shard // shards with a group, by id
}

// several tells whether a shard has more than one node that could serve.
func (s *shard) several() bool {
	ready := 0
	for _, n := range s.nodes {
		if n.state == Ready {
			if ready++; ready > 1 {
				return true
			}
		}
	}
	return false
}

// members brings the shard's group up to date with the list.
func (g *Scheduler) members(s *shard) *balancer.Balancer {
	if s.group != nil && s.grouped == g.lists {
		return s.group
	}
	if s.group == nil {
		opt := g.set.Balancer
		opt.Name, opt.Ordinal, opt.Brokers = cmp.Or(opt.Name, string(rune(g.set.Ordinal))), g.set.Ordinal, g.set.Brokers
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

// leastOut yields the one node with the fewest attempts out, against its part, that may be sent to: the first listed of equals.
func (g *Scheduler) leastOut(s *shard, r *request) iter.Seq[*node] {
	if len(s.nodes) < 2 {
		return slices.Values(s.nodes)
	}
	var best []*node
	for _, n := range s.nodes {
		if n.state == Ready && (best == nil || n.before(best[0])) && g.hasRoom(n, r) && inScope(r, n) && g.coldRoom(n, r.Units) {
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
	return min(1, rules.InitialCapacity+(1-rules.InitialCapacity)*max(0, (g.now-n.bornAt).Seconds())/rules.WarmUpTime.Seconds())
}

// harmless tells whether a request may run twice.
func (r *request) harmless() bool {
	return r.class.Idempotency == Idempotent || r.class.Idempotency == IdempotentWithKey && r.class.Scope == ScopeAll
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
		group.RecordAnswer(g.now, n.member, time.Duration(float64(e.Latency)*max(1, g.set.MeanUnits)/max(1, r.Units)))
	case Failure, Overloaded:
		group.RecordFailure(g.now, n.member, true)
	case Unreachable, ConnectionBroken:
		group.RecordFailure(g.now, n.member, false)
	}
}

// elsewhere finds the node of a shard, besides one, that may be asked and answered last.
func (n *node) elsewhere() *node {
	var last *node
	for _, other := range n.home.nodes {
		if other != n && other.state == Ready && other.member != nil && !other.member.Unresponsive() && (last == nil || other.heard > last.heard) {
			last = other
		}
	}
	return last
}

// moveOn guards the requests of a shard with several nodes against one that says nothing: an attempt that is out for far
// longer than usual, while others of the shard answered and this one did not, shows it silent; where it may run twice it is called off
// and tried at another. Whatever was written to the node stays its own. It hurts where a sound node pauses for as long. A broker
// that stood still itself, stopped or starved, judges nobody until it has read what came meanwhile.
func (g *Scheduler) moveOn(n *node, r *request) bool {
	if g.ticks != g.lookTick {
		if g.lookTick > 0 && g.now-g.lookAt > 3*g.tick {
			g.stoodTill = g.now + 2*g.tick
		}
		g.lookTick, g.lookAt = g.ticks, g.now
	}
	if n.member == nil || n.home.group == nil || r.over || g.now < g.stoodTill || g.now-r.sentAt < overdueTicks*g.tick || n.heard > r.sentAt {
		return false
	}
	other := n.elsewhere()
	if other == nil || (g.now-r.sentAt).Seconds() < overtime*other.took*max(1, r.Units/max(1, g.set.MeanUnits)) {
		return false
	}
	shown := other.heard > r.sentAt || n.member.Unresponsive()
	if shown {
		g.foundSilent(n)
	}
	if !shown && g.spent > movesMost-1 || !g.set.Capabilities.Cancel || !r.harmless() || !g.mayTryAgain(r) || g.now+2*g.tick >= r.deadline {
		return false
	}
	if !shown {
		g.spent++
		r.moved = moved{n, r.sentAt}
	}
	r.late(g)
	g.act(Cancel{ID: r.ID, Attempt: r.attempts - 1})
	return true
}

// moved tells from which node a request was tried elsewhere on suspicion, and when it had been sent there.
type moved struct {
	from *node
	at   Time
}

func (g *Scheduler) foundSilent(n *node) {
	n.home.group.RecordUnresponsive(g.now, n.member)
	g.log("node found silent", "%s of shard %d, others answer", n.Name, n.Shard)
}

// callOff calls off an attempt that is of no use.
func (g *Scheduler) callOff(n *node, r *request) bool { return g.moveOn(n, r) || g.callOffLate(n, r) }

// late gives a request that is tried at another node its time there: its aim may be over, and a late answer is worth more than none.
func (r *request) late(g *Scheduler) { r.due = min(r.deadline-2*g.tick, max(r.due, g.now+g.aim)) }

// holdAgain holds a request whose attempt has ended without an answer.
func (g *Scheduler) holdAgain(r *request, n *node) {
	if n.home.group != nil && n.home.several() {
		r.late(g)
	}
	g.hold(r)
}

// tellAll tells peers what there is to tell.
func (g *Scheduler) tellAll() {
	g.tellPeers()
	g.tellSilent()
}

// tellSilent tells a few peers which nodes were found silent.
func (g *Scheduler) tellSilent() {
	if !g.set.Capabilities.Peers || g.set.Brokers < 2 {
		return
	}
	for _, s := range g.groups {
		for _, data := range s.group.GossipMessages(g.now) {
			for _, peer := range s.group.GossipPeers(g.now) {
				g.act(SendToPeer{Peer: peer, Data: data})
			}
		}
	}
}

// hearSilent takes such a message of a peer, and tells whether it was one.
func (g *Scheduler) hearSilent(e PeerMessage) bool {
	if len(e.Data) == 0 || e.Data[0] != balancer.GossipUnresponsive && e.Data[0] != balancer.GossipRecovered {
		return false
	}
	for _, s := range g.groups {
		s.group.ReceiveGossip(g.now, e.From, e.Data)
	}
	return true
}

// quickest is the ready node by which the time to serve is judged: of several, the least time among those that are not
// silent, since that is where a request goes next.
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
			parts = append(parts, NodeShare{m.Name, id, cmp.Or(m.Weight, 1), m.Factor(), m.Share(), m.Reason()})
		}
	}
	return parts
}
