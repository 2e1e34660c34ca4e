package metricsexport

import (
	"fmt"
	"testing"
	"time"

	"junctionwharf/internal/fakes"
	"junctionwharf/telemetry"
)

// A sink with a full queue is turned off by a reload and ends at once. When a sink is turned on again, the counts begin
// from 0.
//
// Each connection that is made anew to a receiver that reads nothing takes what has queued into the system's buffers,
// about 200 ms after the last one did. The queue has to be full before that, also where a busy machine makes intervals
// late: it holds two of them, so that the third is dropped.
func TestSinkTurnedOff(t *testing.T) {
	carbon := newFakeCarbon(t)
	carbon.SetMode(fakes.NotReading)
	settings := testSettings(carbon.Address(), "")
	settings.Graphite.QueueBytes = 16 << 10
	h := newHarness(t, settings)
	h.awaitEnabled()
	h.serve("v")
	h.awaitMetrics("a full queue", func(metrics map[string]uint64) bool {
		return metrics["telemetry.graphite.dropped_intervals"] > 0
	})
	h.exporter.ApplySettings(testSettings("", ""))
	h.awaitMetrics("a sink that is off", func(metrics map[string]uint64) bool { return len(metrics) == 0 })
	h.awaitDisabled()
	second := newFakeCarbon(t)
	h.exporter.ApplySettings(testSettings(second.Address(), ""))
	h.awaitMetrics("a sink that is on", func(metrics map[string]uint64) bool { return len(metrics) > 0 })
	h.awaitEnabled()
	h.serve("v")
	h.awaitSeries(second.PointStore, graphiteServed, 1)
}

// The broker shuts down with an interval in progress. The interval is sent.
func TestShutdownSendsLastInterval(t *testing.T) {
	carbon := newFakeCarbon(t)
	h := newHarness(t, testSettings(carbon.Address(), ""))
	h.awaitEnabled()
	for i := range 7 {
		h.serve(fmt.Sprint(i))
	}
	h.exporter.Shutdown(time.Now().Add(5 * time.Second))
	h.awaitSeries(carbon.PointStore, graphiteServed, 7)
}

// The broker shuts down while a sink is stalled. The sink holds up the end to the deadline and no longer, and what it
// has not sent is dropped and counted.
func TestShutdownWithStalledSink(t *testing.T) {
	carbon := newFakeCarbon(t)
	carbon.SetMode(fakes.NotReading)
	h := newHarness(t, testSettings(carbon.Address(), ""))
	h.awaitEnabled()
	h.serve("v")
	h.awaitMetrics("a stalled sink", func(metrics map[string]uint64) bool {
		return metrics["telemetry.graphite.state"] == uint64(telemetry.Stalled)
	})
	stalled := h.exporter.currentSinks()[0]
	before := stalled.stats()
	ended := make(chan struct{})
	go func() {
		h.exporter.Shutdown(time.Now().Add(60 * time.Millisecond))
		close(ended)
	}()
	select {
	case <-ended:
	case <-h.timeout:
		t.Fatal("the end waits for a stalled sink")
	}
	after := stalled.stats()
	if after.State != telemetry.Closed || after.QueueBytes != 0 {
		t.Errorf("%+v", after)
	}
	// On a busy machine the sink may have been disconnected and dialled anew by now, with its batches in the system's
	// buffers.
	if after.Dropped <= before.Dropped && after.Redials <= before.Redials {
		t.Errorf("nothing was dropped: %+v", after)
	}
}
