package scheduler

import (
	"cmp"
	"container/heap"
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

	// Where the last look moved nothing, another is spared until something happened that could: at the shard itself
	// (touch), to all shards (Scheduler.stirred), or by the passing of time.
	moved  bool
	seen   uint64  // Scheduler.stirred at the last look, plus 1; 0 before there was one
	fickle int     // requests held that time alone may let go, as at the last look and with those that came since
	wakeAt Time    // when the first of those held then and since is given up
	took   float64 // the time to serve that wakeAt counts with
	sleeps Time    // the earliest time at which it stands among the sleepers, 0 for none
}

// sleepers is a heap of shards that only time can move, the first to wake in front. A shard may stand there early, and is
// then put off; or twice, and is then found awake.
type sleepers []sleeper

type sleeper struct {
	at Time
	s  *shard
}

func (h sleepers) Len() int           { return len(h) }
func (h sleepers) Less(i, j int) bool { return h[i].at < h[j].at }
func (h sleepers) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *sleepers) Push(x any)        { *h = append(*h, x.(sleeper)) }
func (h *sleepers) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// awaken has all shards looked at that something could have moved since the last time.
func (g *Scheduler) awaken() {
	if g.woke != g.stirred+1 {
		g.woke = g.stirred + 1
		g.waiting = g.waiting[:0]
		g.holding = slices.DeleteFunc(g.holding, func(s *shard) bool {
			s.holds = len(s.held) > 0
			if s.waits = s.holds; s.waits {
				g.waiting = append(g.waiting, s)
			}
			return !s.holds
		})
	}
	for len(g.asleep) > 0 && g.asleep[0].at <= g.now {
		e := heap.Pop(&g.asleep).(sleeper)
		if e.at == e.s.sleeps {
			e.s.sleeps = 0
		}
		if len(e.s.held) > 0 {
			e.s.wake(g)
		}
	}
}

// wake has a shard looked at in this step.
func (s *shard) wake(g *Scheduler) {
	if !s.waits {
		s.waits = true
		at, _ := slices.BinarySearchFunc(g.waiting, s.id, byShard)
		g.waiting = slices.Insert(g.waiting, at, s)
	}
}

// sleep spares a shard further looks until something can move what it holds, and tells whether it could.
func (s *shard) sleep(g *Scheduler) bool {
	if !s.still(g) {
		return false
	}
	if s.sleeps == 0 || s.wakeAt < s.sleeps {
		s.sleeps = s.wakeAt
		heap.Push(&g.asleep, sleeper{s.wakeAt, s})
	}
	return true
}

func (g *Scheduler) shardOf(id int) *shard {
	s := g.shards[id]
	if s == nil {
		s = &shard{id: id}
		g.shards[id], g.resum = s, true
		at, _ := slices.BinarySearch(g.shardIDs, id)
		g.shardIDs = slices.Insert(g.shardIDs, at, id)
	}
	return s
}

func (s *shard) add(n *node) {
	s.nodes = append(s.nodes, n)
	n.home = s
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

// look is one way through what a shard holds, earliest due first, in up to three passes with rules of their own. Between two
// points at which all shards are stirred the levels of volumes only fall: who could not pay, still can't. So each pass
// begins behind those that it passed by before, and with those that came there since.
type look struct {
	s      *shard
	only   bool // those that came since the last look
	pass   int
	late   bool // among those that came before the mark
	i      int
	stayed bool // one that could pay was passed by
}

// mark is a place in the order of what is held: all before it could not pay, but for those that came since.
type mark struct {
	due Time
	id  uint64
}

func atMark(r *request, m mark) int {
	return cmp.Or(cmp.Compare(r.due, m.due), cmp.Compare(r.ID, m.id))
}

// look begins a look, at all that is held or, if the last one moved nothing and nothing happened since that could move what
// it saw, at what came since.
func (s *shard) look(g *Scheduler) *look {
	s.way = look{s: s, only: !g.plain && !s.moved && s.inTime(g, s.service()) && s.alike(g)}
	if !s.way.only && (s.marked != g.stirred+1 || s.fickle > 0 || g.plain) {
		s.marked, s.marks = g.stirred+1, [3]mark{}
		clear(s.late)
		s.late = s.late[:0]
	}
	return &s.way
}

func (l *look) begin() { l.late, l.i, l.stayed = !l.only, 0, false }

// now is the request that is looked at, nil behind the last. It is gone through skip, stay, or by being dropped.
func (l *look) now() *request {
	s := l.s
	list := s.held
	switch {
	case l.only:
		list = s.fresh
	case l.late:
		if l.i < len(s.late) && atMark(s.late[l.i], s.marks[l.pass]) < 0 {
			return s.late[l.i]
		}
		l.late = false
		l.i, _ = slices.BinarySearchFunc(s.held, s.marks[l.pass], atMark)
	}
	if l.i < len(list) {
		return list[l.i]
	}
	return nil
}

// skip passes by one that can't pay in this pass.
func (l *look) skip(r *request) {
	l.i++
	if !l.only && !l.late && !l.stayed {
		l.s.marks[l.pass] = mark{r.due, r.ID + 1}
	}
}

// stay passes by one that can pay, and found no node.
func (l *look) stay() {
	l.i++
	l.stayed = l.stayed || !l.late
}

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

func (s *shard) drop(r *request) {
	s.held, s.fresh, s.late = remove(s.held, r), remove(s.fresh, r), remove(s.late, r)
	if r.fickle {
		s.fickle--
	}
	r.lane = nil
}

// count takes a request into what is known of all that are held.
func (s *shard) count(g *Scheduler, r *request) {
	r.fickle = r.turn != nil || r.attempts > 0 || r.volume.plan.Limit > 0
	if r.fickle {
		s.fickle++
	}
	// What giveUpLate waits for, a little early.
	s.wakeAt = min(s.wakeAt, r.due-time.Duration(s.took*float64(time.Second))-time.Microsecond, r.deadline-2*g.tick)
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

// service is how many seconds an attempt takes.
func (s *shard) service() float64 {
	if n := s.quickest(); n != nil {
		return n.took
	}
	return 0
}

// inTime tells whether nothing that is held is to be given up yet.
func (s *shard) inTime(g *Scheduler, service float64) bool {
	return s.seen == g.stirred+1 && s.took == service && g.now < s.wakeAt
}

// alike tells whether the shard's nodes have room for all that is held or for none of it: no request is bound to some of
// them, none of them is paced or cold.
func (s *shard) alike(g *Scheduler) bool {
	s.recount(g)
	return s.fickle == 0 && !slices.ContainsFunc(s.nodes, func(n *node) bool { return n.cold || n.bound < 1 || n.jammed(g) })
}

// packed tells whether none of the shard's nodes has room, whatever is to be sent: each has out what its bound allows, rests, or
// is paced and was sent to too lately even for what counts most.
func (s *shard) packed(g *Scheduler) bool {
	return !slices.ContainsFunc(s.nodes, func(n *node) bool {
		return n.state == Ready && g.now >= n.restTill && float64(n.out) < max(1, math.Floor(n.bound)) && len(n.flight) < 2*boundMost &&
			(n.bound >= 1 || (g.now-n.pacedAt).Seconds()*g.mostPart() >= n.took/n.bound)
	})
}

// mostPart is the largest part of its worth that a request may be due.
func (g *Scheduler) mostPart() float64 { return max(1, g.set.SpareWeight, g.set.ShareWeight) }

// worths is those that can be in time, the least worthy first out. It is a heap from when one must leave: in a queue of
// thousands an ordered slice made a tick take seconds, and mostly none must.
type worths struct {
	list  byWorth
	built bool
}

// leaves tells whether one that came would be the first to leave.
func (w *worths) leaves(r *request) bool {
	w.build()
	return len(w.list) == 0 || leastWorthy(r, w.list[0]) < 0
}

func (w *worths) add(r *request) {
	w.list = append(w.list, r)
	if w.built {
		heap.Fix(&w.list, len(w.list)-1)
	}
}

func (w *worths) pop() *request {
	w.build()
	return heap.Pop(&w.list).(*request)
}

func (w *worths) build() {
	if !w.built {
		w.built = true
		heap.Init(&w.list)
	}
}

type byWorth []*request

func (h byWorth) Len() int           { return len(h) }
func (h byWorth) Less(i, j int) bool { return leastWorthy(h[i], h[j]) < 0 }
func (h byWorth) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *byWorth) Push(x any)        { *h = append(*h, x.(*request)) }
func (h *byWorth) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
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

// settle notes a look at a shard that held so many requests before: one that moved something is followed by another.
func (s *shard) settle(g *Scheduler, before int) {
	clear(s.fresh)
	s.fresh = s.fresh[:0]
	s.moved = len(s.held) != before || slices.ContainsFunc(s.nodes, func(n *node) bool { return g.now < n.restTill })
	s.recount(g)
}
