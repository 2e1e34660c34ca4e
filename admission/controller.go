package admission

import (
	"cmp"
	"slices"

	"junctionwharf/scheduler"
)

// Request is the part of a request on which admission depends.
type Request struct {
	Class   string
	Plan    string
	Volume  string
	Units   float64
	Brokers int    // number of brokers that receive requests of the volume
	Wait    Micros // time until the client gives up
}

// Reason is why a request was rejected.
type Reason int

// The reasons.
const (
	Admitted         Reason = iota // the request was admitted
	LowPriority                    // the allowance did not suffice for the request's rank
	TooManyOpen                    // too many requests are open
	DeadlineTooClose               // the request could not be served before its client gives up
)

func (r Reason) String() string {
	return [...]string{"none", "low priority", "too many open", "deadline too close"}[r]
}

// Controller decides which requests are admitted.
type Controller struct {
	settings Settings

	// From the settings of the deployment.
	ranks         map[string]int // rank by class name, within each half of the ranks; 0 for the highest priority weight
	plans         map[string]scheduler.Plan
	maxUnits      float64 // maximum units of a request
	minObjective  Micros  // the shortest latency objective of a class
	maxRetryAfter Micros  // 0 for no advice

	// Reserved capacity.
	volumes    map[string]*reservedCapacity
	sweepOrder []string // order in which volumes are checked for being idle

	// The current window.
	windowEnd  Micros
	windowLag  Micros // mean of the lags recorded in the window
	lagSamples int
	arrived    []int // requests by rank
	admitted   int
	tooMany    bool // requests were rejected because of Settings.MaxOpenOverloaded

	// Values over several windows.
	smoothedLag    Micros
	offered        []float64 // mean number of requests per window, by rank
	meanAdmitted   float64
	peakAdmitted   float64 // smoothed recent peak of the requests admitted in a window, without windows of overload
	excess         float64 // mean number of requests offered per admitted request
	tooManyWindows int     // remaining windows for which Shedding reports an earlier tooMany

	// Load shedding.
	shedding       bool
	allowance      float64 // requests per window
	allowanceAtCut float64 // allowance before the last cut; after the first cut, meanAdmitted before it
	cutPause       int     // windows until the next cut is possible
	calm           int     // successive windows in which the allowance sufficed for all requests
	marginalRank   int     // the rank of which only a part is admitted
	marginalPart   float64 // the admitted part of that rank, from 0 to 1
	marginalCredit float64 // sum of marginalPart over requests of that rank; 1 admits one request
}

// New returns a controller that admits all requests until it detects overload. deployment contains the classes and
// plans.
func New(settings Settings, deployment scheduler.Settings) *Controller {
	c := &Controller{
		settings: settings,
		volumes:  map[string]*reservedCapacity{},
		excess:   1,
	}
	c.settings.Window = cmp.Or(settings.Window, DefaultWindow)
	c.settings.MaxVolumes = cmp.Or(settings.MaxVolumes, DefaultMaxVolumes)
	c.ApplySettings(deployment)
	return c
}

// ApplySettings switches to other classes and plans. Requests of unknown classes rank after those of known classes.
func (c *Controller) ApplySettings(deployment scheduler.Settings) {
	lastRank := c.rankClasses(deployment.Classes)
	c.plans = map[string]scheduler.Plan{}
	for _, p := range deployment.Plans {
		c.plans[p.Name] = p
	}
	c.maxUnits = max(1, deployment.MaxUnits)
	c.maxRetryAfter = 0
	if deployment.Capabilities.RetryAfter {
		c.maxRetryAfter = deployment.Capabilities.MaxRetryAfter.Microseconds()
	}
	// The first half of the ranks is for requests within reserved capacity, the second half for all others. The last
	// rank of each half is for unknown classes.
	ranks := 2 * (lastRank + 2)
	c.arrived = make([]int, ranks)
	c.offered = make([]float64, ranks)
	if c.shedding { // the offered requests by rank are not known yet
		c.marginalRank = ranks - 1
		c.marginalPart = 1
	}
}

// rankClasses assigns one rank to all classes of one priority weight, from rank 0 for the highest weight. It returns
// the last rank.
func (c *Controller) rankClasses(all []scheduler.Class) int {
	classes := slices.Clone(all)
	slices.SortStableFunc(classes, func(a, b scheduler.Class) int {
		return cmp.Compare(b.PriorityWeight, a.PriorityWeight)
	})
	c.ranks = map[string]int{}
	c.minObjective = 0
	rank := -1
	for i, class := range classes {
		if i == 0 || class.PriorityWeight != classes[i-1].PriorityWeight {
			rank++
		}
		c.ranks[class.Name] = rank
		if objective := class.LatencyObjective.Microseconds(); c.minObjective == 0 || objective < c.minObjective {
			c.minObjective = objective
		}
	}
	return rank
}

// rank returns a request's rank. A lower rank is admitted first. If the request is within its volume's reserved
// capacity, rank also deducts the request's units from that capacity.
func (c *Controller) rank(now Micros, r *Request) int {
	half := len(c.arrived) / 2
	rank, known := c.ranks[r.Class]
	if !known {
		rank = half - 1
	}
	if !c.takeReserved(now, r) {
		rank += half
	}
	return rank
}

// Admit decides on a request while the given number of requests is open. It returns Admitted, or the reason for the
// rejection and the time after which the client may retry (0: no advice).
func (c *Controller) Admit(now Micros, open int, r *Request) (reason Reason, retryAfter Micros) {
	c.advance(now)
	rank := 0
	if c.settings.TargetLag > 0 || c.settings.MaxOpen > 0 { // the bound MaxOpenOverloaded does not depend on the rank
		rank = c.rank(now, r)
	}
	c.arrived[rank]++
	reserved := rank < len(c.arrived)/2
	switch {
	case c.settings.MaxOpen > 0 && c.tooManyOpen(open, reserved):
		reason = TooManyOpen
	case c.settings.MaxOpenOverloaded > 0 && open >= c.settings.MaxOpenOverloaded && c.Overloaded():
		reason = TooManyOpen
		c.tooMany = true
	case c.settings.TargetLag > 0 && queuesPerRequest*c.smoothedLag > r.Wait:
		reason = DeadlineTooClose
	case c.shedding && !c.admitsRank(rank):
		reason = LowPriority
	default:
		c.admitted++
		return Admitted, 0
	}
	return reason, c.retryAfter()
}

// tooManyOpen reports whether Settings.MaxOpen rejects a request. From unreservedOpenShare of the bound on, only
// requests within reserved capacity are admitted.
func (c *Controller) tooManyOpen(open int, reserved bool) bool {
	if open >= c.settings.MaxOpen {
		return true
	}
	return !reserved && float64(open) >= unreservedOpenShare*float64(c.settings.MaxOpen)
}

// admitsRank reports whether the allowance admits another request of a rank.
func (c *Controller) admitsRank(rank int) bool {
	if rank != c.marginalRank {
		return rank < c.marginalRank
	}
	c.marginalCredit += c.marginalPart
	if c.marginalCredit < 1 {
		return false
	}
	c.marginalCredit--
	return true
}

// retryAfter returns the time after which a rejected client may retry. The time grows with the number of requests
// offered per admitted request, up to maxRetryAfter.
func (c *Controller) retryAfter() Micros {
	return min(c.maxRetryAfter, Micros(float64(c.minObjective)*max(1, c.excess)))
}

// RecordLag records the scheduling lag measured since the last call.
func (c *Controller) RecordLag(now, lag Micros) {
	c.lagSamples++
	c.windowLag += (lag - c.windowLag) / Micros(c.lagSamples)
	c.advance(now)
}

// RecordOverload records that requests were rejected because of Settings.MaxOpenOverloaded without a call of Admit.
func (c *Controller) RecordOverload() { c.tooMany = true }

// MaxOpenOverloaded returns Settings.MaxOpenOverloaded.
func (c *Controller) MaxOpenOverloaded() int { return c.settings.MaxOpenOverloaded }

// Overloaded reports whether the smoothed lag is above OverloadLag.
func (c *Controller) Overloaded() bool { return c.smoothedLag > OverloadLag }

// Shedding reports whether load shedding is active, or requests were rejected because of Settings.MaxOpenOverloaded in
// this window or one of the last calmWindows windows. In both cases the broker's own processor is overloaded.
func (c *Controller) Shedding() bool { return c.shedding || c.tooMany || c.tooManyWindows > 0 }
