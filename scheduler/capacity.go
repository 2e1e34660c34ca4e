package scheduler

import (
	"cmp"
	"slices"
)

// room is W of equation 11: what ready nodes finished for this host plus what they may still take.
func (g *Scheduler) room() float64 {
	room := g.idleBound * g.set.MeanUnits
	for _, n := range g.atWork {
		if n.state == Ready && !n.silent(g) {
			room += n.finished + max(0, n.bound-float64(n.out))*g.set.MeanUnits
		}
		n.finished = 0
	}
	return room
}

// A tick works on the nodes that have attempts out or had answers since the last one. Nothing happens to the
// others but that their bounds count as room, which is kept as a sum. So what a tick costs grows with a
// broker's own requests and not with the fleet's nodes: with 1,600 of them, a tick that went through all cost
// a broker over one hundredth of a core.

// working is what a gateway keeps of this.
type working struct {
	atWork    []*node // in the order in which they were first seen
	joined    bool    // some came since they were put in order
	idleBound float64 // sum of the bounds of the other ready nodes
	resum     bool    // a list, new settings or a shard came: this and who is gone is looked at anew
	resumAt   int     // tick in which it is looked at anyway: a sum of many additions drifts
	nodesSeen int
}

// resumTicks is how many ticks a sum is kept up before it is made anew.
const resumTicks = 1024

// work has ticks work on a node from now on.
func (n *node) work(g *Scheduler) {
	if n.works {
		return
	}
	n.works, g.joined = true, true
	g.atWork = append(g.atWork, n)
	if n.state == Ready {
		g.idleBound -= n.bound
	}
}

// idle tells whether a tick would do nothing to a node: no attempt is out, no answer has come, and old news
// of a jam has faded.
func (n *node) idle(g *Scheduler) bool {
	return len(n.flight) == 0 && n.out == 0 && n.answers == 0 && n.finished == 0 &&
		n.took <= queueShare*g.aim.Seconds()
}

// orderNodes puts those at work in the order in which they were first seen, and after news looks at all which
// they are.
func (g *Scheduler) orderNodes() {
	if g.resum || g.plain || g.ticks >= g.resumAt {
		g.atWork, g.idleBound, g.resumAt = g.atWork[:0], 0, g.ticks+resumTicks
		for _, n := range g.nodeList {
			if n.works = g.plain || !n.idle(g); n.works {
				g.atWork = append(g.atWork, n)
			} else if n.state == Ready {
				g.idleBound += n.bound
			}
		}
	} else if g.joined {
		slices.SortFunc(g.atWork, func(a, b *node) int { return cmp.Compare(a.number, b.number) })
	}
	g.joined = false
}

// restNodes takes those out that a tick would do nothing to.
func (g *Scheduler) restNodes() {
	g.atWork = slices.DeleteFunc(g.atWork, func(n *node) bool {
		if n.works = g.plain || !n.idle(g); !n.works && n.state == Ready {
			g.idleBound += n.bound
		}
		return !n.works
	})
}
