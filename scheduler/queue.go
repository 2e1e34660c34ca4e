package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"junctionwharf/balancer"
)

// shard holds the nodes of one shard and the requests held for it, earliest due first.
type shard struct {
	id       int
	nodes    []*node
	held     []*request
	fresh    []*request // those that came since the last look, in the same order
	late     []*request // and since marks were set
	marks    [3]mark    // of each pass
	marked   uint64     // Scheduler.stirred when they were set, plus 1
	way      look
	waits    bool    // it stands among the waiting
	holds    bool    // and among the holding
	served   float64 // units a second that warm nodes served this host, in the mean over WarmUpTime
	servedAt Time
	group    *balancer.Balancer // of its nodes, nil until there are several
	grouped  uint64             // Scheduler.lists when that was brought up to date

	// Where the last look moved nothing, another is spared until something happened that could: at the shard
	// itself (touch), to all shards (Scheduler.stirred), or by the passing of time.
	moved  bool
	seen   uint64  // Scheduler.stirred at the last look, plus 1; 0 before there was one
	fickle int     // requests held that time alone may let go, as at the last look and since
	wakeAt Time    // when the first of those held then and since is given up
	took   float64 // the time to serve that wakeAt counts with
	sleeps Time    // the earliest time at which it stands among the sleepers, 0 for none
}

func (g *Scheduler) dispatchAll() {
	g.awaken()
	g.waiting = slices.DeleteFunc(g.waiting, func(s *shard) bool {
		if len(s.held) > 0 && !s.still(g) {
			before := len(s.held)
			g.dispatch(s, s.look(g))
			g.giveUpLate(s)
			s.settle(g, before)
		}
		s.waits = len(s.held) > 0 && !s.sleep(g)
		return !s.waits
	})
}

// hold keeps a request until it is sent or given up.
func (s *shard) hold(g *Scheduler, r *request) {
	if !s.holds {
		s.holds = true
		at, _ := slices.BinarySearchFunc(g.holding, s.id, byShard)
		g.holding = slices.Insert(g.holding, at, s)
	}
	s.held, s.fresh, s.late = insert(s.held, r), insert(s.fresh, r), insert(s.late, r)
	r.lane = s
	s.count(g, r)
	s.wake(g)
}

func (s *shard) drop(r *request) {
	s.held, s.fresh, s.late = remove(s.held, r), remove(s.fresh, r), remove(s.late, r)
	if r.fickle {
		s.fickle--
	}
	r.lane = nil
}

func earlier(a, b *request) int { return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.ID, b.ID)) }

// insert and remove keep a list in the order of what is held.
func insert(list []*request, r *request) []*request {
	at, _ := slices.BinarySearchFunc(list, r, earlier)
	return slices.Insert(list, at, r)
}

func remove(list []*request, r *request) []*request {
	at, found := slices.BinarySearchFunc(list, r, earlier)
	switch {
	case !found:
		return list
	case len(list) == 1:
		list[0] = nil
		return list[:0] // its memory is for the next
	case at == 0: // most leave in front; all of a long queue may at once
		list[0] = nil
		return list[1:]
	}
	return slices.Delete(list, at, at+1)
}

// touch tells that something happened at the shard which may move what it holds.
func (s *shard) touch(g *Scheduler) {
	s.moved = true
	if len(s.held) > 0 {
		s.wake(g)
	}
}

// still tells whether another look at what is held would move nothing.
func (s *shard) still(g *Scheduler) bool {
	return !g.plain && !s.moved && len(s.fresh) == 0 && s.inTime(g, s.service()) && s.alike(g)
}

// settle notes a look at a shard that held so many requests before: one that moved something is followed by
// another.
func (s *shard) settle(g *Scheduler, before int) {
	clear(s.fresh)
	s.fresh = s.fresh[:0]
	s.moved = len(s.held) != before ||
		slices.ContainsFunc(s.nodes, func(n *node) bool { return g.now < n.restTill })
	s.recount(g)
}

// count takes a request into what is known of all that are held.
func (s *shard) count(g *Scheduler, r *request) {
	r.fickle = r.turn != nil || r.attempts > 0 || r.volume.plan.Limit > 0
	if r.fickle {
		s.fickle++
	}
	// What giveUpLate waits for, a little early.
	s.wakeAt = min(s.wakeAt,
		r.due-time.Duration(s.took*float64(time.Second))-time.Microsecond, r.deadline-2*g.tick)
}

// recount brings what is known of all that are held up to date.
func (s *shard) recount(g *Scheduler) {
	if took := s.service(); s.seen != g.stirred+1 || s.took != took {
		s.seen, s.took, s.wakeAt, s.fickle = g.stirred+1, took, 1<<63-1, 0
		for _, r := range s.held {
			s.count(g, r)
		}
	}
}

// inTime tells whether nothing that is held is to be given up yet.
func (s *shard) inTime(g *Scheduler, service float64) bool {
	return s.seen == g.stirred+1 && s.took == service && g.now < s.wakeAt
}

// alike tells whether the shard's nodes have room for all that is held or for none of it: no request is bound
// to some of them, none of them is paced or cold.
func (s *shard) alike(g *Scheduler) bool {
	s.recount(g)
	return s.fickle == 0 && !slices.ContainsFunc(s.nodes, func(n *node) bool {
		return n.cold || n.bound < 1 || n.jammed(g)
	})
}

// packed tells whether none of the shard's nodes has room, whatever is to be sent: each has out what its
// bound allows, rests, or is paced and was sent to too lately even for what counts most.
func (s *shard) packed(g *Scheduler) bool {
	return !slices.ContainsFunc(s.nodes, func(n *node) bool {
		return n.state == Ready && g.now >= n.restTill && float64(n.out) < max(1, math.Floor(n.bound)) &&
			len(n.flight) < 2*boundMost &&
			(n.bound >= 1 || (g.now-n.pacedAt).Seconds()*g.mostPart() >= n.took/n.bound)
	})
}

// mostPart is the largest part of its worth that a request may be due.
func (g *Scheduler) mostPart() float64 { return max(1, g.set.SpareWeight, g.set.ShareWeight) }
