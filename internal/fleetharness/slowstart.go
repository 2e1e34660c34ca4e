package fleetharness

import "time"

// The slow start of a node, as its brokers' settings tell it.
const (
	// slowStartDuration is how long a node takes until it has its full speed.
	slowStartDuration = 17 * time.Second
	// slowStartShare is the part of its speed that it has at first; from then on it grows evenly.
	slowStartShare = 0.18
	// slowStartWindow is the window in which what all brokers send is added up.
	slowStartWindow = 3 * time.Second
	// slowStartMultiple is how many times what it can serve in a window a node bears without falling over.
	slowStartMultiple = 4.0
	// slowStartMinUnits is what it bears in a window in any case, in units.
	slowStartMinUnits = 41.0
)

// unitArrival is the work of a request that came.
type unitArrival struct {
	at    time.Duration
	units float64
}

// SlowStartSecond is the most that a node was sent by all brokers within its slow start in any window that ended in one
// second of its age, and what it could bear then.
type SlowStartSecond struct {
	Node  string  `json:"node"`
	AgeS  int     `json:"age_s"`
	Units float64 `json:"units"`
	Limit float64 `json:"bears"` // units

	startedAt time.Duration // of the node: it may start several times
}

// fill is the part of the limit that was sent.
func (s *SlowStartSecond) fill() float64 { return s.Units / max(s.Limit, 1) }

// currentSpeed is the node's speed at its age; n.mu is held.
func (n *fakeNode) currentSpeed(now time.Duration) float64 {
	age := now - n.startedAt
	if n.startedAt == 0 || age >= slowStartDuration {
		return n.speed
	}
	return n.speed * (slowStartShare + (1-slowStartShare)*float64(age)/float64(slowStartDuration))
}

// nominalRate is what it serves at full speed, in units a second.
func (n *fakeNode) nominalRate() float64 {
	spec := n.fleet.scenario.Node
	return float64(spec.Slots) * 1000 / spec.UnitMS
}

// addUnits records work at a node that has just started, and reports whether it is within what the node bears; n.mu is
// held.
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

// slowStartSecond is the entry of the current second of the node's age; n.mu is held.
func (n *fakeNode) slowStartSecond(now time.Duration) *SlowStartSecond {
	age := int((now - n.startedAt) / time.Second)
	last := len(n.slowStart) - 1
	if last < 0 || n.slowStart[last].startedAt != n.startedAt || n.slowStart[last].AgeS != age {
		n.slowStart = append(n.slowStart, SlowStartSecond{Node: n.name, AgeS: age, startedAt: n.startedAt})
		last++
	}
	return &n.slowStart[last]
}
