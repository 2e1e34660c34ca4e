package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"junctionwharf/balancer"
)

// endOfTime is later than any request is given up.
const endOfTime = Time(math.MaxInt64)

// shard holds the nodes of one shard and its queue of requests, earliest soft deadline first.
type shard struct {
	id             int
	nodes          []*node
	balancer       *balancer.Balancer // of its nodes, nil until there are several
	balancerUpdate uint64             // endpointWatch.updates when the balancer last got the nodes
	servedRate     float64            // units a second that warm nodes served here, over WarmUpTime
	servedAt       Time               // of the last of them

	queue        []*request
	unscanned    []*request // of them those that came since the last scan
	lateArrivals []*request // and those that came since the marks were set
	marks        [passes]scanMark
	marksSet     uint64 // scanSchedule.generation when the marks were set, plus 1
	scan         scan   // memory for the scan under way
	summary      queueSummary
	changed      bool // the last scan moved a request, or something happened here since that could
	pending      bool // it is among scanSchedule.pending
	queued       bool // it is among scanSchedule.queued
	wakeupAt     Time // of its earliest wake-up, 0 for none
}

// queueSummary is what is known of all that is queued at a shard. It holds for one generation and one service
// time.
type queueSummary struct {
	generation    uint64  // scanSchedule.generation plus 1, 0 for none
	serviceTime   float64 // seconds
	timeDependent int     // requests that time alone may make forwardable
	giveUpAt      Time    // when the first is given up, a little early
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

// dequeue takes a request out of its shard's queue.
func (sh *shard) dequeue(r *request) {
	sh.queue = removeByDeadline(sh.queue, r)
	sh.unscanned = removeByDeadline(sh.unscanned, r)
	sh.lateArrivals = removeByDeadline(sh.lateArrivals, r)
	if r.timeDependent {
		sh.summary.timeDependent--
	}
	r.queuedAt = nil
}

// compareSoftDeadline orders requests by their soft deadlines, and equal ones by their ids.
func compareSoftDeadline(a, b *request) int {
	return cmp.Or(cmp.Compare(a.softDeadline, b.softDeadline), cmp.Compare(a.ID, b.ID))
}

func insertByDeadline(list []*request, r *request) []*request {
	at, _ := slices.BinarySearchFunc(list, r, compareSoftDeadline)
	return slices.Insert(list, at, r)
}

// removeByDeadline takes a request out of a list, if it is there. Most are first: those are cut off in front,
// since moving the others up took seconds where all of a queue of 100,000 left at once. The guard is
// TestAllDueAtOnce.
func removeByDeadline(list []*request, r *request) []*request {
	at, found := slices.BinarySearchFunc(list, r, compareSoftDeadline)
	switch {
	case !found:
		return list
	case len(list) == 1:
		list[0] = nil
		return list[:0] // keeps the memory for the next
	case at == 0:
		list[0] = nil
		return list[1:]
	}
	return slices.Delete(list, at, at+1)
}

// add takes one more queued request into the summary. A request depends on time alone if it waits for its
// key, its retry budget or its quota. giveUpAt is a microsecond early, since the service time is rounded.
func (q *queueSummary) add(r *request, tickPeriod time.Duration) {
	r.timeDependent = r.keyQueue != nil || r.attempts > 0 || r.volume.plan.Limit > 0
	if r.timeDependent {
		q.timeDependent++
	}
	serviceTime := time.Duration(q.serviceTime * float64(time.Second))
	lastStart := r.softDeadline - serviceTime - time.Microsecond
	q.giveUpAt = min(q.giveUpAt, lastStart, r.deadline-answerTicks*tickPeriod)
}

// summarize brings a shard's summary up to date.
func (s *Scheduler) summarize(sh *shard) {
	serviceTime := sh.serviceTime()
	if sh.summary.generation == s.scans.generation+1 && sh.summary.serviceTime == serviceTime {
		return
	}
	sh.summary = queueSummary{
		generation:  s.scans.generation + 1,
		serviceTime: serviceTime,
		giveUpAt:    endOfTime,
	}
	for _, r := range sh.queue {
		sh.summary.add(r, s.tickPeriod)
	}
}

// nothingExpires tells whether no queued request is to be given up now, by a summary that still holds.
func (s *Scheduler) nothingExpires(sh *shard, serviceTime float64) bool {
	current := sh.summary.generation == s.scans.generation+1 && sh.summary.serviceTime == serviceTime
	return current && s.now < sh.summary.giveUpAt
}

// isUniform tells whether the shard's nodes may take either all that is queued or none of it: no request is
// bound to some of them, and none of them is paced or warming up.
func (s *Scheduler) isUniform(sh *shard) bool {
	s.summarize(sh)
	if sh.summary.timeDependent != 0 {
		return false
	}
	return !slices.ContainsFunc(sh.nodes, func(n *node) bool {
		return n.slowStart.warmingUp || n.limit.value < 1 || n.congested(s.minObjective)
	})
}

// isSaturated tells whether none of the shard's nodes may take anything now: each has in flight what its
// limit allows, backs off, or is paced and got something too lately even for a request of the highest value.
func (s *Scheduler) isSaturated(sh *shard) bool {
	return !slices.ContainsFunc(sh.nodes, func(n *node) bool {
		if n.state != Ready || s.now < n.health.backoffUntil || !n.hasFreeSlot() {
			return false
		}
		return n.limit.value >= 1 || !n.isPaced(s.now, s.settings.maxValueShare())
	})
}

// maxValueShare is the largest part of its value that a request may earn.
func (set *Settings) maxValueShare() float64 { return max(1, set.SpareWeight, set.ShareWeight) }

// markChanged notes that something happened at the shard that may make its requests forwardable.
func (s *Scheduler) markChanged(sh *shard) {
	sh.changed = true
	if len(sh.queue) > 0 {
		s.scans.wake(sh)
	}
}

// isSettled tells whether another scan of the queue would move nothing: nothing happened since the last one
// that could, at this shard, to all shards or by the passing of time.
func (s *Scheduler) isSettled(sh *shard) bool {
	if s.scans.exhaustive || sh.changed || len(sh.unscanned) > 0 {
		return false
	}
	return s.nothingExpires(sh, sh.serviceTime()) && s.isUniform(sh)
}
