// Package fleetharness runs many processes of the daemon against fake nodes, discovery and clients, with links between them that
// it owns and breaks, and checks the rules of the protocol on every byte that nodes and clients see.
//
// All addresses lie in one block 127.B of the loopback range, so that who calls is told by the source address: brokers get one of
// their own (local_address) and no privilege is needed. All times are of CLOCK_MONOTONIC, which all processes share; nothing
// outlives the harness, since the kernel kills its children with the thread that started them.
package fleetharness

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/BurntSushi/toml"
)

// Scenario is a fleet, its traffic and what goes wrong. Times are seconds from the start of the traffic.
type Scenario struct {
	Name          string    `toml:"name"`
	Seed          uint64    `toml:"seed"`
	Brokers       int       `toml:"brokers"`
	Peers         bool      `toml:"peers"`  // brokers may talk to each other
	Shards        int       `toml:"shards"` // nodes are dealt out to them in turn; 0: one
	DurationS     float64   `toml:"for_s"`
	Rate          float64   `toml:"rate"`   // requests a second and broker, in the mean
	HotFactor     float64   `toml:"uneven"` // some brokers get so many times the mean: one in twenty; 0 or 1: all alike
	WriteFraction float64   `toml:"writes"` // part of the requests that must not run twice
	MemoryLimitMB float64   `toml:"limit_mb"`
	SiteTOML      string    `toml:"site"`  // text of a site file for every broker
	Plans         string    `toml:"plans"` // JSON of service levels in place of the rig's own
	Node          NodeSpec  `toml:"node"`
	Agreement     Agreement `toml:"agreement"`
	Hollow        Hollow    `toml:"hollow"`
	Events        []Event   `toml:"event"`
}

// NodeSpec is what every stand-in node is.
type NodeSpec struct {
	Count  int     `toml:"count"`
	Slots  int     `toml:"slots"`   // commands at once
	Queue  int     `toml:"room"`    // commands that wait beyond; more are turned away
	UnitMS float64 `toml:"unit_ms"` // for a unit, in the mean
	Zones  int     `toml:"zones"`   // nodes and brokers are dealt out to them in turn; 0: one
}

// Event is something that happens at a time.
type Event struct {
	AtS       float64 `toml:"at_s"`
	Kind      string  `toml:"what"`
	Nodes     []int   `toml:"nodes"`     // targets by number
	Brokers   []int   `toml:"brokers"`   // for what happens between nodes and brokers, these brokers alone
	Fraction  float64 `toml:"part"`      // instead of numbers: a part of all, drawn by the seed
	DurationS float64 `toml:"for_s"`     // 0: to the end
	DelayMS   float64 `toml:"ms"`        // of a delay
	JitterMS  float64 `toml:"jitter_ms"` // drawn on top of it
	Amount    float64 `toml:"by"`        // of a speed; the part that is lost; bytes a second; the byte behind which an answer or a request is cut
	Waves     int     `toml:"waves"`     // brokers are hit in so many groups, one behind another: a rolling restart; 0: all at once
	Direction string  `toml:"way"`       // of a delay or loss: answers (as without it), requests or both
}

// What may happen. Of nodes: silent (accepts, never answers), slow (speed by), delay (by ms), loss (of the part by of the packets, each sent
// again by TCP after its timeout), pace (of answers, by bytes a second), cut (a reset behind so many bytes of an answer), reset
// (connections, once), crash (refuses connections), join (cold, under a new name in place of none), drain, lie (reports an idle node).
// Of brokers: kill (and start again after for_s, if that is above 0), term, stop (SIGSTOP, then SIGCONT), deaf (peers' datagrams are
// lost by the part by), datagrams (come ms later, and up to jitter_ms more: out of order), client_delay (what clients send comes ms later),
// client_pace (at by bytes a second), client_cut (the client resets behind by bytes of each request), burst (clients ask by times as often).
// agree_cut, agree_mute, agree_deaf (the agreement's links between these brokers and all others carry nothing, nothing that these say,
// nothing that these would hear).
// Of a broker's view of discovery: stale (nothing new), late (everything new ms later), blind (refused), empty (a list without nodes),
// contradict (nodes are listed as draining to these brokers alone).
var nodeEvents = []string{"silent", "slow", "delay", "loss", "pace", "cut", "reset", "crash", "join", "drain", "lie", "oneway"}
var brokerEvents = []string{"kill", "term", "stop", "deaf", "datagrams", "agree_cut", "agree_mute", "agree_deaf", "client_delay", "client_pace", "client_cut", "burst", "stale", "late", "blind", "empty", "contradict"}

// The bounds of a scenario: it must run on one machine.
const (
	mostBrokers = 400
	mostNodes   = 1600
	mostSeconds = 600
	mostRate    = 20_000 // in all
)

// Load reads a scenario. Errors name the key.
func Load(path string) (*Scenario, error) {
	var s Scenario
	meta, err := toml.DecodeFile(path, &s)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: %s: unknown key", path, unknown[0])
	}
	if err := s.Validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &s, nil
}

// Validate completes a scenario and names the first key that makes no sense.
func (s *Scenario) Validate() error {
	defaults := func(v *int, to int) {
		if *v == 0 {
			*v = to
		}
	}
	defaults(&s.Shards, 1)
	defaults(&s.Node.Slots, 8)
	defaults(&s.Node.Queue, 64)
	defaults(&s.Node.Zones, 1)
	if s.Node.UnitMS == 0 {
		s.Node.UnitMS = 2
	}
	if s.MemoryLimitMB == 0 {
		s.MemoryLimitMB = 48
	}
	switch {
	case s.Brokers < 1 || s.Brokers > mostBrokers:
		return fmt.Errorf("brokers: %d is not within 1 to %d", s.Brokers, mostBrokers)
	case s.Node.Count < 1 || s.Node.Count > mostNodes:
		return fmt.Errorf("node.count: %d is not within 1 to %d", s.Node.Count, mostNodes)
	case s.Shards < 1 || s.Shards > s.Node.Count:
		return fmt.Errorf("shards: %d is not within 1 to node.count", s.Shards)
	case !(s.DurationS > 0) || s.DurationS > mostSeconds:
		return fmt.Errorf("for_s: %v is not within 0 to %d", s.DurationS, mostSeconds)
	case !(s.Rate > 0) || s.Rate*float64(s.Brokers) > mostRate:
		return fmt.Errorf("rate: %v a broker is not above 0, or over %d in all", s.Rate, mostRate)
	case s.HotFactor < 0 || s.HotFactor > 20:
		return fmt.Errorf("uneven: %v is not within 0 to 20", s.HotFactor)
	case s.WriteFraction < 0 || s.WriteFraction > 1:
		return fmt.Errorf("writes: %v is not within 0 to 1", s.WriteFraction)
	case s.Node.Slots < 1 || s.Node.Queue < 0 || !(s.Node.UnitMS > 0) || s.Node.Zones < 1:
		return fmt.Errorf("node: slots, unit_ms and zones must be above 0")
	}
	if err := s.checkHollow(); err != nil {
		return err
	}
	if err := s.Agreement.check(s.Brokers); err != nil {
		return err
	}
	for i, e := range s.Events {
		ofNodes := slices.Contains(nodeEvents, e.Kind)
		switch {
		case !ofNodes && !slices.Contains(brokerEvents, e.Kind):
			return fmt.Errorf("event[%d].what: %q is neither of %v nor of %v", i, e.Kind, nodeEvents, brokerEvents)
		case e.AtS < 0 || e.AtS > s.DurationS:
			return fmt.Errorf("event[%d].at_s: %v is not within for_s", i, e.AtS)
		case e.DurationS < 0 || e.DelayMS < 0 || e.JitterMS < 0 || e.Amount < 0 || e.Fraction < 0 || e.Fraction > 1:
			return fmt.Errorf("event[%d]: for_s, ms, by and part can't be negative, nor part above 1", i)
		case slices.Contains([]string{"slow", "pace", "cut", "loss", "client_pace", "client_cut", "burst"}, e.Kind) && !(e.Amount > 0):
			return fmt.Errorf("event[%d].by: a figure above 0 is wanted", i)
		case e.Kind == "loss" && e.Amount > 0.9:
			return fmt.Errorf("event[%d].by: a loss of %v is over 0.9", i, e.Amount)
		case e.Waves < 0 || e.Waves > 0 && (ofNodes || e.DurationS == 0):
			return fmt.Errorf("event[%d].waves: is of events of brokers with for_s alone, and not below 0", i)
		case e.Direction != "" && e.Direction != "answers" && e.Direction != "requests" && e.Direction != "both":
			return fmt.Errorf("event[%d].way: %q is none of answers, requests and both", i, e.Direction)
		case e.Direction != "" && e.Kind != "delay" && e.Kind != "loss":
			return fmt.Errorf("event[%d].way: is of delay and loss alone", i)
		case e.Kind == "contradict" && len(e.Nodes) == 0:
			return fmt.Errorf("event[%d].nodes: those that these brokers hear to be draining are wanted", i)
		case ofNodes && len(e.Nodes) == 0 && e.Fraction == 0 || !ofNodes && len(e.Brokers) == 0 && e.Fraction == 0:
			return fmt.Errorf("event[%d]: no target: nodes, brokers or part", i)
		}
		for _, n := range e.Nodes {
			if n < 0 || n >= s.Node.Count {
				return fmt.Errorf("event[%d].nodes: there is no node %d", i, n)
			}
		}
		for _, b := range e.Brokers {
			if b < 0 || b >= s.Brokers {
				return fmt.Errorf("event[%d].brokers: there is no broker %d", i, b)
			}
		}
	}
	return nil
}

// draw replaces parts by targets.
func (s *Scenario) draw() {
	random := rand.New(rand.NewPCG(s.Seed, 0xf1ee7))
	pick := func(part float64, of int) []int {
		chosen := random.Perm(of)[:min(of, int(part*float64(of)+0.5))]
		slices.Sort(chosen)
		return chosen
	}
	for i := range s.Events {
		e := &s.Events[i]
		if e.Fraction > 0 && slices.Contains(nodeEvents, e.Kind) {
			e.Nodes = pick(e.Fraction, s.Node.Count)
		} else if e.Fraction > 0 {
			e.Brokers = pick(e.Fraction, s.Brokers)
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
