// Package admission decides on admission to a broker that has more offered than it can do: who is refused at once, by the
// cheapest path there is, so that those who come in are served in time. It does no I/O and is handed the clock; it is not
// safe for concurrent use.
//
// The sign of overload is the broker's lag: how long what could run waits for a processor, or an event for the loop. A
// request waits for as long several times. While the lag stays above its target the controller lets fewer in from
// window to window, and more again once it is below ("overload control for scaling WeChat microservices", Zhou et al.
// 2018, does so by priorities; the pace is additive increase, multiplicative decrease). Who comes in goes by rank: a
// volume within its reserve before any other, then by the worth of the class. Of the rank that is let in by part, an
// even part of the requests is.
package admission

import (
	"cmp"
	"slices"

	"junctionwharf/scheduler"
)

// Micros is a time or span in whole microseconds, as in package broker.
type Micros = int64

// Settings of a Controller. Spans are in µs.
type Settings struct {
	TargetLag         Micros // the lag that is sought; 0: only the bound on open requests holds
	MaxOpen           int    // requests that may wait for their answer, 0 for no bound
	MaxOpenOverloaded int    // requests that may wait for their answer while the lag is above OverloadLag, 0 for no bound
	Window            Micros // between two steps; 0: DefaultWindow
	MaxVolumes        int    // whose reserves are followed at once; 0: DefaultVolumes
}

// The defaults.
const (
	DefaultWindow  Micros = 10_000
	DefaultVolumes        = 1 << 14
)

// OverloadLag is the lag above which a broker is itself the bound, and what waits in it beyond Settings.MaxOpenOverloaded waits for its
// processor and not for nodes.
const OverloadLag Micros = 2_000

// The pace of a step.
const (
	less     = 0.85 // of the allowance, while the lag is above its target
	rest     = 4    // windows after that before it is cut again: what waits has to be done first
	more     = 1.01 // of the allowance, while the lag is below
	back     = 1.15 // instead, up to near where it was cut: a hiccup must not cost long
	near     = 0.85 // of that
	brisk    = 1.05 // instead, while the lag is below a part of its target: the broker has caught up, and more
	light    = 0.125
	fewest   = 4.0  // a window, so that the lag goes on being seen
	least    = 0.3  // of the most that lately came in: where refusals alone keep the broker busy, fewer would not help
	fading   = 1e-3 // of that most, a window
	hops     = 6    // queues like the loop's that a request stands in: client, loop, node, node, loop, client
	openRoom = 0.9  // of MaxOpen, from where on only those within their reserve come in
	calm     = 20   // windows with room for all after which nothing is refused any more
)

// Request is what admission control sees of one.
type Request struct {
	Class, Plan, Volume string
	Units               float64
	Brokers             int    // brokers through which the volume works
	Wait                Micros // until its client leaves
}

// Reason tells why one was refused.
type Reason int

// The reasons.
const (
	Admitted         Reason = iota // it was let in
	LowPriority                    // others came first
	TooManyOpen                    // too many wait for their answers
	DeadlineTooClose               // it could not be served before its client leaves
)

func (r Reason) String() string { return [...]string{"none", "rank", "full", "too late"}[r] }

// Controller decides who comes in.
type Controller struct {
	set     Settings
	ranks   map[string]int // of a class, the worthiest first
	plans   map[string]scheduler.Plan
	largest float64 // units of a request
	aim     Micros  // the least of a class
	latest  Micros  // to come back at the most, 0 for not told

	volumes map[string]*reserve
	sweep   []string // volumes to be looked at for being forgotten

	lag      Micros // mean of this window's
	lags     int
	smoothed Micros // over windows
	ends     Micros // of this window
	arrived  []int  // by rank, in this window
	came     int    // those let in
	offered  []float64
	shedding bool
	allowed  float64 // a window, while it sheds
	marginal int     // the rank that is let in by part
	part     float64 // of it
	owed     float64 // of it, by the requests so far
	usual    float64 // that came in, in the mean over windows
	cutAt    float64 // what was allowed when it was last cut
	rests    int     // windows until it may be cut again
	best     float64 // the most that came in lately in a window without overload
	quiet    int     // windows in which all would have come in
	excess   float64 // offered for each one let in, smoothed
	crowded  bool    // Settings.MaxOpenOverloaded was passed in this window
	crowds   int     // windows for which it still counts
}

// reserve follows what a volume has left of its reserve.
type reserve struct {
	units float64
	at    Micros
}

// New returns a controller that lets everybody in.
func New(set Settings, l scheduler.Settings) *Controller {
	ctl := &Controller{set: set, volumes: map[string]*reserve{}, excess: 1}
	ctl.set.Window, ctl.set.MaxVolumes = cmp.Or(set.Window, DefaultWindow), cmp.Or(set.MaxVolumes, DefaultVolumes)
	ctl.ApplySettings(l)
	return ctl
}

// ApplySettings goes over to other classes and plans. Classes that vanished count least from now on.
func (ctl *Controller) ApplySettings(l scheduler.Settings) {
	classes := slices.Clone(l.Classes)
	slices.SortStableFunc(classes, func(a, b scheduler.Class) int { return cmp.Compare(b.PriorityWeight, a.PriorityWeight) })
	ctl.ranks, ctl.plans, ctl.largest = map[string]int{}, map[string]scheduler.Plan{}, max(1, l.MaxUnits)
	ctl.aim, ctl.latest = 0, 0
	rank := -1
	for i, c := range classes {
		if i == 0 || c.PriorityWeight != classes[i-1].PriorityWeight {
			rank++
		}
		ctl.ranks[c.Name] = rank
		if aim := c.LatencyObjective.Microseconds(); ctl.aim == 0 || aim < ctl.aim {
			ctl.aim = aim
		}
	}
	for _, p := range l.Plans {
		ctl.plans[p.Name] = p
	}
	if l.Capabilities.RetryAfter {
		ctl.latest = l.Capabilities.MaxRetryAfter.Microseconds()
	}
	ranks := 2 * (rank + 2) // within the reserve, and beyond it; the last of each is of unknown classes
	ctl.arrived, ctl.offered = make([]int, ranks), make([]float64, ranks)
	if ctl.shedding { // the share of ranks is learnt anew
		ctl.marginal, ctl.part = ranks-1, 1
	}
}

// rank is a request's place among all: 0 comes in first.
func (ctl *Controller) rank(now Micros, r *Request) int {
	half := len(ctl.arrived) / 2
	rank, known := ctl.ranks[r.Class]
	if !known {
		rank = half - 1
	}
	if !ctl.within(now, r) {
		rank += half
	}
	return rank
}

// within tells whether a request is within its volume's reserve, and takes it from there.
func (ctl *Controller) within(now Micros, r *Request) bool {
	rate := ctl.plans[r.Plan].ReservedRate / float64(max(1, r.Brokers))
	if rate <= 0 {
		return false
	}
	most := rate + ctl.largest
	v := ctl.volumes[r.Volume]
	if v == nil {
		if len(ctl.volumes) >= ctl.set.MaxVolumes && !ctl.forget(now) {
			return false // more volumes than are followed: those that came first keep their reserve
		}
		v = &reserve{units: most, at: now}
		ctl.volumes[r.Volume] = v
		ctl.sweep = append(ctl.sweep, r.Volume)
	}
	v.units = min(most, v.units+rate*float64(now-v.at)/1e6)
	v.at = now
	if v.units < r.Units {
		return false
	}
	v.units -= r.Units
	return true
}

// forgetAfter is when a volume's reserve is full again, whatever its plan: most is less than a second of it and a request.
const forgetAfter Micros = 2_000_000

// forget drops a volume that has been idle for long. It looks at two, so that its cost is bounded.
func (ctl *Controller) forget(now Micros) bool {
	for range min(2, len(ctl.sweep)) {
		name := ctl.sweep[0]
		ctl.sweep = ctl.sweep[1:]
		if v := ctl.volumes[name]; v != nil && now-v.at >= forgetAfter {
			delete(ctl.volumes, name)
			return true
		}
		ctl.sweep = append(ctl.sweep, name)
	}
	return false
}

// Admit tells whether a request comes in while so many wait for their answers, else why not and when it may come back, in µs
// (0: not told).
func (ctl *Controller) Admit(now Micros, open int, r *Request) (why Reason, after Micros) {
	ctl.turn(now)
	rank := 0
	if ctl.set.TargetLag > 0 || ctl.set.MaxOpen > 0 { // else no rank comes before another
		rank = ctl.rank(now, r)
	}
	ctl.arrived[rank]++
	switch within := rank < len(ctl.arrived)/2; {
	case ctl.set.MaxOpen > 0 && (open >= ctl.set.MaxOpen || !within && float64(open) >= openRoom*float64(ctl.set.MaxOpen)):
		why = TooManyOpen
	case ctl.set.MaxOpenOverloaded > 0 && open >= ctl.set.MaxOpenOverloaded && ctl.smoothed > OverloadLag:
		why, ctl.crowded = TooManyOpen, true
	case ctl.set.TargetLag > 0 && hops*ctl.smoothed > r.Wait:
		why = DeadlineTooClose
	case ctl.shedding && !ctl.admits(rank):
		why = LowPriority
	default:
		ctl.came++
		return Admitted, 0
	}
	return why, ctl.after()
}

// after is when to come back: the later, the more are refused for each one let in.
func (ctl *Controller) after() Micros {
	return min(ctl.latest, Micros(float64(ctl.aim)*max(1, ctl.excess)))
}

func (ctl *Controller) admits(rank int) bool {
	if rank != ctl.marginal {
		return rank < ctl.marginal
	}
	ctl.owed += ctl.part
	if ctl.owed < 1 {
		return false
	}
	ctl.owed--
	return true
}

// RecordLag tells for how long work has waited since the last call.
func (ctl *Controller) RecordLag(now, lag Micros) {
	ctl.lags++
	ctl.lag += (lag - ctl.lag) / Micros(ctl.lags)
	ctl.turn(now)
}

// turn ends the window when it is over. It guards against a clock that stood still: one window ends, however late.
func (ctl *Controller) turn(now Micros) {
	if now < ctl.ends {
		return
	}
	first := ctl.ends == 0
	ctl.ends = now + ctl.set.Window
	if first {
		return
	}
	total := 0
	for rank, n := range ctl.arrived {
		total += n
		ctl.offered[rank] += 0.5 * (float64(n) - ctl.offered[rank])
		ctl.arrived[rank] = 0
	}
	if ctl.lags > 0 {
		ctl.smoothed += (ctl.lag - ctl.smoothed) / 4
	} else if total == 0 {
		ctl.smoothed /= 2 // nothing came, nothing waited
	}
	if ctl.crowds--; ctl.crowded {
		ctl.crowds = calm
	}
	ctl.crowded = false
	lag, came := ctl.lag, ctl.came
	over := ctl.set.TargetLag > 0 && ctl.lags > 0 && min(lag, ctl.smoothed) > ctl.set.TargetLag
	ctl.lag, ctl.lags, ctl.came = 0, 0, 0
	ctl.best *= 1 - fading
	if !over {
		ctl.best += 0.1 * max(0, float64(came)-ctl.best)
	}
	floor := max(fewest, least*ctl.best)
	if ctl.usual += 0.1 * (float64(came) - ctl.usual); ctl.rests > 0 {
		ctl.rests--
	}
	ctl.excess += 0.25 * (float64(total+1)/float64(came+1) - ctl.excess)
	switch {
	case over && !ctl.shedding:
		ctl.shedding, ctl.quiet, ctl.owed, ctl.rests, ctl.cutAt = true, 0, 0, rest, ctl.usual
		ctl.allowed = max(floor, less*ctl.usual)
	case over && ctl.rests == 0:
		ctl.rests, ctl.cutAt = rest, ctl.allowed
		ctl.allowed = max(floor, less*ctl.allowed)
	case over:
	case ctl.shedding && ctl.allowed < near*ctl.cutAt:
		ctl.allowed *= back
	case ctl.shedding && float64(lag) < light*float64(ctl.set.TargetLag) && ctl.allowed < near*ctl.best:
		ctl.allowed = ctl.allowed*brisk + 1
	case ctl.shedding:
		ctl.allowed = ctl.allowed*more + 1
	}
	if ctl.shedding {
		ctl.share()
	}
}

// share finds the rank up to which all come in, by what was offered lately, and the part of the next.
func (ctl *Controller) share() {
	left := ctl.allowed
	for rank, n := range ctl.offered {
		if n > left {
			ctl.marginal, ctl.part, ctl.quiet = rank, left/n, 0
			return
		}
		left -= n
	}
	ctl.marginal, ctl.part = len(ctl.offered)-1, 1
	if ctl.quiet++; ctl.quiet >= calm {
		ctl.shedding = false
	}
}

// MaxOpenOverloaded is Settings.MaxOpenOverloaded.
func (ctl *Controller) MaxOpenOverloaded() int { return ctl.set.MaxOpenOverloaded }

// Overloaded tells whether the lag is above OverloadLag.
func (ctl *Controller) Overloaded() bool { return ctl.smoothed > OverloadLag }

// RecordOverload notes that requests were refused for Settings.MaxOpenOverloaded before they came here.
func (ctl *Controller) RecordOverload() { ctl.crowded = true }

// Shedding tells whether requests are refused now for want of the broker's own processor.
func (ctl *Controller) Shedding() bool { return ctl.shedding || ctl.crowded || ctl.crowds > 0 }
