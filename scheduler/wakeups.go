package scheduler

import (
	"container/heap"
	"slices"
)

// sleepers is a heap of shards that only time can move, the first to wake in front. A shard may stand there
// early, and is then put off; or twice, and is then found awake.
type sleepers []sleeper

type sleeper struct {
	at Time
	s  *shard
}

func (h sleepers) Len() int { return len(h) }

func (h sleepers) Less(i, j int) bool { return h[i].at < h[j].at }

func (h sleepers) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *sleepers) Push(x any) { *h = append(*h, x.(sleeper)) }

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
