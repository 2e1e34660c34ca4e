package config

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"time"

	"github.com/BurntSushi/toml"

	"junctionwharf/internal/dnssrv"
	"junctionwharf/membership"
)

// Membership is where the list of storage nodes comes from. Without a source discovery alone is followed, and its word is the
// truth.
type Membership struct {
	SuspectS int              `toml:"suspect_s"` // how long a sudden loss of most nodes is held
	Snapshot string           `toml:"snapshot"`  // a file that keeps the list across a restart; empty: none
	Sources  []EndpointSource `toml:"source"`
}

// EndpointSource is one source of the list.
type EndpointSource struct {
	Name    string   `toml:"name"`
	Kind    string   `toml:"kind"`   // "discovery", "dns" or "file"
	Allowed []string `toml:"may"`    // of "add", "drain" and "remove"; all by default
	FreshS  int      `toml:"good_s"` // once it is silent for so long, its removals no longer outweigh what others hold

	// of "dns"
	SRV         string   `toml:"srv"`
	Resolvers   []string `toml:"resolvers"`
	TimeoutMS   int      `toml:"timeout_ms"`
	MinTTLS     int      `toml:"ttl_least_s"`
	MaxTTLS     int      `toml:"ttl_most_s"`
	StaleS      int      `toml:"stale_s"`
	QueriesPerS float64  `toml:"queries_per_s"`
	Pattern     string   `toml:"pattern"` // over targets, with groups shard, zone, kind and share
	UseTXT      bool     `toml:"texts"`   // TXT records of targets tell the same
	Shard       *int     `toml:"shard"`   // of targets where neither tells
	Zone        string   `toml:"zone"`
	NodeKind    string   `toml:"node_kind"`

	// of "file"
	Path string `toml:"path"`

	pattern *regexp.Regexp
}

// Rights are what the source may do.
func (m EndpointSource) Rights() membership.Permissions {
	may := func(word string) bool { return len(m.Allowed) == 0 || slices.Contains(m.Allowed, word) }
	return membership.Permissions{Add: may("add"), Drain: may("drain"), Remove: may("remove")}
}

// Mapping say where a DNS source's shards and zones come from.
func (m EndpointSource) Mapping() dnssrv.Mapping {
	f := dnssrv.Mapping{Pattern: m.pattern, UseTXT: m.UseTXT, Shard: -1, Zone: m.Zone, Kind: m.NodeKind}
	if m.Shard != nil {
		f.Shard = *m.Shard
	}
	return f
}

// Resolver are the options of a DNS source's resolver.
func (m EndpointSource) Resolver() dnssrv.Options {
	seconds := func(n int) time.Duration { return time.Duration(n) * time.Second }
	return dnssrv.Options{Servers: m.Resolvers, Timeout: time.Duration(m.TimeoutMS) * time.Millisecond, MinTTL: seconds(m.MinTTLS),
		MaxTTL: seconds(m.MaxTTLS), MaxStale: seconds(m.StaleS), Rate: m.QueriesPerS}
}

// Options are those of the merging.
func (m Membership) Options() membership.Options {
	o := membership.Options{SuspectHold: int64(m.SuspectS) * 1e6}
	for _, s := range m.Sources {
		o.Sources = append(o.Sources, membership.SourceOptions{Name: s.Name, Permissions: s.Rights(), RemovalTTL: int64(s.FreshS) * 1e6})
	}
	return o
}

func (m *Membership) complete() error {
	if m.SuspectS < 0 {
		return fmt.Errorf("suspect_s: %d is below 0", m.SuspectS)
	}
	discoveries := 0
	for i := range m.Sources {
		s := &m.Sources[i]
		if s.Name == "" {
			s.Name = s.Kind
		}
		if err := s.complete(); err != nil {
			return fmt.Errorf("source[%d].%w", i, err)
		}
		if s.Kind == "discovery" {
			discoveries++
		}
	}
	if discoveries > 1 {
		return fmt.Errorf("source: discovery stands %d times", discoveries)
	}
	if len(m.Sources) == 0 {
		if m.Snapshot != "" {
			return fmt.Errorf("snapshot: it needs a source")
		}
		return nil
	}
	return m.Options().Validate()
}

func (s *EndpointSource) complete() error {
	for _, word := range s.Allowed {
		if !slices.Contains([]string{"add", "drain", "remove"}, word) {
			return fmt.Errorf("may: %q is neither \"add\", \"drain\" nor \"remove\"", word)
		}
	}
	for _, n := range []struct {
		key   string
		value float64
	}{{"good_s", float64(s.FreshS)}, {"timeout_ms", float64(s.TimeoutMS)}, {"ttl_least_s", float64(s.MinTTLS)}, {"ttl_most_s", float64(s.MaxTTLS)},
		{"stale_s", float64(s.StaleS)}, {"queries_per_s", s.QueriesPerS}} {
		if !(n.value >= 0) {
			return fmt.Errorf("%s: %v is below 0", n.key, n.value)
		}
	}
	switch s.Kind {
	case "discovery":
	case "dns":
		return s.completeDNS()
	case "file":
		if s.Path == "" {
			return fmt.Errorf("path: missing")
		}
		if _, err := LoadEndpoints(s.Path); err != nil {
			return fmt.Errorf("path: %w", err)
		}
	default:
		return fmt.Errorf("kind: %q is neither \"discovery\", \"dns\" nor \"file\"", s.Kind)
	}
	return nil
}

func (s *EndpointSource) completeDNS() error {
	if s.SRV == "" {
		return fmt.Errorf("srv: missing")
	}
	if len(s.Resolvers) == 0 {
		return fmt.Errorf("resolvers: none")
	}
	for i, r := range s.Resolvers {
		if err := checkAddress(r, true); err != nil {
			return fmt.Errorf("resolvers[%d]: %w", i, err)
		}
	}
	if s.MinTTLS > 0 && s.MaxTTLS > 0 && s.MinTTLS > s.MaxTTLS {
		return fmt.Errorf("ttl_least_s: %d is above ttl_most_s (%d)", s.MinTTLS, s.MaxTTLS)
	}
	if s.Pattern != "" {
		var err error
		if s.pattern, err = regexp.Compile(s.Pattern); err != nil {
			return fmt.Errorf("pattern: %w", err)
		}
		for _, name := range s.pattern.SubexpNames() {
			if name != "" && !slices.Contains([]string{"shard", "zone", "kind", "share"}, name) {
				return fmt.Errorf("pattern: its group %q is neither shard, zone, kind nor share", name)
			}
		}
	}
	if s.Pattern == "" && !s.UseTXT && s.Shard == nil {
		return fmt.Errorf("pattern: missing, and neither texts nor shard tell the shards")
	}
	return nil
}

// LoadEndpoints reads a static list of nodes: [[node]] tables with name, address, shard, zone, kind, share, priority and state.
func LoadEndpoints(path string) ([]membership.Entry, error) {
	var raw struct {
		Node []struct {
			Name     string  `toml:"name"`
			Address  string  `toml:"address"`
			Shard    int     `toml:"shard"`
			Zone     string  `toml:"zone"`
			Kind     string  `toml:"kind"`
			Share    float64 `toml:"share"`
			Priority int     `toml:"priority"`
			Draining bool    `toml:"draining"`
		} `toml:"node"`
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > 16<<20 {
		return nil, fmt.Errorf("%s: over 16 MiB", path)
	}
	meta, err := toml.DecodeFile(path, &raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: %s: unknown key", path, unknown[0])
	}
	var all []membership.Entry
	seen := map[string]bool{}
	for i, n := range raw.Node {
		if err := checkAddress(n.Address, true); err != nil {
			return nil, fmt.Errorf("%s: node[%d].address: %w", path, i, err)
		}
		if seen[n.Address] {
			return nil, fmt.Errorf("%s: node[%d].address: %q stands twice", path, i, n.Address)
		}
		seen[n.Address] = true
		if n.Shard < 0 || n.Share < 0 {
			return nil, fmt.Errorf("%s: node[%d]: its shard or share is below 0", path, i)
		}
		e := membership.Entry{Name: n.Name, Address: n.Address, Zone: n.Zone, Kind: n.Kind, Shard: n.Shard, Capacity: n.Share, Priority: n.Priority, LastStart: membership.UnknownStart}
		if n.Draining {
			e.State = membership.Draining
		}
		all = append(all, e)
	}
	return all, nil
}
