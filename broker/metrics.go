package broker

import (
	"slices"
	"sync"
	"sync/atomic"

	"junctionwharf/scheduler"
)

// The names of the metrics, as the console and the sinks give them. Dashboards use them: they must not change.
const (
	metricSuccessPrefix    = "success."
	metricBusyPrefix       = "busy."
	metricFailurePrefix    = "failure."
	metricAttempts         = "backend_calls"
	metricReloads          = "reconfig_ok"
	metricReloadsFailed    = "reconfig_failed"
	metricReceived         = "taken"
	metricRejected         = "door_refused"
	metricCancelled        = "left"
	metricStoppedAttempts  = "stopped"
	metricHealthChecks     = "probes"
	metricPeerSent         = "peer_sent"
	metricPeerReceived     = "peer_heard"
	metricOpenRequests     = "inflight"
	metricNodesListed      = "hosts_listed"
	metricNodesUnavailable = "hosts_down"
)

// Metric is one of a broker's metrics at one moment. A counter only grows.
type Metric struct {
	Name    string
	Value   uint64
	Counter bool
}

// Metrics is the one registry of what a broker counts. It is read at any time, without the loop: whoever asks for
// metrics must get them above all when the loop is busy.
type Metrics struct {
	open   atomic.Int64 // requests that wait for their final answer
	listed atomic.Int64 // nodes on the list
	down   atomic.Int64 // of these, nodes that are avoided

	received  atomic.Uint64
	rejected  atomic.Uint64 // by admission control
	cancelled atomic.Uint64 // by their clients

	attempts     atomic.Uint64 // fully written
	stopped      atomic.Uint64
	healthChecks atomic.Uint64

	peerSent     atomic.Uint64
	peerReceived atomic.Uint64

	reloads       atomic.Uint64
	failedReloads atomic.Uint64

	addingClass sync.Mutex                      // among those that add classes; nobody waits for it to count
	classes     atomic.Pointer[[]*classMetrics] // in the order first seen; a new slice with each new one
}

// classMetrics counts how requests of one class ended.
type classMetrics struct {
	name     string
	served   atomic.Uint64
	rejected atomic.Uint64
	failed   atomic.Uint64
}

// addClasses has classes counted from now on. Those that vanished from the settings stay: a counter does not go back.
func (m *Metrics) addClasses(classes []scheduler.Class) {
	for _, c := range classes {
		m.class(c.Name)
	}
}

func (m *Metrics) class(name string) *classMetrics {
	if c := m.findClass(name); c != nil {
		return c
	}
	m.addingClass.Lock()
	defer m.addingClass.Unlock()
	if c := m.findClass(name); c != nil {
		return c
	}
	c := &classMetrics{name: name}
	all := append(slices.Clone(m.allClasses()), c)
	m.classes.Store(&all)
	return c
}

func (m *Metrics) allClasses() []*classMetrics {
	if all := m.classes.Load(); all != nil {
		return *all
	}
	return nil
}

// findClass finds a class without a lock. There are a few; a map would take longer.
func (m *Metrics) findClass(name string) *classMetrics {
	for _, c := range m.allClasses() {
		if c.name == name {
			return c
		}
	}
	return nil
}

// countResponse counts a final answer.
func (m *Metrics) countResponse(class string, verdict Verdict) {
	c := m.class(class)
	switch verdict {
	case Served:
		c.served.Add(1)
	case Rejected:
		c.rejected.Add(1)
	case Failed:
		c.failed.Add(1)
	}
}

// CountReload counts a configuration that was applied while the broker ran, or rejected.
func (m *Metrics) CountReload(applied bool) {
	if applied {
		m.reloads.Add(1)
	} else {
		m.failedReloads.Add(1)
	}
}

// Read returns all metrics, each class with every way to end, at 0 too.
func (m *Metrics) Read() []Metric {
	var all []Metric
	for _, c := range m.allClasses() {
		all = append(all,
			counter(metricSuccessPrefix+c.name, &c.served),
			counter(metricBusyPrefix+c.name, &c.rejected),
			counter(metricFailurePrefix+c.name, &c.failed))
	}
	return append(all,
		counter(metricAttempts, &m.attempts),
		counter(metricReloads, &m.reloads),
		counter(metricReloadsFailed, &m.failedReloads),
		counter(metricReceived, &m.received),
		counter(metricRejected, &m.rejected),
		counter(metricCancelled, &m.cancelled),
		counter(metricStoppedAttempts, &m.stopped),
		counter(metricHealthChecks, &m.healthChecks),
		counter(metricPeerSent, &m.peerSent),
		counter(metricPeerReceived, &m.peerReceived),
		gauge(metricOpenRequests, &m.open),
		gauge(metricNodesListed, &m.listed),
		gauge(metricNodesUnavailable, &m.down))
}

func counter(name string, count *atomic.Uint64) Metric {
	return Metric{Name: name, Value: count.Load(), Counter: true}
}

// gauge reads a value that goes up and down. A reader may see it below 0 for a moment, between two of the loop's
// updates.
func gauge(name string, value *atomic.Int64) Metric {
	return Metric{Name: name, Value: uint64(max(0, value.Load()))}
}
