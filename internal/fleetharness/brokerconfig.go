package fleetharness

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"junctionwharf/internal/fakes"
)

// Classes, plan and deadlines of requests, for brokers and clients alike.
const (
	readClass     = "lesson-read"
	writeClass    = "record-write"
	trafficPlan   = "basico"
	readDeadline  = 750 * time.Millisecond
	writeDeadline = 1200 * time.Millisecond
)

// Latency objectives of the two classes.
const (
	readObjective  = 150 * time.Millisecond
	writeObjective = 200 * time.Millisecond
)

// Limits of a broker process, as written to its configuration.
const (
	brokerCores   = 1
	brokerSockets = 256
)

// defaultPlans holds the service levels for scenarios that do not define any.
const defaultPlans = `[{"name":"basico","nominal":1000,"floorRate":500,"parts":1,"price":1}]`

// brokerConfig is the wire form of a broker's configuration file.
type brokerConfig struct {
	Name         string          `json:"name"`
	Listen       string          `json:"listen"`
	Console      string          `json:"console"`
	LocalAddress string          `json:"local_address"`
	Discovery    string          `json:"discovery"`
	Seed         string          `json:"seed"`
	Limits       processLimits   `json:"limits"`
	Settings     brokerSettings  `json:"settings"`
	Known        json.RawMessage `json:"known,omitempty"` // endpoint list that the broker had before a restart
	PeerListen   string          `json:"peer_listen,omitempty"`
	Peers        []string        `json:"peers,omitempty"`
}

type processLimits struct {
	Cores    int     `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// brokerSettings is the wire form of a broker's settings. Times are in µs.
type brokerSettings struct {
	Capabilities  capabilities    `json:"bounds"`
	Classes       []requestClass  `json:"classes"`
	Plans         json.RawMessage `json:"serviceLevels"`
	Telemetry     telemetry       `json:"telemetry"`
	Invariants    invariants      `json:"invariants"`
	Zone          string          `json:"zone"`
	Zones         []string        `json:"zones"`
	Specifics     specifics       `json:"specifics"`
	BrokerCount   int             `json:"nInstances"`
	BrokerOrdinal int             `json:"ordinal"`
}

type capabilities struct {
	Cancel         bool  `json:"cancel"`
	ConnIdle       int64 `json:"connIdle"`
	ConnectTimeout int64 `json:"connectTimeout"`
	MaxAttempts    int   `json:"maxAttempts"`
	MaxRetryAfter  int64 `json:"maxRetryAfter"`
	RetryAfter     bool  `json:"retryAfter"`
	Peers          bool  `json:"peers"`
}

type requestClass struct {
	Name        string  `json:"name"`
	Objective   int64   `json:"aim"`
	Deadline    int64   `json:"deadline"`
	Idempotency string  `json:"effect"`
	Importance  int     `json:"importance"`
	LateWeight  float64 `json:"lateWorth"`
}

type telemetry struct {
	Fields []string `json:"fields"`
	Via    string   `json:"via"`
}

type invariants struct {
	AnswerSlack       int64   `json:"answerSlack"`
	SlowStartDuration int64   `json:"cold"`
	SlowStartShare    float64 `json:"coldShare"`
	DrainGrace        int64   `json:"drainGrace"`
	SlowStartWindow   int64   `json:"fall"`
	SlowStartMultiple float64 `json:"fallMultiple"`
}

type specifics struct {
	MeanUnits         int     `json:"usualUnits"`
	MaxUnits          int     `json:"maxUnits"`
	Shards            int     `json:"nShards"`
	SlowStartMinUnits float64 `json:"youngLimit"`
	WithinShare       float64 `json:"withinShare"`
	IdleWeight        float64 `json:"idleWorth"`
}

// requestClasses returns the classes of the traffic. Reads are idempotent, writes are not.
func requestClasses() []requestClass {
	return []requestClass{
		{
			Name:        readClass,
			Objective:   readObjective.Microseconds(),
			Deadline:    readDeadline.Microseconds(),
			Idempotency: "safe",
			Importance:  3,
			LateWeight:  0.1,
		},
		{
			Name:        writeClass,
			Objective:   writeObjective.Microseconds(),
			Deadline:    writeDeadline.Microseconds(),
			Idempotency: "unsafe",
			Importance:  2,
			LateWeight:  0.1,
		},
	}
}

// settings returns the settings of a broker. Only the ordinal and the zone differ between brokers.
func (f *Fleet) settings(number int) brokerSettings {
	s := f.scenario
	zones := make([]string, s.Node.Zones)
	for i := range zones {
		zones[i] = zoneName(i)
	}
	return brokerSettings{
		Capabilities: capabilities{
			Cancel:         true,
			ConnIdle:       (30 * time.Second).Microseconds(),
			ConnectTimeout: (250 * time.Millisecond).Microseconds(),
			MaxAttempts:    4,
			MaxRetryAfter:  time.Second.Microseconds(),
			RetryAfter:     true,
			Peers:          s.Peers,
		},
		Classes:   requestClasses(),
		Plans:     json.RawMessage(cmp.Or(s.Plans, defaultPlans)),
		Telemetry: telemetry{Fields: []string{"inflight"}, Via: "inline"},
		Invariants: invariants{
			AnswerSlack:       (8 * time.Millisecond).Microseconds(),
			SlowStartDuration: slowStartDuration.Microseconds(),
			SlowStartShare:    slowStartShare,
			DrainGrace:        drainGrace.Microseconds(),
			SlowStartWindow:   slowStartWindow.Microseconds(),
			SlowStartMultiple: slowStartMultiple,
		},
		Zone:  zoneName(number % s.Node.Zones),
		Zones: zones,
		Specifics: specifics{
			MeanUnits:         2,
			MaxUnits:          4,
			Shards:            s.Shards,
			SlowStartMinUnits: slowStartMinUnits,
			WithinShare:       0.4,
			IdleWeight:        0.05,
		},
		BrokerCount:   s.totalBrokers(),
		BrokerOrdinal: number,
	}
}

// configure writes a broker's files. known is the endpoint list that the broker had before a restart, or nil. It
// returns the configuration and the path of the site file, which is empty if there is no site file.
func (f *Fleet) configure(b *broker, known json.RawMessage) (text []byte, sitePath string, err error) {
	config := brokerConfig{
		Name:         brokerName(b.number),
		Listen:       b.address,
		Console:      f.consoleAddress(b.number),
		LocalAddress: strings.Split(b.address, ":")[0],
		Discovery:    f.discovery.address,
		Seed:         f.randomSeed(),
		Limits:       processLimits{Cores: brokerCores, MemoryMB: f.scenario.MemoryLimitMB, Sockets: brokerSockets},
		Settings:     f.settings(b.number),
		Known:        known,
	}
	if f.scenario.Peers {
		config.PeerListen = f.address(brokerNet, b.number, peerPort)
		for i := range f.brokers {
			config.Peers = append(config.Peers, f.address(relayNet, i, peerPort))
		}
	}
	text, err = json.Marshal(config)
	if err != nil {
		return nil, "", err
	}
	text, err = fakes.CompleteConfig(text)
	if err != nil {
		return nil, "", err
	}
	home := filepath.Join(f.dir, strconv.Itoa(b.number))
	sitePath = filepath.Join(home, "site.toml")
	b.configPath = filepath.Join(home, "config.json")
	err = errors.Join(
		os.MkdirAll(home, 0o700),
		os.WriteFile(b.configPath, text, 0o600),
		os.WriteFile(sitePath, []byte(f.scenario.SiteTOML+f.agreementTOML(b.number, home)), 0o600),
	)
	if f.scenario.SiteTOML == "" && f.scenario.Agreement.Voters == 0 {
		sitePath = ""
	}
	return text, sitePath, err
}

// isDedicatedVoter reports whether a broker runs as a control process.
func (f *Fleet) isDedicatedVoter(number int) bool {
	return f.scenario.Agreement.DedicatedVoters && number < f.scenario.Agreement.Voters
}

// agreementTOML returns the agreement tables of the site file. Other brokers connect to a broker through its relay.
func (f *Fleet) agreementTOML(number int, home string) string {
	a := f.scenario.Agreement
	if a.Voters == 0 {
		return ""
	}
	var b strings.Builder
	b.WriteString("\n[agreement]\ncluster = \"fleet\"\n")
	if !a.DedicatedVoters || number < a.Voters {
		_, _ = fmt.Fprintf(&b, "listen = %q\n", f.address(brokerNet, number, agreementPort))
	}
	if a.BoundMS > 0 {
		_, _ = fmt.Fprintf(&b, "bound_ms = %v\n", a.BoundMS)
	}
	if maxChildren := f.maxChildren(); maxChildren > 0 {
		_, _ = fmt.Fprintf(&b, "feeds = %d\n", maxChildren)
	}
	if a.Persistent && number < a.Voters {
		dir := filepath.Join(home, "state")
		_ = os.MkdirAll(dir, 0o700) // the broker does not start if the directory is missing
		_, _ = fmt.Fprintf(&b, "dir = %q\n", dir)
	}
	b.WriteString("members = [")
	for i := range a.Voters {
		_, _ = fmt.Fprintf(&b, "{name = %q, address = %q}, ", brokerName(i), f.address(relayNet, i, agreementPort))
	}
	b.WriteString("]\n")
	if a.LimitFloor > 0 {
		_, _ = fmt.Fprintf(&b, "[agreement.limits]\n%s = %v\n", trafficPlan, a.LimitFloor)
	}
	return b.String()
}

// maxChildren returns the maximum number of children of a broker in the tree, 0 for the daemon's default. Dedicated
// voters must be able to accept all other brokers as children even when two voters have failed.
func (f *Fleet) maxChildren() int {
	a := f.scenario.Agreement
	if a.MaxChildren == 0 && a.DedicatedVoters {
		return max(2, f.scenario.totalBrokers()/max(1, a.Voters-2))
	}
	return a.MaxChildren
}
