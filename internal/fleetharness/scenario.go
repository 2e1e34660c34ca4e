package fleetharness

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/BurntSushi/toml"
)

// Scenario is a fleet, its traffic and its events. Times are seconds from the start of the traffic.
type Scenario struct {
	Name          string    `toml:"name"`
	Seed          uint64    `toml:"seed"`
	Brokers       int       `toml:"brokers"`
	Peers         bool      `toml:"peers"`  // brokers may send datagrams to each other
	Shards        int       `toml:"shards"` // nodes are dealt out to them in turn; 0: one
	DurationS     float64   `toml:"for_s"`
	Rate          float64   `toml:"rate"`   // requests a second and broker, in the mean
	HotFactor     float64   `toml:"uneven"` // one broker in twenty gets so many times the mean; 0 or 1: all the same
	WriteFraction float64   `toml:"writes"` // of the requests, those that are not idempotent
	MemoryLimitMB float64   `toml:"limit_mb"`
	SiteTOML      string    `toml:"site"`  // text of a site file for every broker
	Plans         string    `toml:"plans"` // JSON of service levels in place of the harness's own
	Node          NodeSpec  `toml:"node"`
	Agreement     Agreement `toml:"agreement"`
	Hollow        Hollow    `toml:"hollow"`
	Events        []Event   `toml:"event"`
}

// NodeSpec is what every fake node is.
type NodeSpec struct {
	Count  int     `toml:"count"`
	Slots  int     `toml:"slots"`   // commands at once
	Queue  int     `toml:"room"`    // commands that wait beyond; more are rejected
	UnitMS float64 `toml:"unit_ms"` // service time of a unit, in the mean
	Zones  int     `toml:"zones"`   // nodes and brokers are dealt out to them in turn; 0: one
}

// Agreement has brokers replicate their configuration, over links of the harness.
type Agreement struct {
	Voters          int     `toml:"voters"`   // the first so many brokers; 0: nothing is replicated
	BoundMS         float64 `toml:"bound_ms"` // 0: the daemon's own
	MaxChildren     int     `toml:"feeds"`    // of a broker in the tree; 0: the daemon's own
	Persistent      bool    `toml:"disk"`     // voters keep their state over restarts
	LimitFloor      float64 `toml:"floor"`    // of the limit of plan basico; 0: it is not replicated
	DedicatedVoters bool    `toml:"control"`  // voters are control processes without clients; others have no children
	ChangeIntervalS float64 `toml:"change_s"` // a random broker proposes a change each so many seconds; 0: none
}

// Hollow adds brokers that are only the control side of one, many to a process.
type Hollow struct {
	Brokers    int     `toml:"brokers"`
	PerProcess int     `toml:"each"`    // 0: defaultHollowPerProcess
	Rate       float64 `toml:"rate"`    // requests a second and broker that are drawn and go nowhere
	Volumes    int     `toml:"volumes"` // of these requests, the same ones at all brokers; 0: 1
}

// Event is something that happens at a time.
type Event struct {
	AtS       float64   `toml:"at_s"`
	Kind      EventKind `toml:"what"`
	Nodes     []int     `toml:"nodes"`     // targets by number
	Brokers   []int     `toml:"brokers"`   // targets; of an event of nodes: seen by these brokers alone
	Fraction  float64   `toml:"part"`      // instead of numbers: a fraction of all, drawn from the seed
	DurationS float64   `toml:"for_s"`     // 0: to the end
	DelayMS   float64   `toml:"ms"`        // of a delay
	JitterMS  float64   `toml:"jitter_ms"` // random, on top of it
	Amount    float64   `toml:"by"`        // see EventKind
	Waves     int       `toml:"waves"`     // brokers are hit in so many groups, one after another; 0: all at once
	Direction Direction `toml:"way"`       // of a delay or loss
}

// EventKind names what happens. "by" is Event.Amount, "ms" Event.DelayMS.
type EventKind string

// Events of nodes.
const (
	NodeSilent      EventKind = "silent" // accepts and never answers
	NodeAnswersLost EventKind = "oneway" // reads and works, but its answers are lost
	NodeSlow        EventKind = "slow"   // works at by times its speed
	NodeDelay       EventKind = "delay"  // its link is ms late
	NodeLoss        EventKind = "loss"   // by of its packets are lost, and sent again by TCP after a timeout
	NodePace        EventKind = "pace"   // answers at by bytes a second
	NodeCut         EventKind = "cut"    // resets a connection after by bytes of an answer
	NodeReset       EventKind = "reset"  // resets all connections once
	NodeCrash       EventKind = "crash"  // refuses connections; comes back newly started
	NodeJoin        EventKind = "join"   // a node that has just started joins beside it, under a new name
	NodeDrain       EventKind = "drain"  // is listed as draining
	NodeReportsIdle EventKind = "lie"    // reports that it is idle, whatever it holds
)

// Events of brokers.
const (
	BrokerKill        EventKind = "kill"         // SIGKILL; started again after the duration, if there is one
	BrokerTerminate   EventKind = "term"         // SIGTERM, likewise
	BrokerStop        EventKind = "stop"         // SIGSTOP, then SIGCONT
	BrokerDeaf        EventKind = "deaf"         // by of its datagrams are lost; 0: all
	BrokerDatagrams   EventKind = "datagrams"    // its datagrams come ms later, with jitter out of order
	BrokerClientDelay EventKind = "client_delay" // what its clients send comes ms later
	BrokerClientPace  EventKind = "client_pace"  // its clients send at by bytes a second
	BrokerClientCut   EventKind = "client_cut"   // its clients reset after by bytes of each request
	BrokerBurst       EventKind = "burst"        // its clients ask by times as often
)

// Events of the links between some brokers and all others over which the configuration is replicated.
const (
	AgreementCut  EventKind = "agree_cut"  // nothing gets through
	AgreementMute EventKind = "agree_mute" // nothing that these send gets through
	AgreementDeaf EventKind = "agree_deaf" // nothing that is sent to these gets through
)

// Events of what discovery tells a broker.
const (
	ViewStale       EventKind = "stale"      // nothing new
	ViewLate        EventKind = "late"       // everything new ms later
	ViewUnavailable EventKind = "blind"      // polls fail
	ViewEmpty       EventKind = "empty"      // a list without nodes
	ViewContradicts EventKind = "contradict" // Event.Nodes are listed as draining, to these brokers alone
)

var nodeEvents = []EventKind{
	NodeSilent, NodeSlow, NodeDelay, NodeLoss, NodePace, NodeCut, NodeReset, NodeCrash, NodeJoin, NodeDrain,
	NodeReportsIdle, NodeAnswersLost,
}

var brokerEvents = []EventKind{
	BrokerKill, BrokerTerminate, BrokerStop, BrokerDeaf, BrokerDatagrams,
	AgreementCut, AgreementMute, AgreementDeaf,
	BrokerClientDelay, BrokerClientPace, BrokerClientCut, BrokerBurst,
	ViewStale, ViewLate, ViewUnavailable, ViewEmpty, ViewContradicts,
}

func (k EventKind) ofNodes() bool { return slices.Contains(nodeEvents, k) }

func (k EventKind) ofBrokers() bool { return slices.Contains(brokerEvents, k) }

// ofAgreement reports whether an event is one of the links over which the configuration is replicated.
func (k EventKind) ofAgreement() bool {
	return k == AgreementCut || k == AgreementMute || k == AgreementDeaf
}

// Direction is which way of a link an event concerns.
type Direction string

// The directions. None is the same as Answers.
const (
	Answers  Direction = "answers"
	Requests Direction = "requests"
	Both     Direction = "both"
)

// Load reads a scenario. Errors name the key.
func Load(path string) (*Scenario, error) {
	var s Scenario
	meta, err := toml.DecodeFile(path, &s)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: %w", path, invalid(unknown[0].String(), "unknown key"))
	}
	if err := s.Validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &s, nil
}

// totalBrokers counts the hollow ones as well.
func (s *Scenario) totalBrokers() int { return s.Brokers + s.Hollow.Brokers }

// targetStream is the second half of the seed of the draws of targets. Another value would hit other targets for each
// recorded seed.
const targetStream = 0xf1ee7

// drawTargets replaces the fractions of events by targets.
func (s *Scenario) drawTargets() {
	random := rand.New(rand.NewPCG(s.Seed, targetStream))
	draw := func(fraction float64, count int) []int {
		chosen := random.Perm(count)[:min(count, int(fraction*float64(count)+0.5))]
		slices.Sort(chosen)
		return chosen
	}
	for i := range s.Events {
		event := &s.Events[i]
		switch {
		case event.Fraction <= 0:
		case event.Kind.ofNodes():
			event.Nodes = draw(event.Fraction, s.Node.Count)
		default:
			event.Brokers = draw(event.Fraction, s.Brokers)
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
