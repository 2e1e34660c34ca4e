// Package members feeds the core's list of storage nodes from several sources, as package membership decides: discovery's watch,
// DNS and files. It keeps the last good list across a restart where a site wants that.
package members

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/config"
	"junctionwharf/internal/dnssrv"
	"junctionwharf/membership"
	"junctionwharf/scheduler"
)

// Members merges sources and posts what changes.
type Members struct {
	clock *broker.Clock
	post  func(broker.Event)
	log   *slog.Logger

	mu       sync.Mutex
	set      config.Membership
	state    *membership.State
	running  map[string]running // by source
	timer    *time.Timer
	version  uint64
	closed   bool
	snapshot *snapshot // nil for none
}

// running is a source that is being asked.
type running struct {
	set  config.EndpointSource
	stop context.CancelFunc
}

const (
	filePoll = time.Second // between two looks at a file
	kept     = "snapshot"  // the source of what was held before a restart
)

// New returns members that post to the core. Nothing is asked before ApplySettings.
func New(clock *broker.Clock, post func(broker.Event), log *slog.Logger) *Members {
	return &Members{clock: clock, post: post, log: log, running: map[string]running{}}
}

// ApplySettings goes over to settings, which were checked: sources that stay as they are go on, others end and begin. What ended
// sources held stays until the new ones have answered.
func (m *Members) ApplySettings(set config.Membership) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := int64(m.clock.Now())
	if m.state == nil {
		state, err := membership.New(set.Options())
		if err != nil {
			return err
		}
		m.state = state
		if set.Snapshot != "" {
			m.load(now, set.Snapshot)
		}
	} else {
		change, err := m.state.ApplyOptions(now, set.Options())
		if err != nil {
			return err
		}
		m.tell(change)
	}
	m.set = set
	for name, r := range m.running {
		if !slices.ContainsFunc(set.Sources, func(s config.EndpointSource) bool { return same(s, r.set) }) {
			r.stop()
			delete(m.running, name)
		}
	}
	for _, s := range set.Sources {
		if _, runs := m.running[s.Name]; runs || s.Kind == "discovery" {
			continue
		}
		ctx, stop := context.WithCancel(context.Background())
		if err := m.start(ctx, s); err != nil {
			stop()
			return err
		}
		m.running[s.Name] = running{s, stop}
	}
	m.wake()
	return nil
}

// same tells whether two sources ask alike; rights and times of the merging may differ.
func same(a, b config.EndpointSource) bool {
	word := func(s config.EndpointSource) string {
		shard := -1
		if s.Shard != nil {
			shard = *s.Shard
		}
		s.Allowed, s.FreshS, s.Shard = nil, 0, nil
		return fmt.Sprintf("%+v %d", s, shard)
	}
	return word(a) == word(b)
}

// start asks a source from now on.
func (m *Members) start(ctx context.Context, s config.EndpointSource) error {
	switch s.Kind {
	case "dns":
		r, err := dnssrv.NewResolver(s.Resolver())
		if err != nil {
			return err
		}
		w := &dnssrv.Watcher{Resolver: r, Name: s.SRV, Facts: s.Mapping()}
		go w.Run(ctx, func(n dnssrv.Update) { m.heard(ctx, s.Name, n) })
	case "file":
		go m.poll(ctx, s)
	}
	return nil
}

// heard takes what DNS said.
func (m *Members) heard(ctx context.Context, name string, n dnssrv.Update) {
	for _, fault := range n.Skipped {
		m.log.Warn("entry left out", "source", name, "reason", fault)
	}
	if n.Err != nil {
		m.fail(ctx, name, n.Err)
		return
	}
	a := membership.SourceAnswered{AskedAt: int64(m.clock.Now()) - time.Since(n.QueriedAt).Microseconds(), Complete: true}
	for _, e := range n.Entries {
		a.Entries = append(a.Entries, membership.Entry{Name: e.Target, Address: e.Address, Zone: e.Zone, Kind: e.Kind, Shard: e.Shard, Capacity: e.Share,
			TrafficWeight: max(0.1, float64(e.Weight)), Priority: int(e.Priority), LastStart: membership.UnknownStart})
	}
	m.answer(ctx, name, a)
}

// poll reads a file whenever it changes.
func (m *Members) poll(ctx context.Context, s config.EndpointSource) {
	var seen time.Time
	var size int64
	tick := time.NewTicker(filePoll)
	defer tick.Stop()
	for {
		if info, err := os.Stat(s.Path); err != nil {
			m.fail(ctx, s.Name, err)
		} else if !info.ModTime().Equal(seen) || info.Size() != size {
			asked := int64(m.clock.Now())
			entries, err := config.LoadEndpoints(s.Path)
			if err != nil {
				m.fail(ctx, s.Name, err)
			} else {
				seen, size = info.ModTime(), info.Size()
				m.answer(ctx, s.Name, membership.SourceAnswered{AskedAt: asked, Complete: true, Entries: entries})
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Restore takes the list that was held before the start, which stands until all sources have answered.
func (m *Members) Restore(l broker.NodesListed) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tell(m.state.Restore(int64(m.clock.Now()), "known", entriesOf(l)))
}

func entriesOf(l broker.NodesListed) []membership.Entry {
	var all []membership.Entry
	for _, n := range l.Nodes {
		all = append(all, membership.Entry{Name: n.Name, Address: n.Address, Zone: n.Zone, Kind: n.Kind, Shard: n.Shard, Capacity: n.Weight,
			State: membership.Health(n.State), LastStart: int64(n.LastStart)})
	}
	return all
}

// HandleDiscovery takes what discovery's watch posts, in place of the core. Where discovery is no source its word does not count.
func (m *Members) HandleDiscovery(e broker.Event) {
	l, is := e.(broker.NodesListed)
	if !is {
		return
	}
	name := ""
	m.mu.Lock()
	for _, s := range m.set.Sources {
		if s.Kind == "discovery" {
			name = s.Name
		}
	}
	m.mu.Unlock()
	if name == "" {
		return
	}
	m.answer(context.Background(), name, membership.SourceAnswered{AskedAt: int64(m.clock.Now()), Complete: l.Kind != scheduler.DeltaUpdate, Entries: entriesOf(l)})
}

func (m *Members) answer(ctx context.Context, name string, a membership.SourceAnswered) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if src, known := m.state.SourceOf(name); known && ctx.Err() == nil {
		a.Source = src
		m.reduce(a)
	}
}

func (m *Members) fail(ctx context.Context, name string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if src, known := m.state.SourceOf(name); known && ctx.Err() == nil {
		m.log.Warn("source silent", "source", name, "reason", err)
		m.reduce(membership.SourceFailed{Source: src, Reason: err.Error()})
	}
}

func (m *Members) reduce(e membership.Event) {
	if m.closed {
		return
	}
	m.tell(m.state.Reduce(int64(m.clock.Now()), e))
	m.wake()
}

// tell posts changes to the core: the first as a whole list, so that it replaces what was held before the start.
func (m *Members) tell(change membership.Change) {
	if len(change.Nodes) == 0 {
		return
	}
	m.version++
	e := broker.NodesListed{Kind: scheduler.DeltaUpdate, Version: m.version}
	if m.version == 1 {
		e.Kind = scheduler.FullUpdate
	}
	for _, n := range change.Nodes {
		e.Nodes = append(e.Nodes, broker.Node{Endpoint: scheduler.Endpoint{Name: n.Name, Zone: n.Zone, Kind: n.Kind, Shard: n.Shard, State: scheduler.NodeState(n.State),
			Weight: n.Capacity, TrafficWeight: n.TrafficWeight, Priority: n.Priority}, Address: n.Address, LastStart: broker.Micros(n.LastStart)})
	}
	m.post(e)
	if m.snapshot != nil {
		m.snapshot.later()
	}
}

// wake has Reduce called when the state wants it.
func (m *Members) wake() {
	if m.timer != nil {
		m.timer.Stop()
	}
	if at, any := m.state.Next(); any && !m.closed {
		m.timer = time.AfterFunc((broker.Micros(at) - m.clock.Now()).Duration(), func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.reduce(nil)
		})
	}
}

// Close ends all sources, and writes the snapshot if one is owed.
func (m *Members) Close() {
	m.mu.Lock()
	m.closed = true
	if m.timer != nil {
		m.timer.Stop()
	}
	for _, r := range m.running {
		r.stop()
	}
	snap := m.snapshot
	m.mu.Unlock()
	if snap != nil {
		snap.close()
	}
}

// Metrics count per source, for console and sinks.
func (m *Members) Metrics() []broker.Metric {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state == nil {
		return nil
	}
	var all []broker.Metric
	for _, s := range m.state.Sources(int64(m.clock.Now())) {
		at := "source." + s.Name + "."
		all = append(all, broker.Metric{Name: at + "held", Value: uint64(s.Held)}, broker.Metric{Name: at + "suspect", Value: uint64(s.Suspects)},
			broker.Metric{Name: at + "answers", Value: s.Answers, Counter: true}, broker.Metric{Name: at + "failures", Value: s.Failures, Counter: true},
			broker.Metric{Name: at + "refused", Value: s.Refused, Counter: true})
		if s.Age >= 0 {
			all = append(all, broker.Metric{Name: at + "age_s", Value: uint64(s.Age / time.Second)})
		}
	}
	return all
}

// Table is the merged list for people: each node, who holds it, and why it is listed as it is; then the sources.
func (m *Members) Table() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	var b strings.Builder
	table := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	if m.state == nil {
		return []byte("discovery alone is followed\n")
	}
	nodes, holders := m.state.List()
	now := int64(m.clock.Now())
	fmt.Fprintln(table, "node\taddress\tshard\tzone\tstate\tpriority\tpart\tup s\theld by\twhy")
	for i, n := range nodes {
		up := "long"
		if n.LastStart > 0 {
			up = fmt.Sprint((now - n.LastStart) / 1e6)
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%d\t%g\t%s\t%s\t%s\n", n.Name, n.Address, n.Shard, n.Zone, [...]string{"ready", "draining", "gone"}[n.State], n.Priority, n.TrafficWeight, up,
			strings.Join(holders[i], ","), n.Reason)
	}
	fmt.Fprintln(table, "\nsource\tholds\tsuspect\tlast answer\tanswers\tfailures\tnot believed\tlast fault")
	for _, s := range m.state.Sources(now) {
		age := "never"
		if s.Age >= 0 {
			age = s.Age.Round(100*time.Millisecond).String() + " ago"
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%d\t%d\t%d\t%s\n", s.Name, s.Held, s.Suspects, age, s.Answers, s.Failures, s.Refused, s.Reason)
	}
	table.Flush()
	return []byte(b.String())
}
