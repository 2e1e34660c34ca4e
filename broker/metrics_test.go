package broker

import (
	"context"
	"strings"
	"testing"

	"junctionwharf/scheduler"
)

// Dashboards and the console's clients depend on the names, the order and the kinds of the metrics.
func TestMetricNames(t *testing.T) {
	var m Metrics
	m.countResponse("read", Served)
	var names []string
	for _, metric := range m.Read() {
		name := metric.Name
		if metric.Counter {
			name += "+"
		}
		names = append(names, name)
	}
	want := "success.read+ busy.read+ failure.read+ backend_calls+ reconfig_ok+ reconfig_failed+ taken+ door_refused+" +
		" left+ stopped+ probes+ peer_sent+ peer_heard+ inflight hosts_listed hosts_down"
	if got := strings.Join(names, " "); got != want {
		t.Errorf("metrics %s, want %s", got, want)
	}
}

// Responses of an unknown class add its counters, and classes that are no longer in the settings keep theirs.
func TestMetricsOfClasses(t *testing.T) {
	var m Metrics
	m.addClasses([]scheduler.Class{{Name: "read"}})
	m.addClasses([]scheduler.Class{{Name: "write"}})
	m.countResponse("read", Served)
	m.countResponse("new", Rejected)
	counts := readMetrics(&m)
	if counts["success.read"] != 1 || counts["busy.new"] != 1 || len(m.allClasses()) != 3 {
		t.Errorf("counts %v of %d classes, want success.read 1, busy.new 1 and 3 classes", counts, len(m.allClasses()))
	}
}

func readMetrics(m *Metrics) map[string]uint64 {
	values := map[string]uint64{}
	for _, metric := range m.Read() {
		values[metric.Name] = metric.Value
	}
	return values
}

// Each class is listed with all its counters, even if they are 0. An attempt counts once it is fully written.
func TestLoopMetrics(t *testing.T) {
	loop := NewLoop(newState(t, testSettings()), NewClock(), echoTransport{}, Dependencies{})
	for _, name := range []string{"success.read", "busy.read", "failure.read", "success.write", "busy.write",
		"failure.write", "backend_calls", "inflight", "hosts_listed", "hosts_down", "reconfig_ok", "reconfig_failed"} {
		if value, listed := readMetrics(&loop.Metrics)[name]; !listed || value != 0 {
			t.Errorf("%s: %d, listed %v, want 0, true", name, value, listed)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go loop.Run(ctx)
	loop.Post(fullList(0, testNode("n1", 0, scheduler.Ready), testNode("n2", 1, scheduler.Draining)))
	responses := make(chan Response, 1)
	loop.Submit(testRequest("read", 0), func(r Response) { responses <- r })
	<-responses
	loop.Submit(testRequest("other", 0), func(r Response) { responses <- r })
	<-responses
	loop.Metrics.CountReload(true)
	loop.Metrics.CountReload(false)
	for name, want := range map[string]uint64{
		"success.read":    1,
		"failure.other":   1,
		"backend_calls":   1,
		"inflight":        0,
		"hosts_listed":    2,
		"hosts_down":      1,
		"reconfig_ok":     1,
		"reconfig_failed": 1,
	} {
		if got := readMetrics(&loop.Metrics)[name]; got != want {
			t.Errorf("%s: %d, want %d", name, got, want)
		}
	}
}

// BenchmarkCountResponse measures the cost of counting a final answer while another goroutine reads the metrics. The
// cost of telemetry is measured by package telemetry's BenchmarkObserve.
func BenchmarkCountResponse(b *testing.B) {
	var m Metrics
	m.addClasses([]scheduler.Class{{Name: "lesson-read"}, {Name: "record-write"}, {Name: "bulk-export"}})
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			default:
				m.Read()
			}
		}
	}()
	b.ReportAllocs()
	for b.Loop() {
		m.countResponse("bulk-export", Served)
	}
}
