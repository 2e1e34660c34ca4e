package scheduler

import (
	"cmp"
	"container/heap"
)

// deprioritizeLate marks the requests of a shard that must be forwarded last, because not all queued requests
// can be in time. It does not reject requests. When a node is slow or a surge overloads it, serving strictly
// by earliest soft deadline would make many requests late. Instead, the requests of the lowest value yield to
// those that can still be in time, and are forwarded only if a node has a free slot left. As a trade-off,
// requests yield without need if the service time is overestimated.
func (s *Scheduler) deprioritizeLate(sh *shard) {
	n := sh.fastest()
	if n == nil || len(sh.queue) < 2 {
		return
	}
	// seconds that the shard's nodes take for one unit
	perUnit := n.latency.smoothed / max(1, s.settings.MeanUnits) / n.limit.value / sh.workingNodes()
	wait := n.latency.smoothed
	kept := keptSet{requests: s.kept[:0]}
	for _, r := range sh.queue {
		remaining := (r.softDeadline - s.now).Seconds()
		late := wait+r.Units*perUnit > remaining
		r.deprioritized = late && kept.wouldYieldFirst(r)
		if r.deprioritized {
			continue
		}
		kept.add(r)
		wait += r.Units * perUnit
		for len(kept.requests) > 0 && wait > remaining {
			least := kept.pop()
			least.deprioritized = true
			wait -= least.Units * perUnit
		}
	}
	s.kept = kept.requests
}

// compareValue orders requests by value, and requests of equal value by latest soft deadline first.
func compareValue(a, b *request) int {
	return cmp.Or(cmp.Compare(a.value, b.value), compareSoftDeadline(b, a))
}

// keptSet holds the requests that can be in time. It becomes a heap by lowest value as soon as a request must
// yield, which is rare. With an ordered slice instead, a tick took seconds for a queue of thousands.
type keptSet struct {
	requests lowestValueFirst
	isHeap   bool
}

// wouldYieldFirst reports whether a request would have the lowest value in the set.
func (set *keptSet) wouldYieldFirst(r *request) bool {
	set.build()
	return len(set.requests) == 0 || compareValue(r, set.requests[0]) < 0
}

func (set *keptSet) add(r *request) {
	set.requests = append(set.requests, r)
	if set.isHeap {
		heap.Fix(&set.requests, len(set.requests)-1)
	}
}

func (set *keptSet) pop() *request {
	set.build()
	return heap.Pop(&set.requests).(*request)
}

func (set *keptSet) build() {
	if !set.isHeap {
		set.isHeap = true
		heap.Init(&set.requests)
	}
}

// lowestValueFirst is a min-heap of requests by value.
type lowestValueFirst []*request

func (h lowestValueFirst) Len() int           { return len(h) }
func (h lowestValueFirst) Less(i, j int) bool { return compareValue(h[i], h[j]) < 0 }
func (h lowestValueFirst) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds a request, for container/heap.
func (h *lowestValueFirst) Push(x any) { *h = append(*h, x.(*request)) }

// Pop removes the last element, for container/heap.
func (h *lowestValueFirst) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
