// Package config reads, checks and completes the configuration. Its errors name the faulty key.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"reflect"
	"strconv"

	"junctionwharf/broker"
	"junctionwharf/internal/discovery"
)

// The defaults of what a configuration may leave out.
const (
	defaultCores    = 1.0
	defaultMemoryMB = 192
	defaultSockets  = 1024

	defaultConnIdle       = 30 * broker.Second
	defaultConnectTimeout = broker.Second / 4
)

// Limits is what the process may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is all that a broker is told.
type Config struct {
	Name             string
	Listen           string
	Discovery        string
	Console          string // the operators' door; empty: off
	LocalAddress     string // the address from which connections to nodes and discovery are made; empty: the system's choice
	Seed             uint64
	Limits           Limits
	PeerListen       string
	Peers            []string
	PeersAll         string
	CachedEndpoints  *discovery.EndpointList // nil if none is held
	Settings         *Settings
	Site             Site // all off unless a file says otherwise
	HandoverDisabled bool // no meeting of processes over a Unix socket: a platform that has none says so

	keys keys // that the file holds
}

// Load reads the file that BALANCER_CONFIG names. The other variables stand in for keys it lacks.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("BALANCER_CONFIG")
	if path == "" {
		return nil, errors.New("BALANCER_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	c, err := Parse(text, getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Parse reads a configuration's JSON.
func Parse(text []byte, getenv func(string) string) (*Config, error) {
	var raw struct {
		Name       string          `json:"name"`
		Listen     string          `json:"listen"`
		Discovery  string          `json:"discovery"`
		Console    string          `json:"console"`
		Local      string          `json:"local_address"`
		Seed       string          `json:"seed"`
		Limits     Limits          `json:"limits"`
		PeerListen string          `json:"peer_listen"`
		Peers      []string        `json:"peers"`
		PeersAll   string          `json:"peers_all"`
		Known      json.RawMessage `json:"known"`
		Settings   json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, typeFault(err)
	}
	c := &Config{Name: or(raw.Name, getenv("BALANCER_NAME")), Listen: or(raw.Listen, getenv("BALANCER_LISTEN")),
		Discovery: or(raw.Discovery, getenv("BALANCER_DISCOVERY")), Limits: raw.Limits,
		Console: or(raw.Console, getenv("BALANCER_CONSOLE")), LocalAddress: raw.Local,
		PeerListen: raw.PeerListen, Peers: raw.Peers, PeersAll: raw.PeersAll}
	if err := c.addresses(); err != nil {
		return nil, err
	}
	if err := c.limits(); err != nil {
		return nil, err
	}
	var err error
	if c.Seed, err = strconv.ParseUint(or(raw.Seed, "0"), 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not 16 hex digits at most", raw.Seed)
	}
	if len(raw.Known) > 0 && string(raw.Known) != "null" {
		if c.CachedEndpoints, err = discovery.ParseList(raw.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	c.keys = keysOf(text)
	if len(raw.Settings) == 0 {
		return nil, errors.New("settings: missing")
	}
	if c.Settings, err = ParseSettings(raw.Settings); err != nil {
		return nil, fmt.Errorf("settings.%w", err)
	}
	if err := c.Settings.complete(); err != nil {
		return nil, fmt.Errorf("settings.%w", err)
	}
	return c, nil
}

// RestartOnlyChanges names the keys in which other differs and which count only from a start on. The seed and the known list
// always are those of the start.
func (c *Config) RestartOnlyChanges(other *Config) []string {
	var keys []string
	for _, k := range []struct {
		key      string
		old, new any
	}{{"name", c.Name, other.Name}, {"listen", c.Listen, other.Listen}, {"limits", c.Limits, other.Limits},
		{"console", c.Console, other.Console}, {"local_address", c.LocalAddress, other.LocalAddress},
		{"peer_listen", c.PeerListen, other.PeerListen}, {"peers", c.Peers, other.Peers}, {"peers_all", c.PeersAll, other.PeersAll},
		{"settings.nInstances", c.Settings.Scheduler.Brokers, other.Settings.Scheduler.Brokers},
		{"settings.ordinal", c.Settings.Scheduler.Ordinal, other.Settings.Scheduler.Ordinal},
		{"site", c.Site.ends(), other.Site.ends()}} {
		if !reflect.DeepEqual(k.old, k.new) {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// ApplyReload takes over what counts while the broker runs.
func (c *Config) ApplyReload(other *Config) {
	c.Discovery, c.Settings, c.keys = other.Discovery, other.Settings, other.keys
	c.Site.SFTP.plan = other.Site.SFTP.plan
	if len(c.Site.Membership.Sources) > 0 && len(other.Site.Membership.Sources) > 0 {
		c.Site.Membership.Sources, c.Site.Membership.SuspectS = other.Site.Membership.Sources, other.Site.Membership.SuspectS
	}
	c.Site.Telemetry, c.Site.Graphite, c.Site.Collectd = other.Site.Telemetry, other.Site.Graphite, other.Site.Collectd
}

func or(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}

func (c *Config) addresses() error {
	for _, a := range []struct {
		key, value string
		needed     bool
	}{{"listen", c.Listen, true}, {"discovery", c.Discovery, true}, {"console", c.Console, false}, {"peer_listen", c.PeerListen, false},
		{"peers_all", c.PeersAll, false}} {
		if err := checkAddress(a.value, a.needed); err != nil {
			return fmt.Errorf("%s: %w", a.key, err)
		}
	}
	if c.LocalAddress != "" && net.ParseIP(c.LocalAddress) == nil {
		return fmt.Errorf("local_address: %q is no numeric address", c.LocalAddress)
	}
	for i, peer := range c.Peers {
		if err := checkAddress(peer, true); err != nil {
			return fmt.Errorf("peers[%d]: %w", i, err)
		}
	}
	return nil
}

func checkAddress(address string, needed bool) error {
	if address == "" && !needed {
		return nil
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("%q is no address:port", address)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("%q is no numeric address:port", address)
	}
	return nil
}

func (c *Config) limits() error {
	l := &c.Limits
	if l.Cores == 0 {
		l.Cores = defaultCores
	}
	if l.MemoryMB == 0 {
		l.MemoryMB = defaultMemoryMB
	}
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
	switch {
	case l.Cores < 0 || math.IsNaN(l.Cores):
		return fmt.Errorf("limits.cores: %v is below 0", l.Cores)
	case l.MemoryMB < 32:
		return fmt.Errorf("limits.memory_mb: %v is below 32", l.MemoryMB)
	case l.Sockets < 64:
		return fmt.Errorf("limits.sockets: %d is below 64", l.Sockets)
	}
	return nil
}

func (s *Settings) complete() error {
	if s.ConnIdle < 0 {
		return fmt.Errorf("bounds.connIdle: %d is below 0", s.ConnIdle)
	}
	if s.ConnectTimeout < 0 {
		return fmt.Errorf("bounds.connectTimeout: %d is below 0", s.ConnectTimeout)
	}
	if s.Shards < 0 {
		return fmt.Errorf("specifics.nShards: %d is below 0", s.Shards)
	}
	if s.ConnIdle == 0 {
		s.ConnIdle = defaultConnIdle
	}
	if s.ConnectTimeout == 0 {
		s.ConnectTimeout = defaultConnectTimeout
	}
	if len(s.Scheduler.Classes) == 0 {
		return errors.New("classes: none")
	}
	names := map[string]bool{}
	for i, class := range s.Scheduler.Classes {
		if class.Name == "" || names[class.Name] {
			return fmt.Errorf("classes[%d].name: %q is missing or stands twice", i, class.Name)
		}
		names[class.Name] = true
		if class.Deadline <= 0 {
			return fmt.Errorf("classes[%d].deadline: it is not above 0", i)
		}
		if class.LatencyObjective <= 0 {
			return fmt.Errorf("classes[%d].aim: it is not above 0", i)
		}
	}
	names = map[string]bool{}
	for i, plan := range s.Scheduler.Plans {
		if plan.Name == "" || names[plan.Name] {
			return fmt.Errorf("serviceLevels[%d].name: %q is missing or stands twice", i, plan.Name)
		}
		names[plan.Name] = true
	}
	if err := s.ranges(); err != nil {
		return err
	}
	if s.Scheduler.Capabilities.MaxAttempts < 1 {
		return fmt.Errorf("bounds.maxAttempts: %d is not above 0", s.Scheduler.Capabilities.MaxAttempts)
	}
	if s.Scheduler.Brokers < 1 {
		return fmt.Errorf("nInstances: %d is below 1", s.Scheduler.Brokers)
	}
	if s.Scheduler.Ordinal < 0 || s.Scheduler.Ordinal >= s.Scheduler.Brokers {
		return fmt.Errorf("ordinal: %d is not below nInstances (%d)", s.Scheduler.Ordinal, s.Scheduler.Brokers)
	}
	return s.Scheduler.Validate()
}

// ranges names the key whose figure is below 0, before anything is served by it.
func (s *Settings) ranges() error {
	type figure struct {
		key   string
		value float64
	}
	set := &s.Scheduler
	r, b := set.Rules, set.Capabilities
	figures := []figure{{"invariants.answerSlack", float64(r.AnswerSlack)}, {"invariants.drainGrace", float64(r.DrainGrace)}, {"invariants.cold", float64(r.WarmUpTime)},
		{"invariants.coldShare", r.InitialCapacity}, {"invariants.fall", float64(r.OverloadWindow)}, {"invariants.fallMultiple", r.OverloadMultiple},
		{"invariants.mustAskIn", float64(r.PollDeadline)}, {"invariants.keyQuiet", float64(r.QuietPeriod)}, {"invariants.extraFloor", r.RetryBudgetMin},
		{"invariants.resendRatio", r.RetryBudgetRatio}, {"invariants.ratioSpan", float64(r.RetryBudgetWindow)}, {"bounds.maxRetryAfter", float64(b.MaxRetryAfter)},
		{"specifics.usualUnits", set.MeanUnits}, {"specifics.maxUnits", set.MaxUnits}, {"specifics.youngLimit", set.SlowStartUnits},
		{"specifics.usePeriod", float64(set.MeterPeriod)}, {"specifics.withinShare", set.ShareWeight}, {"specifics.idleWorth", set.SpareWeight}}
	for i, c := range set.Classes {
		at := fmt.Sprintf("classes[%d].", i)
		figures = append(figures, figure{at + "window", float64(c.DedupWindow)}, figure{at + "importance", c.PriorityWeight}, figure{at + "lateWorth", c.LateWeight},
			figure{at + "aimStretch", c.ObjectiveStretch})
	}
	for i, p := range set.Plans {
		at := fmt.Sprintf("serviceLevels[%d].", i)
		figures = append(figures, figure{at + "nominal", p.Rate}, figure{at + "floorRate", p.ReservedRate}, figure{at + "ceilingRate", p.Limit},
			figure{at + "capDepth", p.LimitBurst}, figure{at + "tolerance", p.LimitOverdraft}, figure{at + "parts", p.Weight}, figure{at + "price", p.Price})
	}
	for _, f := range figures {
		if f.value < 0 {
			return fmt.Errorf("%s: it is below 0", f.key)
		}
	}
	return nil
}
