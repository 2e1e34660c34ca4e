package fleetharness

import "time"

// Parameters of a node's slow start, which are also in the settings of its brokers.
const (
	// slowStartDuration is the time from a node's start until it reaches full speed.
	slowStartDuration = 17 * time.Second
	// slowStartShare is the fraction of its full speed with which a node starts. The speed then increases linearly.
	slowStartShare = 0.18
	// slowStartWindow is the length of the window over which the requests of all brokers are summed.
	slowStartWindow = 3 * time.Second
	// slowStartMultiple is the load in a window that a node can handle, as a multiple of the load that it can serve in
	// that window.
	slowStartMultiple = 4.0
	// slowStartMinUnits is the load in a window, in units, that a node can handle regardless of its speed.
	slowStartMinUnits = 41.0
)

// unitArrival is the size of a request and its time of arrival.
type unitArrival struct {
	at    time.Duration
	units float64
}

// SlowStartSecond holds the maximum load that all brokers sent to a node in slow start, in any window that ended within
// one second of the node's age, and the load that the node could handle at that time.
type SlowStartSecond struct {
	Node  string  `json:"node"`
	AgeS  int     `json:"age_s"`
	Units float64 `json:"units"`
	Limit float64 `json:"bears"` // units

	startedAt time.Duration // start of the node, which may start several times
}

// fill returns the load as a fraction of the limit.
func (s *SlowStartSecond) fill() float64 { return s.Units / max(s.Limit, 1) }

// currentSpeed returns the node's speed at its current age. The caller must hold n.mu.
func (n *fakeNode) currentSpeed(now time.Duration) float64 {
	age := now - n.startedAt
	if n.startedAt == 0 || age >= slowStartDuration {
		return n.speed
	}
	return n.speed * (slowStartShare + (1-slowStartShare)*float64(age)/float64(slowStartDuration))
}

// nominalRate returns the node's service rate at full speed, in units per second.
func (n *fakeNode) nominalRate() float64 {
	spec := n.fleet.scenario.Node
	return float64(spec.Slots) * 1000 / spec.UnitMS
}

// addUnits records the load of a request at a newly started node. It reports whether the load is within the limit that
// the node can handle. The caller must hold n.mu.
func (n *fakeNode) addUnits(now time.Duration, units float64) bool {
	if n.startedAt == 0 || now-n.startedAt > slowStartDuration {
		return true
	}
	n.recentUnits = append(n.recentUnits, unitArrival{at: now, units: units})
	for len(n.recentUnits) > 0 && now-n.recentUnits[0].at > slowStartWindow {
		n.recentUnits = n.recentUnits[1:]
	}
	sum := 0.0
	for _, arrival := range n.recentUnits {
		sum += arrival.units
	}
	capacity := slowStartMultiple * n.currentSpeed(now) * n.nominalRate() * slowStartWindow.Seconds()
	limit := max(slowStartMinUnits, capacity)
	second := n.slowStartSecond(now)
	if sum/limit >= second.fill() {
		second.Units = sum
		second.Limit = limit
	}
	return sum <= limit
}

// slowStartSecond returns the entry for the current second of the node's age. The caller must hold n.mu.
func (n *fakeNode) slowStartSecond(now time.Duration) *SlowStartSecond {
	age := int((now - n.startedAt) / time.Second)
	last := len(n.slowStart) - 1
	if last < 0 || n.slowStart[last].startedAt != n.startedAt || n.slowStart[last].AgeS != age {
		n.slowStart = append(n.slowStart, SlowStartSecond{Node: n.name, AgeS: age, startedAt: n.startedAt})
		last++
	}
	return &n.slowStart[last]
}
