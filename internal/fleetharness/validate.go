package fleetharness

import (
	"cmp"
	"fmt"
	"slices"
)

// KeyError names a scenario's key whose value makes no sense.
type KeyError struct {
	Key    string
	Reason string
}

// Error implements error.
func (e *KeyError) Error() string { return e.Key + ": " + e.Reason }

func invalid(key, format string, args ...any) error {
	return &KeyError{Key: key, Reason: fmt.Sprintf(format, args...)}
}

// The bounds of a scenario. It must run on one machine: above them the machine's own queues, descriptors and memory
// show in the figures in place of the brokers'.
const (
	maxBrokers   = 400
	maxNodes     = 1600
	maxDurationS = 600
	maxTotalRate = 20_000 // requests a second of all brokers
	maxHotFactor = 20     // with one broker in twenty, the others would have nothing left
	maxLoss      = 0.9    // above it TCP gives up, which is another fault

	maxHollowBrokers    = 1500
	maxHollowPerProcess = 100
	maxHollowRate       = 2000 // requests a second and broker
	maxHollowVolumes    = 100_000
	maxProcesses        = 400
	maxMemoryMB         = 12 << 10
	hollowMemoryMB      = 8 // what a hollow broker is taken to need
)

// What a scenario has where it says nothing.
const (
	defaultSlots            = 8
	defaultQueue            = 64
	defaultUnitMS           = 2
	defaultMemoryLimitMB    = 48 // a broker's share of a small host
	defaultHollowPerProcess = 31
)

// Validate completes a scenario with defaults and names the first key that makes no sense.
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
		return invalid("rate", "%v a broker is not above 0, or over %d in all", s.Rate, maxTotalRate)
	case s.HotFactor < 0 || s.HotFactor > maxHotFactor:
		return invalid("uneven", "%v is not within 0 to %d", s.HotFactor, maxHotFactor)
	case s.WriteFraction < 0 || s.WriteFraction > 1:
		return invalid("writes", "%v is not within 0 to 1", s.WriteFraction)
	case s.Node.Slots < 1 || s.Node.Queue < 0 || !(s.Node.UnitMS > 0) || s.Node.Zones < 1:
		return invalid("node", "slots, unit_ms and zones must be above 0")
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
		return invalid("hollow", "rate %v is not within 0 to %d, or volumes %d not within 1 to %d",
			h.Rate, maxHollowRate, h.Volumes, maxHollowVolumes)
	case h.Brokers == 0:
		return nil
	}
	processes := s.Brokers + (h.Brokers+h.PerProcess-1)/h.PerProcess
	if processes > maxProcesses {
		return invalid("hollow.each", "%d processes are over %d", processes, maxProcesses)
	}
	memoryMB := float64(s.Brokers)*s.MemoryLimitMB + float64(h.Brokers)*hollowMemoryMB
	if memoryMB > maxMemoryMB {
		return invalid("hollow.brokers",
			"%.0f MB would be over %d: %d processes of %.0f MB and %d hollow brokers of %d MB",
			memoryMB, maxMemoryMB, s.Brokers, s.MemoryLimitMB, h.Brokers, hollowMemoryMB)
	}
	return nil
}

func (s *Scenario) checkAgreement() error {
	a := s.Agreement
	switch {
	case !slices.Contains([]int{0, 3, 5, 7}, a.Voters) || a.Voters > s.Brokers:
		return invalid("agreement.voters", "%d is none of 3, 5 and 7, or more than brokers", a.Voters)
	case a.BoundMS < 0 || a.MaxChildren < 0 || a.LimitFloor < 0 || a.ChangeIntervalS < 0:
		return invalid("agreement", "bound_ms, feeds, floor and change_s can't be negative")
	case a.DedicatedVoters && (a.Voters == 0 || a.Voters == s.Brokers):
		return invalid("agreement.control", "voters and brokers beside them are wanted")
	case a.Voters == 0 && a.ChangeIntervalS > 0:
		return invalid("agreement.change_s", "there are no voters")
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

// needAmount are the events that mean nothing without Event.Amount.
var needAmount = []EventKind{
	NodeSlow, NodePace, NodeCut, NodeLoss, BrokerClientPace, BrokerClientCut, BrokerBurst,
}

func (s *Scenario) checkEventValues(key string, e Event) error {
	switch {
	case !e.Kind.ofNodes() && !e.Kind.ofBrokers():
		return invalid(key+".what", "%q is neither of %v nor of %v", e.Kind, nodeEvents, brokerEvents)
	case e.AtS < 0 || e.AtS > s.DurationS:
		return invalid(key+".at_s", "%v is not within for_s", e.AtS)
	case e.DurationS < 0 || e.DelayMS < 0 || e.JitterMS < 0 || e.Amount < 0 || e.Fraction < 0 || e.Fraction > 1:
		return invalid(key, "for_s, ms, by and part can't be negative, nor part above 1")
	case slices.Contains(needAmount, e.Kind) && !(e.Amount > 0):
		return invalid(key+".by", "a figure above 0 is wanted")
	case e.Kind == NodeLoss && e.Amount > maxLoss:
		return invalid(key+".by", "a loss of %v is over %v", e.Amount, maxLoss)
	}
	return nil
}

func checkEventOptions(key string, e Event) error {
	switch {
	case e.Waves < 0 || e.Waves > 0 && (e.Kind.ofNodes() || e.DurationS == 0):
		return invalid(key+".waves", "is of events of brokers with for_s alone, and not below 0")
	case !slices.Contains([]Direction{"", Answers, Requests, Both}, e.Direction):
		return invalid(key+".way", "%q is none of answers, requests and both", e.Direction)
	case e.Direction != "" && e.Kind != NodeDelay && e.Kind != NodeLoss:
		return invalid(key+".way", "is of delay and loss alone")
	case e.Kind == ViewContradicts && len(e.Nodes) == 0:
		return invalid(key+".nodes", "the nodes that are listed as draining to these brokers are wanted")
	}
	return nil
}

func (s *Scenario) checkEventTargets(key string, e Event) error {
	targets := e.Brokers
	if e.Kind.ofNodes() {
		targets = e.Nodes
	}
	if len(targets) == 0 && e.Fraction == 0 {
		return invalid(key, "no target: nodes, brokers or part")
	}
	for _, n := range e.Nodes {
		if n < 0 || n >= s.Node.Count {
			return invalid(key+".nodes", "there is no node %d", n)
		}
	}
	for _, b := range e.Brokers {
		if b < 0 || b >= s.Brokers {
			return invalid(key+".brokers", "there is no broker %d", b)
		}
	}
	return nil
}
