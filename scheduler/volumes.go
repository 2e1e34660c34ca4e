package scheduler

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"junctionwharf/quota"
)

// volume holds the accounts of one volume at this broker. A tick works on the active volumes: those that had
// requests or demand reports, or whose demand peers are to hear of. What it would do to the others is made up
// by catchUp when they are next used: by then it depends on the ticks and the time that passed alone.
type volume struct {
	name    string
	hash    uint32 // its name in peer messages
	plan    *Plan
	brokers float64 // through which its requests come
	quota   quota.Quota

	tokens       float64 // units; below zero is overdraft
	capacity     float64 // units that the token bucket holds
	arrivedUnits float64 // in this tick: V(t) of equation 12
	demand       float64 // units a tick, smoothed
	peerDemand   demandReport
	reserved     reservedBucket
	excess       float64 // units beyond the reserved rate, decaying over a second
	caughtUpTick int     // the tick up to which tokens, demand and excess count, and its time
	caughtUpAt   Time
	lastUsedTick int // tick of the last request
	sequence     int // in the order in which volumes were first seen
	active       bool
}

// reservedBucket holds the units of a volume's reserved rate that are due at this broker.
type reservedBucket struct {
	tokens     float64
	refilledAt Time
}

// volumeTable holds the volumes that had requests lately.
type volumeTable struct {
	byName        map[string]*volume
	byHash        map[uint32]*volume
	list          []*volume // in no order
	active        []*volume // those that a tick works on
	seen          int
	sweepPosition int // in list, up to which forgetVolumes came
}

func newVolumeTable() volumeTable {
	return volumeTable{byName: map[string]*volume{}, byHash: map[uint32]*volume{}}
}

// sortActive puts the active volumes in the order in which they were first seen: the sums over them are
// rounded, and must not depend on which were idle.
func (t *volumeTable) sortActive() {
	slices.SortFunc(t.active, func(a, b *volume) int { return cmp.Compare(a.sequence, b.sequence) })
}

// volumeFor returns a request's volume, which it makes where it is new, and has it count the request's
// brokers.
func (s *Scheduler) volumeFor(e *Request, plan *Plan) *volume {
	v := s.volumes.byName[e.Volume]
	if v == nil {
		v = s.addVolume(e.Volume, plan)
	}
	v.lastUsedTick = s.ticks
	s.activateVolume(v)
	brokers := float64(max(1, min(e.Brokers, s.settings.Brokers)))
	if brokers != v.brokers {
		v.brokers = brokers
		v.capacity = bucketCapacity(plan, max(s.settings.MaxUnits, e.Units))
		v.tokens = min(v.tokens, v.capacity)
		s.scans.generation++
	}
	return v
}

func (s *Scheduler) addVolume(name string, plan *Plan) *volume {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // a hash takes all
	v := &volume{
		name:         name,
		hash:         hash.Sum32(),
		plan:         plan,
		quota:        quota.New(s.now),
		sequence:     s.volumes.seen,
		caughtUpTick: s.ticks,
		caughtUpAt:   s.lastTickAt,
	}
	s.volumes.seen++
	s.volumes.byName[name] = v
	s.volumes.byHash[v.hash] = v
	s.volumes.list = append(s.volumes.list, v)
	return v
}

// applyPlan takes the new figures of a volume's plan. Tokens never rise with them.
func (v *volume) applyPlan(plan *Plan, maxUnits float64) {
	v.plan = plan
	v.capacity = bucketCapacity(plan, maxUnits)
	v.tokens = min(v.tokens, v.capacity)
}

// activateVolume has the next tick work on a volume.
func (s *Scheduler) activateVolume(v *volume) {
	v.catchUp(s.ticks, s.lastTickAt)
	if !v.active {
		v.active = true
		s.volumes.active = append(s.volumes.active, v)
	}
}

// catchUp makes up for the ticks in which a volume was not active.
func (v *volume) catchUp(tick int, tickAt Time) {
	missed := tick - v.caughtUpTick
	if missed <= 0 {
		return
	}
	elapsed := (tickAt - v.caughtUpAt).Seconds()
	v.tokens = min(v.tokens+v.plan.ReservedRate/v.brokers*elapsed, v.capacity)
	v.demand *= math.Pow(1-smoothing, float64(missed))
	v.excess *= math.Exp(-elapsed)
	v.caughtUpTick = tick
	v.caughtUpAt = tickAt
}

// retireVolumes takes the volumes out of the active ones that the next ticks would do nothing to but what
// catchUp does.
func (s *Scheduler) retireVolumes() {
	if s.scans.exhaustive {
		return
	}
	s.volumes.active = slices.DeleteFunc(s.volumes.active, func(v *volume) bool {
		usedLately := s.ticks-v.lastUsedTick < 2
		v.active = usedLately || v.demand*demandSteps >= 1 || v.peerDemand.current(s.ticks) > 0
		return !v.active
	})
}
