package metricsexport

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/config"
	"junctionwharf/internal/fakes"
	"junctionwharf/internal/logging"
	"junctionwharf/telemetry"
)

const (
	testInterval = 20 * time.Millisecond
	testTimeout  = 20 * time.Second
	testBroker   = "n1"
)

// The series of served requests at Graphite and at collectd. Most tests wait for them.
const (
	graphiteServed = "w.n1.all.served"
	collectdServed = "n1/junctionwharf-all/junctionwharf_requests/0"
)

// fakeLoop replaces the broker's loop: it runs one call at a time, in the order of Do, and never during an observation.
type fakeLoop struct {
	mu       sync.Mutex
	served   uint64
	exporter *Exporter

	callsMu sync.Mutex
	calls   []func() // calls that have not begun, oldest first
}

// Do queues a call. Its goroutine runs the oldest queued call, so the order does not depend on which goroutine gets the
// lock first.
func (l *fakeLoop) Do(call func()) {
	l.callsMu.Lock()
	l.calls = append(l.calls, call)
	l.callsMu.Unlock()
	go func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.takeOldest()()
	}()
}

func (l *fakeLoop) takeOldest() func() {
	l.callsMu.Lock()
	defer l.callsMu.Unlock()
	oldest := l.calls[0]
	l.calls = l.calls[1:]
	return oldest
}

func (l *fakeLoop) observe(observations ...telemetry.Observation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exporter.Observe(observations)
}

// serve observes a request that is served at its first attempt.
func (l *fakeLoop) serve(volume string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served++
	l.exporter.Observe([]telemetry.Observation{
		{
			Kind:          telemetry.AttemptEnded,
			Class:         "read",
			Plan:          "gold",
			Volume:        volume,
			Node:          "n",
			AttemptMicros: 5000,
		},
		{
			Kind:        telemetry.RequestEnded,
			Class:       "read",
			Plan:        "gold",
			Volume:      volume,
			Node:        "n",
			Units:       1.5,
			TotalMicros: 7000,
			QueueMicros: 2000,
		},
	})
}

func (l *fakeLoop) metrics() []broker.Metric {
	return []broker.Metric{
		{Name: "success.read", Value: l.served, Counter: true},
		{Name: "inflight", Value: 1},
	}
}

// harness runs an exporter with intervals of 20 ms and short timeouts and backoffs.
type harness struct {
	*fakeLoop
	t       *testing.T
	timeout chan struct{} // closed after testTimeout

	mu   sync.Mutex
	logs []string
}

func newHarness(t *testing.T, settings Settings) *harness {
	t.Helper()
	h := &harness{fakeLoop: &fakeLoop{}, t: t, timeout: make(chan struct{})}
	timer := time.AfterFunc(testTimeout, func() { close(h.timeout) })
	t.Cleanup(func() { timer.Stop() })
	h.exporter = New(Options{
		Name:    testBroker,
		Loop:    h.fakeLoop,
		Log:     logging.ToFunc(h.log),
		Metrics: h.metrics,
	})
	h.exporter.testTargetHook = shortenTimeouts
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go h.exporter.Run(ctx)
	h.exporter.ApplySettings(settings)
	return h
}

func shortenTimeouts(t *target) {
	t.interval = testInterval
	t.options.StallTimeout = 50e3
	t.options.WriteTimeout = 200e3
	t.options.MinBackoff = 10e3
	t.options.MaxBackoff = 50e3
	t.options.BytesPerSecond = 100 << 20
}

// log stores a log line. It skips lines about the clock. Timestamps are whole seconds and grow by at least one with
// each interval of 20 ms, so they run ahead of the clock, which then seems to step back.
func (h *harness) log(line string) {
	if strings.Contains(line, "clock") {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.logs = append(h.logs, line)
}

func (h *harness) logLines() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.logs...)
}

func testSettings(graphiteAddress, collectdAddress string) Settings {
	receiver := func(address string) config.Receiver {
		return config.Receiver{Address: address, IntervalS: 1, QueueBytes: 64 << 10}
	}
	return Settings{
		Registry: telemetry.Options{
			Classes:        []string{"read"},
			Plans:          []string{"gold"},
			ReservedSeries: 100,
		},
		Graphite: config.Graphite{Receiver: receiver(graphiteAddress), Prefix: "w", Transport: "tcp"},
		Collectd: config.Collectd{Receiver: receiver(collectdAddress)},
	}
}

// awaitSeries waits until a series has a value.
func (h *harness) awaitSeries(points *fakes.PointStore, series string, value float64) {
	h.t.Helper()
	reached := points.Await(h.timeout, func(latest map[string]fakes.Point, _ []string) bool {
		return latest[series].Value == value
	})
	if !reached {
		h.t.Fatalf("%s is %v, want %v; faults %q, log %q",
			series, points.Latest()[series].Value, value, points.Errors(), h.logLines())
	}
}

// awaitEnabled waits until the registry counts observations.
func (h *harness) awaitEnabled() {
	h.t.Helper()
	h.awaitRegistry(true)
}

// awaitDisabled waits until the registry is disabled. A test that enables sinks again must call it first. Otherwise
// awaitEnabled could still find the previous registry, whose counts are dropped.
func (h *harness) awaitDisabled() {
	h.t.Helper()
	h.awaitRegistry(false)
}

func (h *harness) awaitRegistry(want bool) {
	h.t.Helper()
	for {
		h.fakeLoop.mu.Lock()
		enabled := h.exporter.enabled
		h.fakeLoop.mu.Unlock()
		if enabled == want {
			return
		}
		select {
		case <-h.timeout:
			h.t.Fatalf("registry enabled: got %v, want %v; log %q", enabled, want, h.logLines())
		case <-time.After(time.Millisecond):
		}
	}
}

// awaitMetrics waits until the exporter's own metrics fulfill a condition.
func (h *harness) awaitMetrics(what string, fulfilled func(map[string]uint64) bool) {
	h.t.Helper()
	for {
		metrics := map[string]uint64{}
		for _, metric := range h.exporter.Metrics() {
			metrics[metric.Name] = metric.Value
		}
		if fulfilled(metrics) {
			return
		}
		select {
		case <-h.timeout:
			h.t.Fatalf("timeout while waiting for %s: metrics %v, log %q", what, metrics, h.logLines())
		case <-time.After(time.Millisecond):
		}
	}
}

func newFakeCarbon(t *testing.T) *fakes.Carbon {
	t.Helper()
	carbon, err := fakes.NewCarbon("127.0.0.1:0", false, fakes.NewPointStore(nil))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(carbon.Close)
	return carbon
}

// newFakeCollectd returns a receiver. With secrets, the receiver only accepts encrypted packets.
func newFakeCollectd(t *testing.T, secrets map[string]string) *fakes.Collectd {
	t.Helper()
	receiver, err := fakes.NewCollectd("127.0.0.1:0", secrets, fakes.NewPointStore(nil))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(receiver.Close)
	return receiver
}
