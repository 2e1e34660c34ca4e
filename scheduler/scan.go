package scheduler

import (
	"cmp"
	"container/heap"
	"slices"
)

// The passes of a scan.
const (
	paidPass      = iota // requests whose volume has enough tokens ("can pay")
	overdraftPass        // requests whose volume overdraws its tokens
	lastPass             // deprioritized requests, also with overdraft
	passes
)

// scanSchedule selects the shards to scan. It skips shards in which no request can have become forwardable,
// so that the cost of a call of Reduce does not grow with the number of shards.
type scanSchedule struct {
	generation uint64     // counts events that may make requests of any shard forwardable; 1 or more
	woken      uint64     // generation when all shards were last woken, 0 for never
	pending    []*shard   // shards to scan in this call, sorted by id
	queued     []*shard   // all shards with a queue, sorted by id; some queues may be empty by now
	wakeups    wakeupHeap // shards that need a scan at a later time
	exhaustive bool       // each scan checks all queued requests, as a reference for tests
}

// wakeup schedules a scan of a shard. A wake-up may be too early; the shard then sleeps again. A shard may
// have several wake-ups, of which the later ones may have no effect.
type wakeup struct {
	at    Time
	shard *shard
}

// wakeupHeap is a min-heap of wake-ups by time.
type wakeupHeap []wakeup

func (h wakeupHeap) Len() int           { return len(h) }
func (h wakeupHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h wakeupHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds a wake-up, for container/heap.
func (h *wakeupHeap) Push(x any) { *h = append(*h, x.(wakeup)) }

// Pop removes the last element, for container/heap.
func (h *wakeupHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// wake adds a shard to the shards that are scanned in this call.
func (c *scanSchedule) wake(sh *shard) {
	if sh.pending {
		return
	}
	sh.pending = true
	at, _ := slices.BinarySearchFunc(c.pending, sh.id, compareShardID)
	c.pending = slices.Insert(c.pending, at, sh)
}

// wakeDue wakes the shards in which requests may have become forwardable since the last call: in a new
// generation all shards with a queue, otherwise the shards with an expired wake-up.
func (c *scanSchedule) wakeDue(now Time) {
	if c.woken != c.generation {
		c.woken = c.generation
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

// sleep excludes a settled shard from scans until its wake-up or an event. It reports whether the shard was
// settled.
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

// dispatchPending forwards requests of the pending shards, and gives up those that can no longer be in time.
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

// dispatch forwards the requests of a shard that may be forwarded, in each pass by earliest soft deadline.
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
				return // no node would accept another request
			} else {
				scan.skipUnplaced()
			}
		}
	}
}

// scan is one scan of a shard's queue. Within a generation the tokens of volumes fall, apart from refunds, so
// that a request that could not pay still cannot. Each pass therefore starts at its mark, after the requests
// that could not pay. Before that, the pass checks the requests before the mark that arrived after the marks
// were reset. A refund thus takes effect for the other requests before the mark in the next generation.
type scan struct {
	shard          *shard
	unscannedOnly  bool // only requests that arrived since the last scan
	pass           int
	lateArrivals   bool // the position is in shard.lateArrivals, before the mark
	index          int
	skippedPayable bool // a request that can pay was skipped because it found no node
}

// scanMark is a position in the queue. No request before it could pay, except those in shard.lateArrivals.
type scanMark struct {
	softDeadline Time
	id           uint64
}

func compareMark(r *request, mark scanMark) int {
	return cmp.Or(cmp.Compare(r.softDeadline, mark.softDeadline), cmp.Compare(r.ID, mark.id))
}

// beginScan starts a scan. The scan covers only the requests that arrived since the last scan, if that scan
// moved no request and nothing that happened since could change its result. Otherwise it covers the whole
// queue.
func (s *Scheduler) beginScan(sh *shard) *scan {
	nothingChanged := !s.scans.exhaustive && !sh.changed &&
		s.nothingExpires(sh, sh.serviceTime()) && s.isUniform(sh)
	sh.scan = scan{shard: sh, unscannedOnly: nothingChanged}
	if nothingChanged {
		return &sh.scan
	}
	if sh.marksSet != s.scans.generation || sh.summary.timeDependent > 0 || s.scans.exhaustive {
		sh.marksSet = s.scans.generation
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

// current returns the request at the position of the scan, nil after the last request. skipUnpaid and
// skipUnplaced advance the position. If the request is dequeued, the position refers to the next request.
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

// skipUnpaid skips a request that cannot be forwarded in this pass, because it cannot pay or for another
// reason that does not depend on nodes.
func (l *scan) skipUnpaid(r *request) {
	l.index++
	if !l.unscannedOnly && !l.lateArrivals && !l.skippedPayable {
		l.shard.marks[l.pass] = scanMark{r.softDeadline, r.ID + 1}
	}
}

// skipUnplaced skips a request that can pay but finds no node.
func (l *scan) skipUnplaced() {
	l.index++
	l.skippedPayable = l.skippedPayable || !l.lateArrivals
}

// finishScan ends a scan of a shard whose queue had the given length before. If this scan moved a request, or
// if one of the shard's nodes backs off, the next call of Reduce scans the whole queue again.
func (s *Scheduler) finishScan(sh *shard, before int) {
	clear(sh.unscanned)
	sh.unscanned = sh.unscanned[:0]
	backingOff := func(n *node) bool { return s.now < n.health.backoffUntil }
	sh.changed = len(sh.queue) != before || slices.ContainsFunc(sh.nodes, backingOff)
	s.summarize(sh)
}
