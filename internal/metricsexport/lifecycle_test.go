package metricsexport

import (
	"fmt"
	"testing"
	"time"

	"junctionwharf/internal/fakes"
	"junctionwharf/telemetry"
)

// A reload disables a sink with a full queue, and the sink is removed. When a sink is enabled again, the counts start
// at 0.
//
// The receiver reads nothing. About every 200 ms the sink opens a new connection, and the system's buffers for that
// connection accept the queued batches. The queue must be full before the next connection, even if a busy machine
// delays intervals. So the queue only has room for two intervals, and the third is dropped.
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

// The broker shuts down during an interval. That interval is sent.
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

// The broker shuts down while a sink is stalled. The shutdown ends although the sink reads nothing. The sink is closed,
// and its unsent batches are dropped and counted.
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
		t.Fatal("the shutdown with a stalled sink did not end")
	}
	after := stalled.stats()
	if after.State != telemetry.Closed || after.QueueBytes != 0 {
		t.Errorf("stats %+v, want the sink closed and its queue empty", after)
	}
	// On a busy machine the sink may have been disconnected and dialed again, and the system's buffers may have
	// accepted its batches.
	if after.Dropped <= before.Dropped && after.Redials <= before.Redials {
		t.Errorf("stats %+v, before the shutdown %+v, want more batches dropped or another dial", after, before)
	}
}
