package scheduler

import (
	"cmp"
	"container/heap"
)

// shed guards against overload of one node, from a surge, slowness or lost room: where earliest due
// first would make many requests late, the least worthy yield to those that can be in time and leave
// only on spare room. It hurts where the time to serve is judged too long.
func (g *Scheduler) shed(s *shard) {
	n := s.quickest()
	if n == nil || len(s.held) < 2 {
		return
	}
	unit := n.took / max(1, g.set.MeanUnits) / n.bound / s.width()
	wait, kept := n.took, worths{list: g.worths[:0]}
	for _, r := range s.held {
		late := wait+r.Units*unit > (r.due - g.now).Seconds()
		if r.shed = late && kept.leaves(r); r.shed {
			continue
		}
		kept.add(r)
		for wait += r.Units * unit; len(kept.list) > 0 && wait > (r.due-g.now).Seconds(); {
			least := kept.pop()
			least.shed = true
			wait -= least.Units * unit
		}
	}
	g.worths = kept.list
}

func leastWorthy(a, b *request) int { return cmp.Or(cmp.Compare(a.value, b.value), earlier(b, a)) }

// worths is those that can be in time, the least worthy first out. It is a heap from when one must leave: in
// a queue of thousands an ordered slice made a tick take seconds, and mostly none must.
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

func (h byWorth) Len() int { return len(h) }

func (h byWorth) Less(i, j int) bool { return leastWorthy(h[i], h[j]) < 0 }

func (h byWorth) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *byWorth) Push(x any) { *h = append(*h, x.(*request)) }

func (h *byWorth) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
