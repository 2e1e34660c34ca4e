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

// The kinds of sources, as the site file names them in EndpointSource.Kind.
const (
	SourceDiscovery = "discovery" // the platform's discovery service
	SourceDNS       = "dns"       // SRV records
	SourceFile      = "file"      // a file on this machine
)

// What a source may be allowed to do.
const (
	allowAdd    = "add"
	allowDrain  = "drain"
	allowRemove = "remove"
)

// Membership is where the list of storage nodes comes from. Without a source discovery alone is followed, and its
// list is applied as it is.
type Membership struct {
	SuspectS int              `toml:"suspect_s"` // seconds for which the removal of most nodes at once is deferred
	Snapshot string           `toml:"snapshot"`  // a file that keeps the list across a restart; empty: none
	Sources  []EndpointSource `toml:"source"`
}

// EndpointSource is one source of the list.
type EndpointSource struct {
	Name    string   `toml:"name"`
	Kind    string   `toml:"kind"`   // "discovery", "dns" or "file"
	Allowed []string `toml:"may"`    // of "add", "drain" and "remove"; all by default
	FreshS  int      `toml:"good_s"` // seconds of silence after which its removals no longer outweigh what others list

	// Of kind "dns".
	SRV         string   `toml:"srv"`
	Resolvers   []string `toml:"resolvers"`
	TimeoutMS   int      `toml:"timeout_ms"`
	MinTTLS     int      `toml:"ttl_least_s"`
	MaxTTLS     int      `toml:"ttl_most_s"`
	StaleS      int      `toml:"stale_s"`
	QueriesPerS float64  `toml:"queries_per_s"`
	Pattern     string   `toml:"pattern"` // over targets, with groups shard, zone, kind and share
	UseTXT      bool     `toml:"texts"`   // TXT records of targets say the same
	Shard       *int     `toml:"shard"`   // of targets where neither says it
	Zone        string   `toml:"zone"`
	NodeKind    string   `toml:"node_kind"`

	// Of kind "file".
	Path string `toml:"path"`

	pattern *regexp.Regexp // Pattern, compiled
}

// Permissions are what the source may do.
func (s EndpointSource) Permissions() membership.Permissions {
	allowed := func(word string) bool { return len(s.Allowed) == 0 || slices.Contains(s.Allowed, word) }
	return membership.Permissions{Add: allowed(allowAdd), Drain: allowed(allowDrain), Remove: allowed(allowRemove)}
}

// Mapping says where a DNS source's shards and zones come from.
func (s EndpointSource) Mapping() dnssrv.Mapping {
	const unknownShard = -1
	mapping := dnssrv.Mapping{Pattern: s.pattern, UseTXT: s.UseTXT, Shard: unknownShard, Zone: s.Zone, Kind: s.NodeKind}
	if s.Shard != nil {
		mapping.Shard = *s.Shard
	}
	return mapping
}

// Resolver are the options of a DNS source's resolver.
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

// Options are those of merging the sources.
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
		return fmt.Errorf("source: discovery stands %d times", discoveries)
	}
	if len(m.Sources) > 0 {
		return m.Options().Validate()
	}
	if m.Snapshot != "" {
		return errors.New("snapshot: it needs a source")
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
		if !(f.value >= 0) { // not a number is no figure either
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
		return errors.New("resolvers: none")
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
		return errors.New("pattern: missing, and neither texts nor shard tell the shards")
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
			return fmt.Errorf("pattern: its group %q is neither shard, zone, kind nor share", group)
		}
	}
	s.pattern = pattern
	return nil
}
