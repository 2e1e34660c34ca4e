package scheduler

import (
	"cmp"
	"slices"
)

// recountTicks is how many ticks the sum of idle nodes' limits is carried on before it is made anew. With
// more, rounding errors pile up in the capacity that tokens are granted from; with fewer, a broker of a large
// fleet spends its ticks on idle nodes.
const recountTicks = 1024

// nodeTable holds the nodes of the endpoint list. A tick works on the active nodes, those with attempts in
// flight or answers since the last one; the idle ones only count with their limits, which are kept as a sum.
// So what a tick costs follows this broker's requests and not the fleet: with 1,600 nodes, a tick over all
// took over a hundredth of a core.
type nodeTable struct {
	byName       map[string]*node
	list         []*node // in the order in which they were first seen
	active       []*node // in that order, once sorted
	unsorted     bool    // some came to active since it was sorted
	idleLimitSum float64 // limits of the other ready nodes
	recount      bool    // list, settings or shards changed: active and the sum are made anew
	recountTick  int     // in which that is done anyway
	seen         int
}

// availableCapacity is W(t) of equation 11 in units: what ready nodes finished for this broker in this tick
// plus what they may still take.
func (s *Scheduler) availableCapacity() float64 {
	capacity := s.nodes.idleLimitSum * s.settings.MeanUnits
	for _, n := range s.nodes.active {
		if n.state == Ready && !n.unresponsive(s.now, s.minObjective) {
			capacity += n.finishedUnits + max(0, n.limit.value-float64(n.inFlight))*s.settings.MeanUnits
		}
		n.finishedUnits = 0
	}
	return capacity
}

// activate has ticks work on a node from now on.
func (t *nodeTable) activate(n *node) {
	if n.active {
		return
	}
	n.active = true
	t.unsorted = true
	t.active = append(t.active, n)
	if n.state == Ready {
		t.idleLimitSum -= n.limit.value
	}
}

// isIdle tells whether a tick would do nothing to a node: no attempt is in flight, no answer came, and its
// latency is no longer that of a congestion.
func (n *node) isIdle(targetLatency float64) bool {
	quiet := len(n.attempts) == 0 && n.inFlight == 0 && n.latency.answers == 0 && n.finishedUnits == 0
	return quiet && n.latency.smoothed <= targetLatency
}

// sortActiveNodes puts the active nodes in the order in which they were first seen, since sums over them are
// rounded. After a change of the list it finds anew which are active.
func (s *Scheduler) sortActiveNodes() {
	t := &s.nodes
	switch {
	case t.recount || s.scans.exhaustive || s.ticks >= t.recountTick:
		s.recountNodes()
	case t.unsorted:
		slices.SortFunc(t.active, func(a, b *node) int { return cmp.Compare(a.sequence, b.sequence) })
	}
	t.unsorted = false
}

func (s *Scheduler) recountNodes() {
	t := &s.nodes
	t.active = t.active[:0]
	t.idleLimitSum = 0
	t.recountTick = s.ticks + recountTicks
	target := targetLatency(s.minObjective)
	for _, n := range t.list {
		n.active = s.scans.exhaustive || !n.isIdle(target)
		switch {
		case n.active:
			t.active = append(t.active, n)
		case n.state == Ready:
			t.idleLimitSum += n.limit.value
		}
	}
}

// retireNodes takes the nodes out of the active ones that a tick would do nothing to.
func (s *Scheduler) retireNodes() {
	t := &s.nodes
	target := targetLatency(s.minObjective)
	t.active = slices.DeleteFunc(t.active, func(n *node) bool {
		n.active = s.scans.exhaustive || !n.isIdle(target)
		if !n.active && n.state == Ready {
			t.idleLimitSum += n.limit.value
		}
		return !n.active
	})
}
