package members

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/config"
	"junctionwharf/membership"
	"junctionwharf/scheduler"
)

// The names under which the console shows lists from before a restart as sources.
const (
	sourceSnapshot = "snapshot" // from the snapshot file
	sourceKnown    = "known"    // from Restore
)

// Members merges the sources and posts the changes to the core.
type Members struct {
	clock *broker.Clock
	post  func(broker.Event)
	log   *slog.Logger

	mu       sync.Mutex // guards the fields below
	settings config.Membership
	state    *membership.State
	running  map[string]runningSource // by name
	timer    *time.Timer              // runs reduce at the time that the state requires
	version  uint64                   // of the last posted list
	closed   bool
	snapshot *snapshotWriter // nil if no snapshot is configured
}

// runningSource is a DNS or file source that is being queried.
type runningSource struct {
	settings config.EndpointSource
	stop     context.CancelFunc
}

// New returns a Members that posts to the core. It queries no source before ApplySettings is called.
func New(clock *broker.Clock, post func(broker.Event), log *slog.Logger) *Members {
	return &Members{clock: clock, post: post, log: log, running: map[string]runningSource{}}
}

// ApplySettings switches to new settings, which the caller has checked. Sources whose queries stay the same continue.
// All other sources are stopped or started. The nodes of stopped sources stay listed until all present sources have
// answered.
func (m *Members) ApplySettings(settings config.Membership) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.applyOptions(settings); err != nil {
		return err
	}
	m.settings = settings
	m.stopSources(settings.Sources)
	for _, s := range settings.Sources {
		if _, runs := m.running[s.Name]; runs || s.Kind == config.SourceDiscovery {
			continue
		}
		ctx, stop := context.WithCancel(context.Background())
		if err := m.startSource(ctx, s); err != nil {
			stop()
			return err
		}
		m.running[s.Name] = runningSource{s, stop}
	}
	m.schedule()
	return nil
}

// applyOptions passes the options to the state. The first call creates the state and loads the snapshot, if one is
// configured.
func (m *Members) applyOptions(settings config.Membership) error {
	now := int64(m.clock.Now())
	if m.state != nil {
		change, err := m.state.ApplyOptions(now, settings.Options())
		if err != nil {
			return err
		}
		m.announce(change)
		return nil
	}
	state, err := membership.New(settings.Options())
	if err != nil {
		return err
	}
	m.state = state
	if settings.Snapshot != "" {
		m.loadSnapshot(now, settings.Snapshot)
	}
	return nil
}

// stopSources stops the sources that are not in the new settings, or that are queried differently there.
func (m *Members) stopSources(wanted []config.EndpointSource) {
	for name, r := range m.running {
		queriedAlike := func(s config.EndpointSource) bool { return sameQuery(s, r.settings) }
		if !slices.ContainsFunc(wanted, queriedAlike) {
			r.stop()
			delete(m.running, name)
		}
	}
}

// sameQuery reports whether two sources are queried in the same way. Their permissions and their RemovalTTL, which
// matter only for merging, may differ.
func sameQuery(a, b config.EndpointSource) bool {
	query := func(s config.EndpointSource) string {
		shard := -1
		if s.Shard != nil {
			shard = *s.Shard
		}
		s.Allowed = nil
		s.FreshS = 0
		s.Shard = nil
		return fmt.Sprintf("%+v %d", s, shard)
	}
	return query(a) == query(b)
}

// Restore adds the list from before the start. Its nodes stay listed until all sources have answered. Restore may be
// called only after ApplySettings.
func (m *Members) Restore(l broker.NodesListed) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.announce(m.state.Restore(int64(m.clock.Now()), sourceKnown, entriesOf(l)))
}

// HandleDiscovery receives the events of discovery's watch in place of the core. It ignores all events but NodesListed,
// and ignores those as well if discovery is not a source.
func (m *Members) HandleDiscovery(e broker.Event) {
	l, is := e.(broker.NodesListed)
	if !is {
		return
	}
	name := m.discoverySource()
	if name == "" {
		return
	}
	m.handleAnswer(context.Background(), name, membership.SourceAnswered{
		AskedAt:  int64(m.clock.Now()),
		Complete: l.Kind != scheduler.DeltaUpdate,
		Entries:  entriesOf(l),
	})
}

// discoverySource returns the name of the discovery source, or "" if there is none.
func (m *Members) discoverySource() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := ""
	for _, s := range m.settings.Sources {
		if s.Kind == config.SourceDiscovery {
			name = s.Name
		}
	}
	return name
}

// The numbers of the states of a node are the same in packages membership and scheduler, because states are converted
// by number. If they were different, these indices would be out of range, and the package would not compile.
var (
	_ = [1]struct{}{}[int(membership.Ready)-int(scheduler.Ready)]
	_ = [1]struct{}{}[int(membership.Draining)-int(scheduler.Draining)]
	_ = [1]struct{}{}[int(membership.Removed)-int(scheduler.Removed)]
)

func entriesOf(l broker.NodesListed) []membership.Entry {
	var all []membership.Entry
	for _, n := range l.Nodes {
		all = append(all, membership.Entry{
			Name:      n.Name,
			Address:   n.Address,
			Zone:      n.Zone,
			Kind:      n.Kind,
			Shard:     n.Shard,
			Capacity:  n.Weight,
			State:     membership.NodeState(n.State),
			LastStart: int64(n.LastStart),
		})
	}
	return all
}

// handleAnswer passes an answer of a source to the state, unless the source was stopped meanwhile.
func (m *Members) handleAnswer(ctx context.Context, name string, a membership.SourceAnswered) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if src, known := m.state.FindSource(name); known && ctx.Err() == nil {
		a.Source = src
		m.reduce(a)
	}
}

// handleFailure logs a failed query of a source and reports it to the state, unless the source was stopped meanwhile.
func (m *Members) handleFailure(ctx context.Context, name string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if src, known := m.state.FindSource(name); known && ctx.Err() == nil {
		m.log.Warn("source failed", "source", name, "reason", err)
		m.reduce(membership.SourceFailed{Source: src, Reason: err.Error()})
	}
}

func (m *Members) reduce(e membership.Event) {
	if m.closed {
		return
	}
	m.announce(m.state.Reduce(int64(m.clock.Now()), e))
	m.schedule()
}

// announce posts a change to the core. The first change is posted as a full list, so that it replaces the list from
// before the start.
func (m *Members) announce(change membership.Change) {
	if len(change.Nodes) == 0 {
		return
	}
	m.version++
	e := broker.NodesListed{Kind: scheduler.DeltaUpdate, Version: m.version}
	if m.version == 1 {
		e.Kind = scheduler.FullUpdate
	}
	for _, n := range change.Nodes {
		e.Nodes = append(e.Nodes, broker.Node{
			Endpoint: scheduler.Endpoint{
				Name:          n.Name,
				Zone:          n.Zone,
				Kind:          n.Kind,
				Shard:         n.Shard,
				State:         scheduler.NodeState(n.State),
				Weight:        n.Capacity,
				TrafficWeight: n.TrafficWeight,
				Priority:      n.Priority,
			},
			Address:   n.Address,
			LastStart: broker.Micros(n.LastStart),
		})
	}
	m.post(e)
	if m.snapshot != nil {
		m.snapshot.writeSoon()
	}
}

// schedule sets the timer for the next call of Reduce that the state requires.
func (m *Members) schedule() {
	if m.timer != nil {
		m.timer.Stop()
	}
	at, ok := m.state.Next()
	if !ok || m.closed {
		return
	}
	m.timer = time.AfterFunc((broker.Micros(at) - m.clock.Now()).Duration(), func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.reduce(nil)
	})
}

// Close stops all sources, and writes the snapshot if a write is pending. It does not wait for a write in progress.
func (m *Members) Close() {
	m.mu.Lock()
	m.closed = true
	if m.timer != nil {
		m.timer.Stop()
	}
	for _, r := range m.running {
		r.stop()
	}
	snapshot := m.snapshot
	m.mu.Unlock()
	if snapshot != nil {
		snapshot.close()
	}
}
