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

// maxNotifications is the number of notifications that can wait for Run. Further notifications are lost. With a larger
// number, a burst of notifications fills the sink's queue, which then has less room for intervals. With a smaller
// number, some notifications are lost when many nodes start draining at once.
const maxNotifications = 64

// Options configure an Exporter for its whole lifetime.
type Options struct {
	Name    string                 // name of the broker
	Loop    Loop                   // owner of the registry
	Metrics func() []broker.Metric // returns the broker's own metrics; called on the loop
	Log     *slog.Logger
}

// Loop runs calls on the broker's loop, between events and in the order of Do. Do returns without waiting for the call.
type Loop interface{ Do(func()) }

// Settings are the configuration that may change while the broker runs. A sink without an address is disabled.
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

	settings      chan Settings // the newest settings that Run has not applied
	notifications chan collectd.Notification
	shutdown      chan time.Time // the deadline of Shutdown
	done          chan struct{}  // closed when Run has returned
	started       atomic.Bool    // Run was called
	// testTargetHook lets tests shorten the timeouts of a target, which are seconds. It is nil outside tests.
	testTargetHook func(*target)

	mu            sync.Mutex
	sinks         []*sink // the slice is replaced, never changed, and only by Run
	rows          int     // number of rows in the last snapshot
	volumeChanges uint64  // number of times that a volume got or lost a row
}

// New returns an exporter. The loop passes its observations to Observe, and Run sends them.
func New(options Options) *Exporter {
	return &Exporter{
		options:       options,
		settings:      make(chan Settings, 1),
		notifications: make(chan collectd.Notification, maxNotifications),
		shutdown:      make(chan time.Time, 1),
		done:          make(chan struct{}),
	}
}

// Observe counts observations. It must be called on the loop's goroutine. While no sink is enabled, it does nothing.
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

// Notify queues a notification for collectd and does not block. If maxNotifications are waiting, the notification is
// lost.
func (e *Exporter) Notify(n collectd.Notification) {
	select {
	case e.notifications <- n:
	default:
	}
}

// ApplySettings makes Run apply settings, which the caller has validated. It must not be called concurrently.
func (e *Exporter) ApplySettings(settings Settings) {
	select {
	case <-e.settings: // older settings that Run has not applied
	default:
	}
	e.settings <- settings
}

// Shutdown sends the interval in progress and returns when Run has ended. At the deadline the sinks are closed, and
// their unsent data is dropped and counted. The last snapshot and its encoding may take until after the deadline.
func (e *Exporter) Shutdown(deadline time.Time) {
	if !e.started.Load() {
		return
	}
	select {
	case e.shutdown <- deadline:
	default: // an earlier call has already requested the shutdown
	}
	<-e.done
}

// The names of the exporter's own metrics. The metrics of a sink have the prefix "telemetry.SINK".
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

// Metrics returns the exporter's own metrics, for sinks and for the operators' console. It returns nil while no sink is
// enabled.
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

// currentSinks returns the enabled sinks. The caller must not change the slice.
func (e *Exporter) currentSinks() []*sink {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sinks
}
