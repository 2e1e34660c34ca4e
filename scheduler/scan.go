package scheduler

import (
	"cmp"
	"container/heap"
	"slices"
)

// The passes of a scan.
const (
	paidPass      = iota // requests whose volume has the tokens
	overdraftPass        // and those whose volume goes into overdraft
	lastPass             // and those that were deprioritized
	passes
)

// scanSchedule says which shards are to be scanned. It spares those in which nothing can have changed: what a
// call of Reduce costs must not grow with the shards.
type scanSchedule struct {
	generation uint64     // counts what may make requests of any shard forwardable
	woken      uint64     // generation when all shards were last woken, plus 1
	pending    []*shard   // to be scanned in this call, by id
	queued     []*shard   // those with a queue, by id, and some that had one
	wakeups    wakeupHeap // those in which time alone changes something
	exhaustive bool       // each scan goes through all, as a reference for tests
}

// wakeup has a shard scanned at a time. A shard may have an early one, and is then put off, or two, of which
// the second finds it awake.
type wakeup struct {
	at    Time
	shard *shard
}

// wakeupHeap is a heap of wake-ups, the earliest first.
type wakeupHeap []wakeup

func (h wakeupHeap) Len() int           { return len(h) }
func (h wakeupHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h wakeupHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds a wakeup, for container/heap.
func (h *wakeupHeap) Push(x any) { *h = append(*h, x.(wakeup)) }

// Pop takes the last element, for container/heap.
func (h *wakeupHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// wake has a shard scanned in this call.
func (c *scanSchedule) wake(sh *shard) {
	if sh.pending {
		return
	}
	sh.pending = true
	at, _ := slices.BinarySearchFunc(c.pending, sh.id, compareShardID)
	c.pending = slices.Insert(c.pending, at, sh)
}

// wakeDue wakes the shards in which something may have changed since the last call: all with a queue in a new
// generation, else those whose time has come.
func (c *scanSchedule) wakeDue(now Time) {
	if c.woken != c.generation+1 {
		c.woken = c.generation + 1
		c.wakeAll()
	}
	for len(c.wakeups) > 0 && c.wakeups[0].at <= now {
		due := heap.Pop(&c.wakeups).(wakeup)
		if due.at == due.shard.wakeupAt {
			due.shard.wakeupAt = 0
		}
		if len(due.shard.queue) > 0 {
			c.wake(due.shard)
		}
	}
}

func (c *scanSchedule) wakeAll() {
	c.pending = c.pending[:0]
	c.queued = slices.DeleteFunc(c.queued, func(sh *shard) bool {
		sh.queued = len(sh.queue) > 0
		sh.pending = sh.queued
		if sh.pending {
			c.pending = append(c.pending, sh)
		}
		return !sh.queued
	})
}

// sleep spares a shard further scans until something can have changed in it, and tells whether that may be.
func (s *Scheduler) sleep(sh *shard) bool {
	if !s.isSettled(sh) {
		return false
	}
	giveUpAt := sh.summary.giveUpAt
	if sh.wakeupAt == 0 || giveUpAt < sh.wakeupAt {
		sh.wakeupAt = giveUpAt
		heap.Push(&s.scans.wakeups, wakeup{giveUpAt, sh})
	}
	return true
}

// dispatchPending scans the pending shards and gives up what can no longer be in time.
func (s *Scheduler) dispatchPending() {
	s.scans.wakeDue(s.now)
	s.scans.pending = slices.DeleteFunc(s.scans.pending, func(sh *shard) bool {
		if len(sh.queue) > 0 && !s.isSettled(sh) {
			before := len(sh.queue)
			s.dispatch(sh, s.beginScan(sh))
			s.giveUpExpired(sh)
			s.finishScan(sh, before)
		}
		sh.pending = len(sh.queue) > 0 && !s.sleep(sh)
		return !sh.pending
	})
}

// dispatch forwards what may leave a shard's queue, each pass by earliest soft deadline.
func (s *Scheduler) dispatch(sh *shard, scan *scan) {
	for scan.pass = range passes {
		scan.beginPass()
		for r := scan.current(); r != nil; r = scan.current() {
			if r.deprioritized != (scan.pass == lastPass) || !s.mayForward(r, scan.pass > paidPass) {
				scan.skipUnpaid(r)
			} else if n := s.selectNode(sh, r); n != nil {
				sh.dequeue(r)
				s.forward(r, n)
			} else if s.isUniform(sh) || s.isSaturated(sh) {
				return // no other request would find a node
			} else {
				scan.skipUnplaced()
			}
		}
	}
}

// scan is one way through a shard's queue. Within a generation the tokens of volumes only fall: who could not
// pay still can't. So each pass begins at its mark, behind those that it found unable to pay, and with those
// that came before the mark since.
type scan struct {
	shard          *shard
	unscannedOnly  bool // only those that came since the last scan
	pass           int
	lateArrivals   bool // among those that came before the mark
	index          int
	skippedPayable bool // one that could pay found no node
}

// scanMark is a place in the order of the queue: all before it could not pay, but for those that came since.
type scanMark struct {
	softDeadline Time
	id           uint64
}

func compareMark(r *request, mark scanMark) int {
	return cmp.Or(cmp.Compare(r.softDeadline, mark.softDeadline), cmp.Compare(r.ID, mark.id))
}

// beginScan begins a scan of all that is queued, or of what came since the last scan if that moved nothing
// and nothing happened since that could change what it saw.
func (s *Scheduler) beginScan(sh *shard) *scan {
	nothingChanged := !s.scans.exhaustive && !sh.changed &&
		s.nothingExpires(sh, sh.serviceTime()) && s.isUniform(sh)
	sh.scan = scan{shard: sh, unscannedOnly: nothingChanged}
	if nothingChanged {
		return &sh.scan
	}
	if sh.marksSet != s.scans.generation+1 || sh.summary.timeDependent > 0 || s.scans.exhaustive {
		sh.marksSet = s.scans.generation + 1
		sh.marks = [passes]scanMark{}
		clear(sh.lateArrivals)
		sh.lateArrivals = sh.lateArrivals[:0]
	}
	return &sh.scan
}

func (l *scan) beginPass() {
	l.lateArrivals = !l.unscannedOnly
	l.index = 0
	l.skippedPayable = false
}

// current is the request that the scan is at, nil behind the last. The scan leaves it by skipUnpaid, by
// skipUnplaced, or by its being dequeued.
func (l *scan) current() *request {
	sh := l.shard
	list := sh.queue
	switch {
	case l.unscannedOnly:
		list = sh.unscanned
	case l.lateArrivals:
		mark := sh.marks[l.pass]
		if l.index < len(sh.lateArrivals) && compareMark(sh.lateArrivals[l.index], mark) < 0 {
			return sh.lateArrivals[l.index]
		}
		l.lateArrivals = false
		l.index, _ = slices.BinarySearchFunc(sh.queue, mark, compareMark)
	}
	if l.index < len(list) {
		return list[l.index]
	}
	return nil
}

// skipUnpaid passes by a request that can't pay in this pass.
func (l *scan) skipUnpaid(r *request) {
	l.index++
	if !l.unscannedOnly && !l.lateArrivals && !l.skippedPayable {
		l.shard.marks[l.pass] = scanMark{r.softDeadline, r.ID + 1}
	}
}

// skipUnplaced passes by a request that can pay and found no node.
func (l *scan) skipUnplaced() {
	l.index++
	l.skippedPayable = l.skippedPayable || !l.lateArrivals
}

// finishScan notes a scan of a shard that had so many requests before: one that moved something is followed
// by another, as is one of a shard with a node that backs off.
func (s *Scheduler) finishScan(sh *shard, before int) {
	clear(sh.unscanned)
	sh.unscanned = sh.unscanned[:0]
	backingOff := func(n *node) bool { return s.now < n.health.backoffUntil }
	sh.changed = len(sh.queue) != before || slices.ContainsFunc(sh.nodes, backingOff)
	s.summarize(sh)
}
