package config

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"time"

	"junctionwharf/internal/dnssrv"
	"junctionwharf/membership"
)

// Kinds of endpoint list sources, the values of EndpointSource.Kind in the site file.
const (
	SourceDiscovery = "discovery" // the platform's discovery service
	SourceDNS       = "dns"       // SRV records
	SourceFile      = "file"      // a file on this machine
)

// Permissions of a source, the values of EndpointSource.Allowed in the site file.
const (
	allowAdd    = "add"
	allowDrain  = "drain"
	allowRemove = "remove"
)

// Membership configures the sources of the endpoint list. Without a source, the broker follows discovery alone and
// applies its list unchanged.
type Membership struct {
	SuspectS int              `toml:"suspect_s"` // how long the sudden removal of most nodes is deferred, in seconds
	Snapshot string           `toml:"snapshot"`  // file that preserves the list across a restart; empty: off
	Sources  []EndpointSource `toml:"source"`
}

// EndpointSource is one source of the endpoint list.
type EndpointSource struct {
	Name    string   `toml:"name"`
	Kind    string   `toml:"kind"`   // "discovery", "dns" or "file"
	Allowed []string `toml:"may"`    // some of "add", "drain" and "remove"; empty: all
	FreshS  int      `toml:"good_s"` // how long the removals of a silent source stay valid, in seconds

	// Only for kind "dns".
	SRV         string   `toml:"srv"`
	Resolvers   []string `toml:"resolvers"`
	TimeoutMS   int      `toml:"timeout_ms"`
	MinTTLS     int      `toml:"ttl_least_s"`
	MaxTTLS     int      `toml:"ttl_most_s"`
	StaleS      int      `toml:"stale_s"`
	QueriesPerS float64  `toml:"queries_per_s"`
	Pattern     string   `toml:"pattern"` // matched against targets; groups: shard, zone, kind and share
	UseTXT      bool     `toml:"texts"`   // reads shard, zone, kind and share from the targets' TXT records
	Shard       *int     `toml:"shard"`   // shard of targets that neither the pattern nor a TXT record assigns to one
	Zone        string   `toml:"zone"`
	NodeKind    string   `toml:"node_kind"`

	// Only for kind "file".
	Path string `toml:"path"`

	pattern *regexp.Regexp // Pattern, compiled
}

// Permissions returns the changes that the source may make to the endpoint list.
func (s EndpointSource) Permissions() membership.Permissions {
	allowed := func(word string) bool { return len(s.Allowed) == 0 || slices.Contains(s.Allowed, word) }
	return membership.Permissions{Add: allowed(allowAdd), Drain: allowed(allowDrain), Remove: allowed(allowRemove)}
}

// Mapping returns how the shard, zone, kind and share of a DNS target are determined.
func (s EndpointSource) Mapping() dnssrv.Mapping {
	const unknownShard = -1
	mapping := dnssrv.Mapping{Pattern: s.pattern, UseTXT: s.UseTXT, Shard: unknownShard, Zone: s.Zone, Kind: s.NodeKind}
	if s.Shard != nil {
		mapping.Shard = *s.Shard
	}
	return mapping
}

// Resolver returns the options of the resolver of a DNS source.
func (s EndpointSource) Resolver() dnssrv.Options {
	return dnssrv.Options{
		Servers:  s.Resolvers,
		Timeout:  time.Duration(s.TimeoutMS) * time.Millisecond,
		MinTTL:   time.Duration(s.MinTTLS) * time.Second,
		MaxTTL:   time.Duration(s.MaxTTLS) * time.Second,
		MaxStale: time.Duration(s.StaleS) * time.Second,
		Rate:     s.QueriesPerS,
	}
}

// Options returns the options for merging the lists of all sources.
func (m Membership) Options() membership.Options {
	options := membership.Options{SuspectHold: int64(m.SuspectS) * microsPerSecond}
	for _, source := range m.Sources {
		options.Sources = append(options.Sources, membership.SourceOptions{
			Name:        source.Name,
			Permissions: source.Permissions(),
			RemovalTTL:  int64(source.FreshS) * microsPerSecond,
		})
	}
	return options
}

func (m *Membership) complete() error {
	if m.SuspectS < 0 {
		return fmt.Errorf("suspect_s: %d is below 0", m.SuspectS)
	}
	discoveries := 0
	for i := range m.Sources {
		source := &m.Sources[i]
		if source.Name == "" {
			source.Name = source.Kind
		}
		if err := source.complete(); err != nil {
			return fmt.Errorf("source[%d].%w", i, err)
		}
		if source.Kind == SourceDiscovery {
			discoveries++
		}
	}
	if discoveries > 1 {
		return fmt.Errorf("source: %d sources are of kind \"discovery\", at most 1 is allowed", discoveries)
	}
	if len(m.Sources) > 0 {
		return m.Options().Validate()
	}
	if m.Snapshot != "" {
		return errors.New("snapshot: requires at least one source")
	}
	return nil
}

func (s *EndpointSource) complete() error {
	for _, word := range s.Allowed {
		if !slices.Contains([]string{allowAdd, allowDrain, allowRemove}, word) {
			return fmt.Errorf("may: %q is neither \"add\", \"drain\" nor \"remove\"", word)
		}
	}
	if err := s.checkFigures(); err != nil {
		return err
	}
	switch s.Kind {
	case SourceDiscovery:
		return nil
	case SourceDNS:
		return s.completeDNS()
	case SourceFile:
		return s.checkFile()
	}
	return fmt.Errorf("kind: %q is neither \"discovery\", \"dns\" nor \"file\"", s.Kind)
}

func (s *EndpointSource) checkFigures() error {
	for _, f := range []figure{
		{"good_s", float64(s.FreshS)},
		{"timeout_ms", float64(s.TimeoutMS)},
		{"ttl_least_s", float64(s.MinTTLS)},
		{"ttl_most_s", float64(s.MaxTTLS)},
		{"stale_s", float64(s.StaleS)},
		{"queries_per_s", s.QueriesPerS},
	} {
		if !(f.value >= 0) { // written so that NaN is rejected too
			return fmt.Errorf("%s: %v is below 0", f.key, f.value)
		}
	}
	return nil
}

func (s *EndpointSource) checkFile() error {
	if s.Path == "" {
		return errors.New("path: missing")
	}
	if _, err := LoadEndpoints(s.Path); err != nil {
		return fmt.Errorf("path: %w", err)
	}
	return nil
}

func (s *EndpointSource) completeDNS() error {
	if s.SRV == "" {
		return errors.New("srv: missing")
	}
	if len(s.Resolvers) == 0 {
		return errors.New("resolvers: at least one is required")
	}
	for i, resolver := range s.Resolvers {
		if err := checkAddress(resolver, true); err != nil {
			return fmt.Errorf("resolvers[%d]: %w", i, err)
		}
	}
	if s.MinTTLS > 0 && s.MaxTTLS > 0 && s.MinTTLS > s.MaxTTLS {
		return fmt.Errorf("ttl_least_s: %d is above ttl_most_s (%d)", s.MinTTLS, s.MaxTTLS)
	}
	if err := s.compilePattern(); err != nil {
		return err
	}
	if s.Pattern == "" && !s.UseTXT && s.Shard == nil {
		return errors.New("pattern: missing, but required unless texts or shard is set")
	}
	return nil
}

func (s *EndpointSource) compilePattern() error {
	if s.Pattern == "" {
		return nil
	}
	pattern, err := regexp.Compile(s.Pattern)
	if err != nil {
		return fmt.Errorf("pattern: %w", err)
	}
	for _, group := range pattern.SubexpNames() {
		if group != "" && !slices.Contains([]string{"shard", "zone", "kind", "share"}, group) {
			return fmt.Errorf("pattern: group %q is neither shard, zone, kind nor share", group)
		}
	}
	s.pattern = pattern
	return nil
}
