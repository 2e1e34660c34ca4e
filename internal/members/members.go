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

// The names under which what was listed before a restart stands among the sources, for the console.
const (
	sourceSnapshot = "snapshot" // from the snapshot file
	sourceKnown    = "known"    // from the state of discovery
)

// Members merges sources and posts what changes.
type Members struct {
	clock *broker.Clock
	post  func(broker.Event)
	log   *slog.Logger

	mu       sync.Mutex // guards all below
	settings config.Membership
	state    *membership.State
	running  map[string]runningSource // by name
	timer    *time.Timer              // calls reduce when the state wants it
	version  uint64                   // of the last list that was posted
	closed   bool
	snapshot *snapshotWriter // nil for none
}

// runningSource is a source that is being asked.
type runningSource struct {
	settings config.EndpointSource
	stop     context.CancelFunc
}

// New returns members that post to the core. Nothing is asked before ApplySettings.
func New(clock *broker.Clock, post func(broker.Event), log *slog.Logger) *Members {
	return &Members{clock: clock, post: post, log: log, running: map[string]runningSource{}}
}

// ApplySettings switches to settings, which were checked: sources that stay as they are go on, others end and begin.
// What ended sources listed stays until the new ones have answered.
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

// applyOptions hands the options to the state; the first time it makes one, and reads the snapshot.
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

// stopSources ends sources that the settings no longer hold as they run.
func (m *Members) stopSources(wanted []config.EndpointSource) {
	for name, r := range m.running {
		asksAlike := func(s config.EndpointSource) bool { return sameQuestion(s, r.settings) }
		if !slices.ContainsFunc(wanted, asksAlike) {
			r.stop()
			delete(m.running, name)
		}
	}
}

// sameQuestion reports whether two sources ask alike; permissions and times of the merging may differ.
func sameQuestion(a, b config.EndpointSource) bool {
	question := func(s config.EndpointSource) string {
		shard := -1
		if s.Shard != nil {
			shard = *s.Shard
		}
		s.Allowed = nil
		s.FreshS = 0
		s.Shard = nil
		return fmt.Sprintf("%+v %d", s, shard)
	}
	return question(a) == question(b)
}

// Restore takes the list that was held before the start, which stands until all sources have answered.
func (m *Members) Restore(l broker.NodesListed) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.announce(m.state.Restore(int64(m.clock.Now()), sourceKnown, entriesOf(l)))
}

// HandleDiscovery takes what discovery's watch posts, in place of the core. Where discovery is no source it is ignored.
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

// discoverySource is the name of the source that is discovery, empty for none.
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

// A node's state is converted by number between the core and package membership. Unless the numbers are the same these
// indices are out of range, and the package does not compile.
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

// handleAnswer handles an answer of a source, unless the source was stopped meanwhile.
func (m *Members) handleAnswer(ctx context.Context, name string, a membership.SourceAnswered) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if src, known := m.state.FindSource(name); known && ctx.Err() == nil {
		a.Source = src
		m.reduce(a)
	}
}

// handleFailure handles that a source did not answer, unless the source was stopped meanwhile.
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

// announce posts a change to the core: the first as a full list, so that it replaces what was held before the start.
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

// schedule has Reduce called when the state wants it.
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

// Close ends all sources, and writes the snapshot if a write is pending.
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
