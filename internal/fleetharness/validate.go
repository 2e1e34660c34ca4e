package fleetharness

import (
	"cmp"
	"fmt"
	"slices"
)

// KeyError reports a scenario key with an invalid value.
type KeyError struct {
	Key    string
	Reason string
}

// Error implements error.
func (e *KeyError) Error() string { return e.Key + ": " + e.Reason }

func invalid(key, format string, args ...any) error {
	return &KeyError{Key: key, Reason: fmt.Sprintf(format, args...)}
}

// Bounds of a scenario, which must run on one machine. Above these bounds, the machine's own queues, descriptors and
// memory distort the measurements of the brokers.
const (
	maxBrokers   = 400
	maxNodes     = 1600
	maxDurationS = 600
	maxTotalRate = 20_000 // requests per second of all brokers
	maxHotFactor = 20     // at this factor, one broker in twenty receives the whole rate
	maxLoss      = 0.9    // above this loss, TCP gives up, which is a different fault

	maxHollowBrokers    = 1500
	maxHollowPerProcess = 100
	maxHollowRate       = 2000 // requests per second and broker
	maxHollowVolumes    = 100_000
	maxProcesses        = 400
	maxMemoryMB         = 12 << 10
	hollowMemoryMB      = 8 // assumed memory use of a hollow broker
)

// Defaults of scenario keys.
const (
	defaultSlots            = 8
	defaultQueue            = 64
	defaultUnitMS           = 2
	defaultMemoryLimitMB    = 48 // a broker's share of a small host
	defaultHollowPerProcess = 31
)

// Validate sets the defaults of missing keys and returns a KeyError for the first invalid key.
func (s *Scenario) Validate() error {
	s.setDefaults()
	for _, check := range []func() error{s.checkSizes, s.checkHollow, s.checkAgreement, s.checkEvents} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Scenario) setDefaults() {
	s.Shards = cmp.Or(s.Shards, 1)
	s.MemoryLimitMB = cmp.Or(s.MemoryLimitMB, defaultMemoryLimitMB)
	s.Node.Slots = cmp.Or(s.Node.Slots, defaultSlots)
	s.Node.Queue = cmp.Or(s.Node.Queue, defaultQueue)
	s.Node.UnitMS = cmp.Or(s.Node.UnitMS, defaultUnitMS)
	s.Node.Zones = cmp.Or(s.Node.Zones, 1)
	s.Hollow.PerProcess = cmp.Or(s.Hollow.PerProcess, defaultHollowPerProcess)
	s.Hollow.Volumes = cmp.Or(s.Hollow.Volumes, 1)
}

func (s *Scenario) checkSizes() error {
	switch {
	case s.Brokers < 1 || s.Brokers > maxBrokers:
		return invalid("brokers", "%d is not within 1 to %d", s.Brokers, maxBrokers)
	case s.Node.Count < 1 || s.Node.Count > maxNodes:
		return invalid("node.count", "%d is not within 1 to %d", s.Node.Count, maxNodes)
	case s.Shards < 1 || s.Shards > s.Node.Count:
		return invalid("shards", "%d is not within 1 to node.count", s.Shards)
	case !(s.DurationS > 0) || s.DurationS > maxDurationS:
		return invalid("for_s", "%v is not within 0 to %d", s.DurationS, maxDurationS)
	case !(s.Rate > 0) || s.Rate*float64(s.Brokers) > maxTotalRate:
		return invalid("rate", "%v per broker is not above 0, or the total is above %d", s.Rate, maxTotalRate)
	case s.HotFactor < 0 || s.HotFactor > maxHotFactor:
		return invalid("uneven", "%v is not within 0 to %d", s.HotFactor, maxHotFactor)
	case s.WriteFraction < 0 || s.WriteFraction > 1:
		return invalid("writes", "%v is not within 0 to 1", s.WriteFraction)
	case s.Node.Slots < 1 || s.Node.Queue < 0 || !(s.Node.UnitMS > 0) || s.Node.Zones < 1:
		return invalid("node", "slots, unit_ms and zones must be above 0, and room must not be negative")
	}
	return nil
}

func (s *Scenario) checkHollow() error {
	h := s.Hollow
	switch {
	case h.Brokers < 0 || h.Brokers > maxHollowBrokers:
		return invalid("hollow.brokers", "%d is not within 0 to %d", h.Brokers, maxHollowBrokers)
	case h.PerProcess < 1 || h.PerProcess > maxHollowPerProcess:
		return invalid("hollow.each", "%d is not within 1 to %d", h.PerProcess, maxHollowPerProcess)
	case h.Rate < 0 || h.Rate > maxHollowRate || h.Volumes < 1 || h.Volumes > maxHollowVolumes:
		return invalid("hollow", "rate %v is not within 0 to %d, or volumes %d is not within 1 to %d",
			h.Rate, maxHollowRate, h.Volumes, maxHollowVolumes)
	case h.Brokers == 0:
		return nil
	}
	processes := s.Brokers + (h.Brokers+h.PerProcess-1)/h.PerProcess
	if processes > maxProcesses {
		return invalid("hollow.each", "%d processes are more than %d", processes, maxProcesses)
	}
	memoryMB := float64(s.Brokers)*s.MemoryLimitMB + float64(h.Brokers)*hollowMemoryMB
	if memoryMB > maxMemoryMB {
		return invalid("hollow.brokers",
			"%.0f MB are more than %d MB: %d processes of %.0f MB and %d hollow brokers of %d MB",
			memoryMB, maxMemoryMB, s.Brokers, s.MemoryLimitMB, h.Brokers, hollowMemoryMB)
	}
	return nil
}

func (s *Scenario) checkAgreement() error {
	a := s.Agreement
	switch {
	case !slices.Contains([]int{0, 3, 5, 7}, a.Voters) || a.Voters > s.Brokers:
		return invalid("agreement.voters", "%d is not 0, 3, 5 or 7, or exceeds the number of brokers", a.Voters)
	case a.BoundMS < 0 || a.MaxChildren < 0 || a.LimitFloor < 0 || a.ChangeIntervalS < 0:
		return invalid("agreement", "bound_ms, feeds, floor and change_s must not be negative")
	case a.DedicatedVoters && (a.Voters == 0 || a.Voters == s.Brokers):
		return invalid("agreement.control", "requires voters and at least one broker that is not a voter")
	case a.Voters == 0 && a.ChangeIntervalS > 0:
		return invalid("agreement.change_s", "requires voters")
	}
	return nil
}

func (s *Scenario) checkEvents() error {
	for i, event := range s.Events {
		key := fmt.Sprintf("event[%d]", i)
		for _, check := range []func(string, Event) error{
			s.checkEventValues, checkEventOptions, s.checkEventTargets,
		} {
			if err := check(key, event); err != nil {
				return err
			}
		}
	}
	return nil
}

// needAmount lists the events that require Event.Amount.
var needAmount = []EventKind{
	NodeSlow, NodePace, NodeCut, NodeLoss, BrokerClientPace, BrokerClientCut, BrokerBurst,
}

func (s *Scenario) checkEventValues(key string, e Event) error {
	switch {
	case !e.Kind.ofNodes() && !e.Kind.ofBrokers():
		return invalid(key+".what", "%q is not one of %v or %v", e.Kind, nodeEvents, brokerEvents)
	case e.AtS < 0 || e.AtS > s.DurationS:
		return invalid(key+".at_s", "%v is not within for_s", e.AtS)
	case e.DurationS < 0 || e.DelayMS < 0 || e.JitterMS < 0 || e.Amount < 0 || e.Fraction < 0 || e.Fraction > 1:
		return invalid(key, "for_s, ms, jitter_ms and by must not be negative, and part must be within 0 to 1")
	case slices.Contains(needAmount, e.Kind) && !(e.Amount > 0):
		return invalid(key+".by", "must be above 0")
	case e.Kind == NodeLoss && e.Amount > maxLoss:
		return invalid(key+".by", "a loss of %v is above %v", e.Amount, maxLoss)
	}
	return nil
}

func checkEventOptions(key string, e Event) error {
	switch {
	case e.Waves < 0 || e.Waves > 0 && (e.Kind.ofNodes() || e.DurationS == 0):
		return invalid(key+".waves", "is negative, or the event is not a broker event with for_s")
	case !slices.Contains([]Direction{"", Answers, Requests, Both}, e.Direction):
		return invalid(key+".way", "%q is not answers, requests or both", e.Direction)
	case e.Direction != "" && e.Kind != NodeDelay && e.Kind != NodeLoss:
		return invalid(key+".way", "applies only to the events delay and loss")
	case e.Kind == ViewContradicts && len(e.Nodes) == 0:
		return invalid(key+".nodes", "requires the nodes to list as draining to these brokers")
	}
	return nil
}

func (s *Scenario) checkEventTargets(key string, e Event) error {
	targets := e.Brokers
	if e.Kind.ofNodes() {
		targets = e.Nodes
	}
	if len(targets) == 0 && e.Fraction == 0 {
		return invalid(key, "no target: requires nodes, brokers or part")
	}
	for _, n := range e.Nodes {
		if n < 0 || n >= s.Node.Count {
			return invalid(key+".nodes", "node %d does not exist", n)
		}
	}
	for _, b := range e.Brokers {
		if b < 0 || b >= s.Brokers {
			return invalid(key+".brokers", "broker %d does not exist", b)
		}
	}
	return nil
}
