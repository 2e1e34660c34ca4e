package metricsexport

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/collectd"
	"junctionwharf/internal/config"
	"junctionwharf/telemetry"
)

// maxNotifications is how many notifications wait for Run; further ones are lost. Higher, a burst of them fills the
// sink's queue at the expense of intervals; lower, some are missing when many nodes are drained at once.
const maxNotifications = 64

// Options say what an Exporter sends and where it finds it.
type Options struct {
	Name    string                 // the broker's
	Loop    Loop                   // owns the registry
	Metrics func() []broker.Metric // the broker's own metrics; called on the loop
	Log     *slog.Logger
}

// Loop runs calls on the broker's loop, between events and in the order of Do. Do does not wait for the call.
type Loop interface{ Do(func()) }

// Settings are what may change while the broker runs. A sink without an address is off.
type Settings struct {
	Registry telemetry.Options
	Graphite config.Graphite
	Collectd config.Collectd
}

// Exporter sends the metrics of one broker to its sinks.
type Exporter struct {
	options Options
	// registry and enabled belong to the loop's goroutine.
	registry *telemetry.Registry
	enabled  bool

	settings      chan Settings // holds the newest settings that Run has not applied
	notifications chan collectd.Notification
	shutdown      chan time.Time // holds the deadline
	done          chan struct{}  // closed when Run has returned
	started       atomic.Bool    // Run was called
	// testTargetHook changes the timeouts of a target: tests cannot wait for seconds. It is nil otherwise.
	testTargetHook func(*target)

	mu            sync.Mutex
	sinks         []*sink // replaced as a whole, by Run alone
	rows          int     // of the last snapshot
	volumeChanges uint64  // volumes that got or lost a row
}

// New returns an exporter. Observe takes the loop's observations, Run sends them.
func New(options Options) *Exporter {
	return &Exporter{
		options:       options,
		settings:      make(chan Settings, 1),
		notifications: make(chan collectd.Notification, maxNotifications),
		shutdown:      make(chan time.Time, 1),
		done:          make(chan struct{}),
	}
}

// Observe counts observations, on the loop's goroutine. While no sink is on, it does nothing.
func (e *Exporter) Observe(observations []telemetry.Observation) {
	if !e.enabled {
		return
	}
	e.registry.Observe(observations)
	for i := range observations {
		if observations[i].Kind == telemetry.NodeDraining {
			e.Notify(collectd.Notification{
				Severity: collectd.Warning,
				Instance: instanceNodes,
				Text:     textNodeDown + observations[i].Node,
			})
		}
	}
}

// Notify sends a notification to collectd. It does not wait: beyond maxNotifications they are lost.
func (e *Exporter) Notify(n collectd.Notification) {
	select {
	case e.notifications <- n:
	default:
	}
}

// ApplySettings has Run apply settings, which were checked. It must not be called concurrently.
func (e *Exporter) ApplySettings(settings Settings) {
	select {
	case <-e.settings: // older ones that Run has not taken
	default:
	}
	e.settings <- settings
}

// Shutdown sends the interval in progress, and returns when Run has ended, at the deadline at the latest. What is not
// sent by then is dropped and counted.
func (e *Exporter) Shutdown(deadline time.Time) {
	if !e.started.Load() {
		return
	}
	select {
	case e.shutdown <- deadline:
	default: // an earlier call asked already
	}
	<-e.done
}

// Names of the exporter's own metrics. Those of a sink stand behind "telemetry.SINK".
const (
	metricPrefix           = "telemetry."
	metricSeries           = metricPrefix + "series"
	metricVolumeChanges    = metricPrefix + "volume_changes"
	metricState            = ".state"
	metricQueueBytes       = ".queue_bytes"
	metricSentIntervals    = ".sent_intervals"
	metricDroppedIntervals = ".dropped_intervals"
	metricRedials          = ".redials"
)

// Metrics returns the exporter's own metrics, for sinks and for the operators' console. It returns none while no sink
// is on.
func (e *Exporter) Metrics() []broker.Metric {
	e.mu.Lock()
	sinks := e.sinks
	rows := e.rows
	volumeChanges := e.volumeChanges
	e.mu.Unlock()
	if len(sinks) == 0 {
		return nil
	}
	metrics := []broker.Metric{
		{Name: metricSeries, Value: uint64(rows * telemetry.SeriesPerRow)},
		{Name: metricVolumeChanges, Value: volumeChanges, Counter: true},
	}
	for _, s := range sinks {
		stats := s.stats()
		name := metricPrefix + s.target.name
		metrics = append(metrics,
			broker.Metric{Name: name + metricState, Value: uint64(stats.State)},
			broker.Metric{Name: name + metricQueueBytes, Value: uint64(stats.QueueBytes)},
			broker.Metric{Name: name + metricSentIntervals, Value: stats.Sent, Counter: true},
			broker.Metric{Name: name + metricDroppedIntervals, Value: stats.Dropped, Counter: true},
			broker.Metric{Name: name + metricRedials, Value: stats.Redials, Counter: true},
		)
	}
	return metrics
}

// currentSinks returns the sinks that are on. The slice must not be changed.
func (e *Exporter) currentSinks() []*sink {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sinks
}
