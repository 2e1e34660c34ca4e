package config

import (
	"fmt"

	"github.com/BurntSushi/toml"

	"junctionwharf/admission"
	"junctionwharf/balancer"
	"junctionwharf/internal/sftp"
	"junctionwharf/scheduler"
)

const (
	defaultConnections = 32
	defaultUnitBytes   = 16 << 10
	maxConnections     = 256
)

// Site is what a broker does besides the platform's port. All of it is off by default.
type Site struct {
	SFTP       SFTP       `toml:"sftp"`
	Membership Membership `toml:"membership"`
	Telemetry  Telemetry  `toml:"telemetry"`
	Graphite   Graphite   `toml:"graphite"`
	Collectd   Collectd   `toml:"collectd"`
	Admission  Admission  `toml:"admission"`
	Balancer   Balancer   `toml:"spread"`
	Agreement  Agreement  `toml:"agreement"`
}

// Balancer is how load is spread over the nodes of a shard; a shard with one node knows nothing of it.
type Balancer struct {
	Disabled       bool    `toml:"off"`
	SubsetSize     int     `toml:"nodes"`    // of a shard that a broker with little to send uses; 0: balancer.DefaultNodes
	MaxReduction   float64 `toml:"away"`     // the most of a shard's weight that judging its nodes may take away; 0: balancer.DefaultAway
	ProbeWeight    float64 `toml:"trial"`    // part of its weight that a silent node keeps, as trials; 0: balancer.DefaultTrial
	GossipDisabled bool    `toml:"no_peers"` // peers neither tell nor are told of silent nodes
}

func (s Balancer) check() error {
	switch {
	case s.SubsetSize < 0 || s.SubsetSize > 10_000:
		return fmt.Errorf("nodes: %d is not within 0 to 10000", s.SubsetSize)
	case !(s.MaxReduction >= 0 && s.MaxReduction <= 0.9):
		return fmt.Errorf("away: %v is not within 0 to 0.9", s.MaxReduction)
	case !(s.ProbeWeight >= 0 && s.ProbeWeight <= 0.25):
		return fmt.Errorf("trial: %v is not within 0 to 0.25", s.ProbeWeight)
	}
	return nil
}

// Options are those of package balancer.
func (s Balancer) Options(name string) balancer.Options {
	return balancer.Options{Disabled: s.Disabled, SubsetSize: s.SubsetSize, MaxEjectedShare: s.MaxReduction, TrialShare: s.ProbeWeight, NoGossip: s.GossipDisabled, Name: name}
}

// Admission is when requests are refused for want of room or processor.
type Admission struct {
	LagMS   float64 `toml:"lag_ms"`    // of the broker's loop, beyond which fewer come in; 0: off
	MaxOpen int     `toml:"most_open"` // requests that may wait for their answer; 0: no bound but those of connections and memory
}

const (
	maxLagMS    = 10_000
	maxMostOpen = 10_000_000
)

func (a Admission) check() error {
	if !(a.LagMS >= 0 && a.LagMS <= maxLagMS) {
		return fmt.Errorf("lag_ms: %v is not within 0 to %d", a.LagMS, maxLagMS)
	}
	if a.MaxOpen < 0 || a.MaxOpen > maxMostOpen {
		return fmt.Errorf("most_open: %d is not within 0 to %d", a.MaxOpen, maxMostOpen)
	}
	return nil
}

// Controller returns what decides on admission. crowd is admission.Settings.Crowd, 0 for none.
func (a Admission) Controller(set scheduler.Settings, crowd int) *admission.Controller {
	return admission.New(admission.Settings{TargetLag: int64(a.LagMS * 1000), MaxOpen: a.MaxOpen, MaxOpenOverloaded: crowd}, set)
}

// ends is all of a site but the mapping of file commands and where figures go, which may change while the broker runs.
func (s Site) ends() any {
	return []any{s.SFTP.Listen, s.SFTP.NodePort, s.SFTP.Connections, len(s.Membership.Sources) > 0, s.Membership.Snapshot, s.Admission, s.Balancer, s.Agreement}
}

// SFTP is the second front, file commands.
type SFTP struct {
	Listen      string                                `toml:"listen"`    // empty: off
	NodePort    int                                   `toml:"node_port"` // where nodes take file commands; 0: the list's port
	Connections int                                   `toml:"connections"`
	UnitBytes   int                                   `toml:"unit_bytes"`
	Commands    map[sftp.Command]sftp.CommandSettings `toml:"command"`
	Volumes     []sftp.Volume                         `toml:"volume"`

	plan sftp.Mapping
}

// Plan maps file commands to the core's terms.
func (s *SFTP) Plan() *sftp.Mapping { return &s.plan }

// LoadSite reads a site file and checks it against the settings.
func LoadSite(path string, set scheduler.Settings) (Site, error) {
	var s Site
	meta, err := toml.DecodeFile(path, &s)
	if err != nil {
		return Site{}, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return Site{}, fmt.Errorf("%s: %s: unknown key", path, unknown[0])
	}
	if err := s.SFTP.complete(set); err != nil {
		return Site{}, fmt.Errorf("%s: sftp.%w", path, err)
	}
	if err := s.Membership.complete(); err != nil {
		return Site{}, fmt.Errorf("%s: membership.%w", path, err)
	}
	if err := s.Telemetry.check(set); err != nil {
		return Site{}, fmt.Errorf("%s: telemetry.%w", path, err)
	}
	if err := s.Balancer.check(); err != nil {
		return Site{}, fmt.Errorf("%s: spread.%w", path, err)
	}
	if err := s.Agreement.complete(set); err != nil {
		return Site{}, fmt.Errorf("%s: agreement.%w", path, err)
	}
	if err := s.Admission.check(); err != nil {
		return Site{}, fmt.Errorf("%s: admission.%w", path, err)
	}
	if err := s.Graphite.complete(); err != nil {
		return Site{}, fmt.Errorf("%s: graphite.%w", path, err)
	}
	if err := s.Collectd.complete(); err != nil {
		return Site{}, fmt.Errorf("%s: collectd.%w", path, err)
	}
	return s, nil
}

func (s *SFTP) complete(set scheduler.Settings) error {
	if s.Listen == "" {
		return nil
	}
	if err := checkAddress(s.Listen, true); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if s.Connections == 0 {
		s.Connections = defaultConnections
	}
	if s.UnitBytes == 0 {
		s.UnitBytes = defaultUnitBytes
	}
	switch {
	case s.NodePort < 0 || s.NodePort > 65535:
		return fmt.Errorf("node_port: %d is no port", s.NodePort)
	case s.Connections < 1 || s.Connections > maxConnections:
		return fmt.Errorf("connections: %d is not within 1 to %d", s.Connections, maxConnections)
	}
	s.plan = sftp.Mapping{UnitBytes: s.UnitBytes, Commands: s.Commands, Volumes: s.Volumes}
	return s.plan.Check(set)
}
