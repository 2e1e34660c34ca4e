package scheduler

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"junctionwharf/quota"
)

// volume is the state of one volume at this broker. A tick processes the active volumes: those with recent
// requests or demand reports, or whose demand must be reported to peers. If another volume is used, catchUp
// first computes the effect of the ticks that it missed, which depends only on their number and the elapsed
// time.
type volume struct {
	name    string
	hash    uint32  // identifies the volume in peer messages
	plan    *Plan   // the plan of its last request
	brokers float64 // number of brokers that receive the volume's requests
	quota   quota.Quota
	limited *Plan // its last plan with a rate limit, under which the quota is refilled; nil for none

	tokens       float64 // units; negative in overdraft
	capacity     float64 // capacity of the token bucket in units
	arrivedUnits float64 // units that arrived in this tick: V(t) of equation 12
	demand       float64 // units a tick, smoothed
	peerDemand   demandReport
	reserved     reservedBucket
	excess       float64 // units beyond the reserved rate; decays over a second
	caughtUpTick int     // tick for which tokens, demand and excess were last computed
	caughtUpAt   Time    // time of that tick
	lastUsedTick int     // tick of the last request
	lastUsedAt   Time    // time of the last request
	sequence     int     // position in the order in which volumes were first seen
	openRequests int     // requests that are not deleted yet
	active       bool
	forgotten    bool // removed from the table

	position      int  // index in volumeTable.list
	evictionIndex int  // index in volumeTable.evictable, or notEvictable
	evictAt       Time // orders volumeTable.evictable
}

// reservedBucket is a token bucket for this broker's part of a volume's reserved rate, in units.
type reservedBucket struct {
	tokens     float64
	refilledAt Time
}

// volumeTable holds the volumes with recent requests.
type volumeTable struct {
	byName        map[string]*volume
	byHash        map[uint32]*volume
	list          []*volume // unordered
	active        []*volume // the volumes that a tick processes
	evictable     evictionHeap
	seen          int // volumes ever added; the next volume's sequence
	max           int // volumes that are remembered at most
	sweepPosition int // index in list at which forgetVolumes continues
}

func newVolumeTable() volumeTable {
	return volumeTable{byName: map[string]*volume{}, byHash: map[uint32]*volume{}, max: defaultMaxVolumes}
}

// sortActive drops forgotten volumes, and sorts the active ones by the order in which they were first seen.
// Sums over them depend on the order through rounding, and must not depend on which volumes were idle before.
func (t *volumeTable) sortActive() {
	t.active = slices.DeleteFunc(t.active, func(v *volume) bool { return v.forgotten })
	slices.SortFunc(t.active, func(a, b *volume) int { return cmp.Compare(a.sequence, b.sequence) })
}

// volumeFor returns a request's volume and marks it as used. It creates the volume if it does not exist, and
// adopts the request's plan and number of brokers.
func (s *Scheduler) volumeFor(e *Request, plan *Plan) *volume {
	v := s.volumes.byName[e.Volume]
	isNew := v == nil
	if isNew {
		v = s.addVolume(e.Volume, plan)
	}
	v.lastUsedTick = s.ticks
	v.lastUsedAt = s.now
	s.volumes.reconsider(v, s.now)
	s.activateVolume(v)
	if plan.Name != v.plan.Name {
		s.changePlan(v, plan)
	}
	brokers := float64(max(1, min(e.Brokers, s.settings.Brokers)))
	if brokers != v.brokers {
		v.brokers = brokers
		v.capacity = bucketCapacity(v.plan, max(s.settings.MaxUnits, e.Units))
		v.tokens = min(v.tokens, v.capacity)
		s.scans.generation++
	}
	if isNew {
		s.charge(v, s.debts.take(s.now, v.hash))
	}
	return v
}

// changePlan moves a volume to another plan, in the values of the present settings if they have the plan. The
// time until now counts under the earlier plan. No bucket gains tokens, and a debt stays as it is. The caller
// has applied the ticks until now.
func (s *Scheduler) changePlan(v *volume, plan *Plan) {
	if present := s.table.plans[plan.Name]; present != nil {
		plan = present
	}
	s.refillReserved(v)
	s.refillQuota(v)
	v.applyPlan(plan, s.settings.MaxUnits)
	s.refillReserved(v)
	s.refillQuota(v)
	s.scans.generation++
}

func (s *Scheduler) addVolume(name string, plan *Plan) *volume {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // a hash accepts any bytes
	v := &volume{
		name:         name,
		hash:         hash.Sum32(),
		plan:         plan,
		quota:        quota.New(s.now),
		limited:      limitedOnly(plan),
		position:     len(s.volumes.list),
		sequence:     s.volumes.seen,
		caughtUpTick: s.ticks,
		caughtUpAt:   s.lastTickAt,

		evictionIndex: notEvictable,
	}
	s.volumes.seen++
	s.volumes.byName[name] = v
	s.volumes.byHash[v.hash] = v
	s.volumes.list = append(s.volumes.list, v)
	return v
}

// applyPlan applies a plan to a volume. It never raises the volume's tokens.
func (v *volume) applyPlan(plan *Plan, maxUnits float64) {
	v.plan = plan
	v.capacity = bucketCapacity(plan, maxUnits)
	v.tokens = min(v.tokens, v.capacity)
	if plan.Limit > 0 {
		v.limited = plan
	}
}

// updatePlans applies the values of new settings to a volume's plans, if the settings have them.
func (s *Scheduler) updatePlans(v *volume) {
	v.catchUp(s.ticks, s.lastTickAt)
	if v.limited != nil && s.table.plans[v.limited.Name] != nil {
		v.limited = limitedOnly(s.table.plans[v.limited.Name])
	}
	if plan := s.table.plans[v.plan.Name]; plan != nil {
		v.applyPlan(plan, s.settings.MaxUnits)
	}
}

// activateVolume adds a volume to the active volumes.
func (s *Scheduler) activateVolume(v *volume) {
	v.catchUp(s.ticks, s.lastTickAt)
	if !v.active {
		v.active = true
		s.volumes.active = append(s.volumes.active, v)
	}
}

// catchUp applies the ticks in which the volume was not active.
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

// retireVolumes removes volumes from the active volumes if catchUp alone can compute their next ticks.
func (s *Scheduler) retireVolumes() {
	if s.scans.exhaustive {
		return
	}
	s.volumes.active = slices.DeleteFunc(s.volumes.active, func(v *volume) bool {
		usedLately := s.ticks-v.lastUsedTick < 2
		v.active = usedLately || v.demand*demandSteps >= 1 || v.peerDemand.current(s.ticks) > 0
		if !v.active {
			s.volumes.reconsider(v, s.now)
		}
		return !v.active
	})
}
