package broker

import (
	"slices"
	"sync"
	"sync/atomic"

	"junctionwharf/scheduler"
)

// The names of the metrics as reported by the console and the sinks. Dashboards use the names, so they must not change.
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

// Metric is the value of one of a broker's metrics at one moment. The value of a Counter never decreases.
type Metric struct {
	Name    string
	Value   uint64
	Counter bool
}

// Metrics is the registry of a broker's metrics. It can be read at any time without the loop, because metrics are most
// important when the loop is busy.
type Metrics struct {
	open   atomic.Int64 // requests without a final answer, or with a Streaming value that is being delivered
	listed atomic.Int64 // nodes on the list
	down   atomic.Int64 // listed nodes that the scheduler avoids

	received  atomic.Uint64
	rejected  atomic.Uint64 // by admission control
	cancelled atomic.Uint64 // by their clients

	attempts     atomic.Uint64 // attempts that were fully written
	stopped      atomic.Uint64
	healthChecks atomic.Uint64

	peerSent     atomic.Uint64
	peerReceived atomic.Uint64

	reloads       atomic.Uint64
	failedReloads atomic.Uint64

	addingClass sync.Mutex                      // serializes changes of classes; counting and reading take no lock
	classes     atomic.Pointer[[]*classMetrics] // in order of first use; copied on each addition
}

// classMetrics counts the outcomes of the requests of one class.
type classMetrics struct {
	name     string
	served   atomic.Uint64
	rejected atomic.Uint64
	failed   atomic.Uint64
}

// addClasses adds the counters of classes. Counters of classes that are no longer in the settings are kept, because a
// counter must not decrease.
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

// findClass finds a class without a lock. There are only a few classes, so that a search is faster than a map.
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

// CountReload counts a new configuration that the running broker applied or rejected.
func (m *Metrics) CountReload(applied bool) {
	if applied {
		m.reloads.Add(1)
	} else {
		m.failedReloads.Add(1)
	}
}

// Read returns all metrics. Each class that was ever configured or used has all its counters, even if they are 0.
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

// gauge reads a gauge. The value may be below 0 for a moment, between two updates that belong together. It is then
// reported as 0.
func gauge(name string, value *atomic.Int64) Metric {
	return Metric{Name: name, Value: uint64(max(0, value.Load()))}
}
