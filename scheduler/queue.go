package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"junctionwharf/balancer"
)

// endOfTime is later than any deadline.
const endOfTime = Time(math.MaxInt64)

// shard is one shard: its nodes and its queue of requests, earliest soft deadline first.
type shard struct {
	id             int
	nodes          []*node
	balancer       *balancer.Balancer // of the nodes, nil until there are several
	balancerUpdate uint64             // endpointWatch.updates when the balancer last received the nodes
	servedRate     float64            // units a second that warm nodes served this broker, see recordServed
	servedAt       Time               // when a warm node last served a request

	queue        []*request
	unscanned    []*request // queued requests that arrived since the last scan
	lateArrivals []*request // queued requests that arrived since the marks were reset
	marks        [passes]scanMark
	marksSet     uint64 // scanSchedule.generation when the marks were reset, 0 for never
	scan         scan   // the current scan; a field to avoid an allocation
	summary      queueSummary
	changed      bool // a request may have become forwardable since the last scan or during it
	pending      bool // the shard is in scanSchedule.pending
	queued       bool // the shard is in scanSchedule.queued
	wakeupAt     Time // time of the shard's earliest wake-up, 0 for none
}

// queueSummary summarizes the queued requests of a shard. It is valid for one generation and one service
// time.
type queueSummary struct {
	generation    uint64  // scanSchedule.generation, 0 if invalid
	serviceTime   float64 // seconds
	timeDependent int     // number of requests that may become forwardable by the passing of time alone
	giveUpAt      Time    // when the first request may have to be given up, slightly early
}

// enqueueAt queues a request at a shard until it is forwarded or given up.
func (s *Scheduler) enqueueAt(sh *shard, r *request) {
	if !sh.queued {
		sh.queued = true
		at, _ := slices.BinarySearchFunc(s.scans.queued, sh.id, compareShardID)
		s.scans.queued = slices.Insert(s.scans.queued, at, sh)
	}
	sh.queue = insertByDeadline(sh.queue, r)
	sh.unscanned = insertByDeadline(sh.unscanned, r)
	sh.lateArrivals = insertByDeadline(sh.lateArrivals, r)
	r.queuedAt = sh
	sh.summary.add(r, s.tickPeriod)
	s.scans.wake(sh)
}

// dequeue removes a request from its shard's queue.
func (sh *shard) dequeue(r *request) {
	sh.queue = removeByDeadline(sh.queue, r)
	sh.unscanned = removeByDeadline(sh.unscanned, r)
	sh.lateArrivals = removeByDeadline(sh.lateArrivals, r)
	if r.timeDependent {
		sh.summary.timeDependent--
	}
	r.queuedAt = nil
}

// compareSoftDeadline orders requests by soft deadline, then by id.
func compareSoftDeadline(a, b *request) int {
	return cmp.Or(cmp.Compare(a.softDeadline, b.softDeadline), cmp.Compare(a.ID, b.ID))
}

func insertByDeadline(list []*request, r *request) []*request {
	at, _ := slices.BinarySearchFunc(list, r, compareSoftDeadline)
	return slices.Insert(list, at, r)
}

// removeByDeadline removes a request from a list if the list contains it. Most removed requests are the first
// of the list, and are cut off by reslicing: shifting the others took seconds when all requests of a queue of
// 100,000 left at once. TestAllDueAtOnce guards against that.
func removeByDeadline(list []*request, r *request) []*request {
	at, found := slices.BinarySearchFunc(list, r, compareSoftDeadline)
	switch {
	case !found:
		return list
	case len(list) == 1:
		list[0] = nil
		return list[:0] // keeps the memory for the next request
	case at == 0:
		list[0] = nil
		return list[1:]
	}
	return slices.Delete(list, at, at+1)
}

// add adds a queued request to the summary. A request is time-dependent if it may have to wait for its key,
// the retry budget or its quota. giveUpAt is a microsecond early, because the service time is rounded.
func (q *queueSummary) add(r *request, tickPeriod time.Duration) {
	r.timeDependent = r.keyQueue != nil || r.attempts > 0 || r.isLimited()
	if r.timeDependent {
		q.timeDependent++
	}
	serviceTime := time.Duration(q.serviceTime * float64(time.Second))
	lastStart := r.softDeadline - serviceTime - time.Microsecond
	q.giveUpAt = min(q.giveUpAt, lastStart, r.deadline-answerTicks*tickPeriod)
}

// summarize recomputes a shard's summary if it is no longer valid.
func (s *Scheduler) summarize(sh *shard) {
	serviceTime := sh.serviceTime()
	if sh.summary.generation == s.scans.generation && sh.summary.serviceTime == serviceTime {
		return
	}
	sh.summary = queueSummary{
		generation:  s.scans.generation,
		serviceTime: serviceTime,
		giveUpAt:    endOfTime,
	}
	for _, r := range sh.queue {
		sh.summary.add(r, s.tickPeriod)
	}
}

// nothingExpires reports whether a valid summary shows that no queued request must be given up now.
func (s *Scheduler) nothingExpires(sh *shard, serviceTime float64) bool {
	current := sh.summary.generation == s.scans.generation && sh.summary.serviceTime == serviceTime
	return current && s.now < sh.summary.giveUpAt
}

// isUniform reports whether the shard's nodes can currently accept either every queued request or none. It
// requires that no request is time-dependent or restricted to some of the nodes, and that no node paces
// forwards or is warming up.
func (s *Scheduler) isUniform(sh *shard) bool {
	s.summarize(sh)
	if sh.summary.timeDependent != 0 {
		return false
	}
	return !slices.ContainsFunc(sh.nodes, func(n *node) bool {
		return n.slowStart.warmingUp || n.limit.value < 1 || n.congested(s.minObjective)
	})
}

// isSaturated reports whether none of the shard's nodes can accept a request now. Each ready node backs off,
// has no free slot, or is paced even for a request with the largest value share.
func (s *Scheduler) isSaturated(sh *shard) bool {
	return !slices.ContainsFunc(sh.nodes, func(n *node) bool {
		if n.state != Ready || s.now < n.health.backoffUntil || !n.hasFreeSlot() {
			return false
		}
		return n.limit.value >= 1 || !n.isPaced(s.now, s.settings.maxValueShare())
	})
}

// maxValueShare returns the largest fraction of its value that a request can earn.
func (set *Settings) maxValueShare() float64 { return max(1, set.SpareWeight, set.ShareWeight) }

// markChanged records that an event at the shard may have made requests forwardable.
func (s *Scheduler) markChanged(sh *shard) {
	sh.changed = true
	if len(sh.queue) > 0 {
		s.scans.wake(sh)
	}
}

// isSettled reports whether another scan of the queue would not move any request: since the last scan, no
// event changed the shard, no request arrived, no new generation began and no request became due to be given
// up, and the shard is uniform.
func (s *Scheduler) isSettled(sh *shard) bool {
	if s.scans.exhaustive || sh.changed || len(sh.unscanned) > 0 {
		return false
	}
	return s.nothingExpires(sh, sh.serviceTime()) && s.isUniform(sh)
}
