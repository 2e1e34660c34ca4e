package scheduler

import (
	"cmp"
	"container/heap"
)

// deprioritizeLate marks the requests of a shard that are to be forwarded last, since not all can be in
// time. It rejects none. Under overload of a node, by a surge or by slowness, earliest soft deadline first
// would make many requests late: those of the least value yield to those that can still be in time, and
// leave only where a node has a free slot for them. It costs requests where the service time is estimated
// too long.
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

// compareValue orders requests by their value, and of equals the later due first.
func compareValue(a, b *request) int {
	return cmp.Or(cmp.Compare(a.value, b.value), compareSoftDeadline(b, a))
}

// keptSet is the requests that can be in time, the one of the least value first out. It becomes a heap
// when one must yield: in a queue of thousands an ordered slice made a tick take seconds, and mostly none
// must.
type keptSet struct {
	requests lowestValueFirst
	isHeap   bool
}

// wouldYieldFirst tells whether a request, once added, would be the first to yield.
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

// lowestValueFirst is a heap of requests.
type lowestValueFirst []*request

func (h lowestValueFirst) Len() int           { return len(h) }
func (h lowestValueFirst) Less(i, j int) bool { return compareValue(h[i], h[j]) < 0 }
func (h lowestValueFirst) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds a request, for container/heap.
func (h *lowestValueFirst) Push(x any) { *h = append(*h, x.(*request)) }

// Pop takes the last element, for container/heap.
func (h *lowestValueFirst) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
