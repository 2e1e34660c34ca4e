package admission

import (
	"cmp"
	"slices"

	"junctionwharf/scheduler"
)

// Request is what admission control sees of one.
type Request struct {
	Class   string
	Plan    string
	Volume  string
	Units   float64
	Brokers int    // brokers through which the volume works
	Wait    Micros // until its client gives up
}

// Reason tells why a request was rejected.
type Reason int

// The reasons.
const (
	Admitted         Reason = iota // it was not
	LowPriority                    // others came first
	TooManyOpen                    // too many wait for their answers
	DeadlineTooClose               // it could not be served before its client gives up
)

func (r Reason) String() string {
	return [...]string{"none", "low priority", "too many open", "deadline too close"}[r]
}

// Controller decides which requests are admitted.
type Controller struct {
	settings Settings

	// From the settings of the deployment.
	ranks         map[string]int // of a class, the highest priority weight first
	plans         map[string]scheduler.Plan
	maxUnits      float64 // of a request
	minObjective  Micros  // the shortest latency objective of a class
	maxRetryAfter Micros  // 0 for no advice

	// Reserved capacity.
	volumes    map[string]*reservedCapacity
	sweepOrder []string // volumes to be looked at for being forgotten

	// The window under way.
	windowEnd  Micros
	windowLag  Micros // mean of lagSamples
	lagSamples int
	arrived    []int // by rank
	admitted   int
	tooMany    bool // requests were rejected for Settings.MaxOpenOverloaded

	// Over windows.
	smoothedLag    Micros
	offered        []float64 // by rank, a window
	meanAdmitted   float64
	peakAdmitted   float64 // the most that came in lately in a window without overload
	excess         float64 // offered for each one admitted
	tooManyWindows int     // for which tooMany still counts

	// While it sheds load.
	shedding       bool
	allowance      float64 // requests a window
	allowanceAtCut float64 // what it was when it was last cut
	cutPause       int     // windows until it may be cut again
	calm           int     // windows in which all would have come in
	marginalRank   int     // the rank that is admitted in part
	marginalPart   float64 // that part
	marginalCredit float64 // what requests of that rank have earned towards the next admission
}

// New returns a controller that admits everybody.
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

// ApplySettings switches to other classes and plans. Classes that vanished count least from now on.
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
	ranks := 2 * (lastRank + 2) // within reserved capacity, and beyond it; the last of each is of unknown classes
	c.arrived = make([]int, ranks)
	c.offered = make([]float64, ranks)
	if c.shedding { // what is offered by rank is learnt anew
		c.marginalRank = ranks - 1
		c.marginalPart = 1
	}
}

// rankClasses gives classes of one priority weight one rank, the highest weight rank 0, and returns the last rank.
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

// rank is a request's rank among all: 0 is admitted first.
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

// Admit reports whether a request is admitted while so many wait for their answers, else why not and when it may come
// back (0: no advice).
func (c *Controller) Admit(now Micros, open int, r *Request) (reason Reason, retryAfter Micros) {
	c.advance(now)
	rank := 0
	if c.settings.TargetLag > 0 || c.settings.MaxOpen > 0 { // else no rank comes before another
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

// tooManyOpen is the bound Settings.MaxOpen, whose last part is for requests within reserved capacity.
func (c *Controller) tooManyOpen(open int, reserved bool) bool {
	if open >= c.settings.MaxOpen {
		return true
	}
	return !reserved && float64(open) >= unreservedOpenShare*float64(c.settings.MaxOpen)
}

// admitsRank reports whether the allowance has a share for a request of a rank.
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

// retryAfter is when to come back: the later, the more are rejected for each one admitted.
func (c *Controller) retryAfter() Micros {
	return min(c.maxRetryAfter, Micros(float64(c.minObjective)*max(1, c.excess)))
}

// RecordLag reports how long work has waited since the last call.
func (c *Controller) RecordLag(now, lag Micros) {
	c.lagSamples++
	c.windowLag += (lag - c.windowLag) / Micros(c.lagSamples)
	c.advance(now)
}

// RecordOverload reports that requests were rejected for Settings.MaxOpenOverloaded before they came here.
func (c *Controller) RecordOverload() { c.tooMany = true }

// MaxOpenOverloaded is the bound of that name in the settings.
func (c *Controller) MaxOpenOverloaded() int { return c.settings.MaxOpenOverloaded }

// Overloaded reports whether the lag is above OverloadLag.
func (c *Controller) Overloaded() bool { return c.smoothedLag > OverloadLag }

// Shedding reports whether requests are rejected now for want of the broker's own processor.
func (c *Controller) Shedding() bool { return c.shedding || c.tooMany || c.tooManyWindows > 0 }
