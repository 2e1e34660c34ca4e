package fleetharness

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/BurntSushi/toml"
)

// Scenario describes a fleet, its traffic and its events. Times are in seconds from the start of the traffic.
type Scenario struct {
	Name          string    `toml:"name"`
	Seed          uint64    `toml:"seed"`
	Brokers       int       `toml:"brokers"`
	Peers         bool      `toml:"peers"`  // brokers may send datagrams to each other
	Shards        int       `toml:"shards"` // nodes are assigned to shards round-robin; 0: one shard
	DurationS     float64   `toml:"for_s"`
	Rate          float64   `toml:"rate"`   // mean number of requests per second and broker
	HotFactor     float64   `toml:"uneven"` // multiple of the mean rate at one broker in twenty; 0 or 1: equal rates
	WriteFraction float64   `toml:"writes"` // fraction of requests that are not idempotent
	MemoryLimitMB float64   `toml:"limit_mb"`
	SiteTOML      string    `toml:"site"`  // content of the site file of every broker
	Plans         string    `toml:"plans"` // JSON of service levels that replaces defaultPlans
	Node          NodeSpec  `toml:"node"`
	Agreement     Agreement `toml:"agreement"`
	Hollow        Hollow    `toml:"hollow"`
	Events        []Event   `toml:"event"`
}

// NodeSpec holds the properties that all fake nodes have.
type NodeSpec struct {
	Count  int     `toml:"count"`
	Slots  int     `toml:"slots"`   // commands that a node serves concurrently
	Queue  int     `toml:"room"`    // commands that may wait for a slot; a node rejects further commands
	UnitMS float64 `toml:"unit_ms"` // mean service time of a unit
	Zones  int     `toml:"zones"`   // nodes and brokers are assigned to zones round-robin; 0: one zone
}

// Agreement makes brokers replicate their configuration over links of the harness.
type Agreement struct {
	Voters          int     `toml:"voters"`   // number of voters, which are the first brokers; 0: no replication
	BoundMS         float64 `toml:"bound_ms"` // 0: the daemon's default
	MaxChildren     int     `toml:"feeds"`    // maximum number of children of a broker; 0: the daemon's default
	Persistent      bool    `toml:"disk"`     // voters keep their state across restarts
	LimitFloor      float64 `toml:"floor"`    // limit floor of plan basico; 0: the limit is not replicated
	DedicatedVoters bool    `toml:"control"`  // voters are control processes; other brokers have no children
	ChangeIntervalS float64 `toml:"change_s"` // interval at which a random broker proposes a change; 0: never
}

// Hollow adds brokers that run only the control code of the daemon, many in one process.
type Hollow struct {
	Brokers    int     `toml:"brokers"`
	PerProcess int     `toml:"each"`    // 0: defaultHollowPerProcess
	Rate       float64 `toml:"rate"`    // synthetic requests per second and broker, which are not sent to nodes
	Volumes    int     `toml:"volumes"` // volumes of these requests, the same ones at all brokers; 0: 1
}

// Event is a fault or change that the harness injects at a given time.
type Event struct {
	AtS       float64   `toml:"at_s"`
	Kind      EventKind `toml:"what"`
	Nodes     []int     `toml:"nodes"`     // targets by number
	Brokers   []int     `toml:"brokers"`   // targets; of a node event: the only brokers that it affects
	Fraction  float64   `toml:"part"`      // fraction of all nodes or brokers, drawn from the seed, instead of numbers
	DurationS float64   `toml:"for_s"`     // 0: until the end of the run
	DelayMS   float64   `toml:"ms"`        // length of a delay
	JitterMS  float64   `toml:"jitter_ms"` // upper bound of the random addition to the delay
	Amount    float64   `toml:"by"`        // see EventKind
	Waves     int       `toml:"waves"`     // number of groups of brokers, affected one after another; 0: one group
	Direction Direction `toml:"way"`       // direction of a delay or loss
}

// EventKind names the kind of an event. In the comments below, "by" is Event.Amount and "ms" is Event.DelayMS.
type EventKind string

// Events that affect nodes.
const (
	NodeSilent      EventKind = "silent" // accepts connections and never answers
	NodeAnswersLost EventKind = "oneway" // reads and serves requests, but its answers are lost
	NodeSlow        EventKind = "slow"   // works at its usual speed multiplied by "by"
	NodeDelay       EventKind = "delay"  // its link has a delay of "ms"
	NodeLoss        EventKind = "loss"   // its link loses a fraction "by" of packets; TCP retransmits them
	NodePace        EventKind = "pace"   // sends answers at "by" bytes per second
	NodeCut         EventKind = "cut"    // resets a connection after "by" bytes of an answer
	NodeReset       EventKind = "reset"  // resets all connections once
	NodeCrash       EventKind = "crash"  // refuses connections; is a newly started node afterwards
	NodeJoin        EventKind = "join"   // a newly started node with a new name joins the shard of the target
	NodeDrain       EventKind = "drain"  // discovery lists it as draining
	NodeReportsIdle EventKind = "lie"    // reports 0 commands in flight, regardless of its load
)

// Events that affect brokers.
const (
	BrokerKill        EventKind = "kill"         // SIGKILL; restarted after the duration if there is one
	BrokerTerminate   EventKind = "term"         // SIGTERM; restarted after the duration if there is one
	BrokerStop        EventKind = "stop"         // SIGSTOP; SIGCONT after the duration
	BrokerDeaf        EventKind = "deaf"         // a fraction "by" of its datagrams is lost; 0: all
	BrokerDatagrams   EventKind = "datagrams"    // its datagrams are delayed by "ms"; jitter reorders them
	BrokerClientDelay EventKind = "client_delay" // data from its clients is delayed by "ms"
	BrokerClientPace  EventKind = "client_pace"  // its clients send at "by" bytes per second
	BrokerClientCut   EventKind = "client_cut"   // its clients reset the connection after "by" bytes of each request
	BrokerBurst       EventKind = "burst"        // its clients send "by" times the usual rate
)

// Events that affect the links between some brokers and all others over which the configuration is replicated.
const (
	AgreementCut  EventKind = "agree_cut"  // drops data in both directions
	AgreementMute EventKind = "agree_mute" // drops data that these brokers send
	AgreementDeaf EventKind = "agree_deaf" // drops data that is sent to these brokers
)

// Events that affect the endpoint list that discovery sends to a broker.
const (
	ViewStale       EventKind = "stale"      // no newer version is sent
	ViewLate        EventKind = "late"       // newer versions are delayed by "ms"
	ViewUnavailable EventKind = "blind"      // polls fail
	ViewEmpty       EventKind = "empty"      // a list without nodes
	ViewContradicts EventKind = "contradict" // Event.Nodes are listed as draining, but only for these brokers
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

// ofAgreement reports whether an event affects the links over which the configuration is replicated.
func (k EventKind) ofAgreement() bool {
	return k == AgreementCut || k == AgreementMute || k == AgreementDeaf
}

// Direction selects the direction of a link that an event affects.
type Direction string

// The directions. An empty direction is the same as Answers.
const (
	Answers  Direction = "answers"
	Requests Direction = "requests"
	Both     Direction = "both"
)

// Load reads and validates a scenario file. An unknown key or an invalid value is reported as a KeyError.
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

// totalBrokers returns the number of full and hollow brokers.
func (s *Scenario) totalBrokers() int { return s.Brokers + s.Hollow.Brokers }

// targetStream is the second half of the seed from which targets are drawn. Another value would select other targets
// for each recorded seed.
const targetStream = 0xf1ee7

// drawTargets replaces the fractions in events by randomly drawn targets.
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
