package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// A tick works on the volumes that had requests or news, or whose demand peers are to hear of. What it would do to the others
// is made up when they are next looked at: by then it depends on the ticks and the time that passed alone.

// sweptLeast and sweptPart bound how many volumes a tick looks at for being forgotten.
const (
	sweptLeast = 256
	sweptPart  = 64
)

// cleanTicks is how many ticks there are between two looks for what is over.
const cleanTicks = 16

// clean drops turns and clients' patience that are over. They count no more, kept or not.
func (g *Scheduler) clean() {
	if g.ticks%cleanTicks > 0 {
		return
	}
	maps.DeleteFunc(g.turns, func(_ string, t *turn) bool { return len(t.waiting) == 0 && g.now >= t.restTo })
	maps.DeleteFunc(g.unserved, func(_ try, p patience) bool { return g.now > p.till })
}

// stir has the next tick work on a volume.
func (v *volume) stir(g *Scheduler) {
	v.catchUp(g)
	if !v.stirs {
		v.stirs = true
		g.active = append(g.active, v)
	}
}

// catchUp makes up for the ticks that a volume was idle in.
func (v *volume) catchUp(g *Scheduler) {
	missed := g.ticks - v.tick
	if missed <= 0 {
		return
	}
	span := (g.lastTick - v.tickAt).Seconds()
	v.level = min(v.level+v.plan.ReservedRate/v.hosts*span, v.size)
	v.demand *= math.Pow(1-smoothing, float64(missed))
	v.excess *= math.Exp(-span)
	v.tick, v.tickAt = g.ticks, g.lastTick
}

// order puts the active volumes in the order in which they first came: sums must not depend on who was idle.
func (g *Scheduler) order() {
	slices.SortFunc(g.active, func(a, b *volume) int { return cmp.Compare(a.number, b.number) })
}

// rest takes those out of the active volumes that nothing happens to.
func (g *Scheduler) rest() {
	if g.plain {
		return
	}
	g.active = slices.DeleteFunc(g.active, func(v *volume) bool {
		v.stirs = g.ticks-v.asked < 2 || v.demand*newsScale >= 1 || g.heard(v.told) > 0
		return !v.stirs
	})
}

// forgetVolumes drops volumes that have been idle for long, a part of them in each tick.
func (g *Scheduler) forgetVolumes() {
	if g.swept >= len(g.inOrder) {
		g.swept = 0
	}
	end := min(len(g.inOrder), g.swept+max(sweptLeast, len(g.inOrder)/sweptPart))
	kept := g.swept
	for _, v := range g.inOrder[g.swept:end] {
		if g.ticks-v.asked <= idleTicks {
			g.inOrder[kept] = v
			kept++
			continue
		}
		delete(g.volumes, v.name)
		if g.byID[v.id] == v {
			delete(g.byID, v.id)
		}
	}
	if kept < end { // the gap is closed by the last ones: the order is not needed
		left := len(g.inOrder) - (end - kept)
		copy(g.inOrder[kept:], g.inOrder[max(end, left):])
		clear(g.inOrder[left:])
		g.inOrder = g.inOrder[:left]
	}
	g.swept = kept
}
