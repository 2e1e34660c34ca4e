package scheduler

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"junctionwharf/quota"
)

// volume holds the accounts of one volume. Units are the size of requests.
type volume struct {
	name    string
	id      uint32 // short name in peer messages
	plan    *Plan
	hosts   float64 // gateways through which it works
	level   float64 // tokens; below zero is debt
	size    float64 // bucket size: a second of the whole rate, since a volume may lean on one host
	arrived float64 // units that arrived in this tick: V
	demand  float64 // V of the last tick, smoothed
	due     float64 // units of the reserve that are due here by news of peers
	dueAt   Time    // when due was last filled
	excess  float64 // units beyond the reserve, smoothed over ticks
	told    news    // demand at all peers
	limit   quota.Quota
	asked   int  // tick of the last request
	number  int  // of its first coming
	tick    int  // up to which level, demand and excess are brought
	tickAt  Time // when that was
	stirs   bool // it stands among the active
}

func (g *Scheduler) volumeOf(e Request, plan *Plan) *volume {
	v, h := g.volumes[e.Volume], fnv.New32a()
	if v == nil {
		h.Write([]byte(e.Volume))
		v = &volume{name: e.Volume, id: h.Sum32(), plan: plan, limit: quota.New(g.now)}
		g.volumes[e.Volume], g.byID[v.id] = v, v
		g.inOrder = append(g.inOrder, v)
		v.number, v.tick, v.tickAt = g.volumesSeen, g.ticks, g.lastTick
		g.volumesSeen++
	}
	v.asked = g.ticks
	v.stir(g)
	hosts := float64(max(1, min(e.Brokers, g.set.Brokers)))
	if hosts != v.hosts {
		v.hosts = hosts
		v.size = max(plan.Rate, plan.ReservedRate) + max(g.set.MaxUnits, e.Units)
		v.level = min(v.level, v.size)
		g.stirred++
	}
	return v
}

// due tells what part of its worth a unit earns: all inside the reserve, less the more the volume asks
// beyond it against its weight. The reserve counts here by where the volume's demand is.
func (g *Scheduler) due(v *volume, units float64) float64 {
	part := 1 / v.hosts
	if told := g.heard(v.told); told > 0 || v.demand > 0 {
		part = max(part, (v.demand+1)/(v.demand+told+v.hosts))
	}
	most := v.plan.ReservedRate*part + g.set.MaxUnits
	v.due, v.dueAt = min(most, v.due+v.plan.ReservedRate*part*(g.now-v.dueAt).Seconds()), g.now
	if v.plan.ReservedRate > 0 && v.due >= units {
		v.due -= units
		return 1
	}
	v.excess += units
	usual := max(v.plan.Rate, v.plan.ReservedRate) / v.hosts
	return g.set.SpareWeight + (g.set.ShareWeight-g.set.SpareWeight)/(1+v.excess/max(1, usual))
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

// pays tells whether a request's volume can pay for it, or go into debt for it.
func (g *Scheduler) pays(r *request, unpaid bool) bool {
	v, floor := r.volume, 0.0
	v.catchUp(g)
	if unpaid {
		floor = -v.size
	}
	if r.attempts == 0 && v.level-r.Units < floor || !r.counted && !g.limit(v).Allows(r.Units) {
		return false
	}
	return g.hasTurn(r) && (r.attempts == 0 || g.mayTryAgain(r))
}
