package metricsexport

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"

	"junctionwharf/internal/collectd"
	"junctionwharf/internal/fakes"
	"junctionwharf/telemetry"
)

// Five hundred requests for 300 volumes are served. Both receivers get the broker's own counts exactly, and the sums
// over all dimensions are equal.
func TestBothSinks(t *testing.T) {
	carbon := newFakeCarbon(t)
	receiver := newFakeCollectd(t, nil)
	h := newHarness(t, testSettings(carbon.Address(), receiver.Address()))
	h.awaitEnabled()
	for i := range 500 {
		h.serve(fmt.Sprint("v", i%300))
	}
	h.awaitSeries(carbon.PointStore, graphiteServed, 500)
	h.awaitSeries(carbon.PointStore, "w.n1.success.read", 500)
	h.awaitSeries(carbon.PointStore, "w.n1.class.read.units_milli", 750_000)
	h.awaitSeries(receiver.PointStore, collectdServed, 500)
	h.awaitSeries(receiver.PointStore, "n1/junctionwharf-class.read/junctionwharf_attempts/1", 500)
	h.awaitSeries(receiver.PointStore, "n1/junctionwharf/derive-success.read/0", 500)
	for _, dimension := range []string{"class", "plan", "node", "volume"} {
		sum := 0.0
		reached := carbon.Await(h.timeout, func(latest map[string]fakes.Point, _ []string) bool {
			sum = sumOver(latest, dimension)
			return sum == 500
		})
		if !reached {
			t.Errorf("%v requests served over dimension %s, want 500", sum, dimension)
		}
	}
	if faults := append(carbon.Errors(), receiver.Errors()...); len(faults) > 0 {
		t.Errorf("faults that the receivers found: %q, want none", faults)
	}
}

// sumOver returns the number of served requests over a dimension at the latest timestamp. It skips the final values of
// removed volumes, which have earlier timestamps.
func sumOver(latest map[string]fakes.Point, dimension string) (sum float64) {
	for series, point := range latest {
		counts := strings.HasPrefix(series, "w.n1."+dimension+".") && strings.HasSuffix(series, ".served")
		if counts && point.Timestamp == latest[graphiteServed].Timestamp {
			sum += point.Value
		}
	}
	return sum
}

// Graphite reads nothing, or one byte a second. Its sink is disconnected, dials again and drops intervals. Meanwhile
// collectd receives all counts. When Graphite reads again, it receives the counts too.
func TestSinkStalls(t *testing.T) {
	for _, manner := range []fakes.ReceiverMode{fakes.NotReading, fakes.Trickling} {
		carbon := newFakeCarbon(t)
		carbon.SetMode(manner)
		receiver := newFakeCollectd(t, nil)
		settings := testSettings(carbon.Address(), receiver.Address())
		settings.Graphite.QueueBytes = 24 << 10 // two or three intervals
		h := newHarness(t, settings)
		h.awaitEnabled()
		for i := range 4 {
			h.serve(fmt.Sprint("v", i))
		}
		h.awaitMetrics("a stalled sink", func(metrics map[string]uint64) bool {
			return metrics["telemetry.graphite.dropped_intervals"] > 0 && metrics["telemetry.graphite.redials"] > 0
		})
		h.serve("v1")
		h.awaitSeries(receiver.PointStore, collectdServed, 5)
		carbon.SetMode(fakes.Reading)
		h.awaitSeries(carbon.PointStore, graphiteServed, 5)
	}
}

// Graphite resets its connections in the middle of a line. When it reads again, it receives no malformed line, and no
// count is lost.
func TestSinkResets(t *testing.T) {
	carbon := newFakeCarbon(t)
	carbon.SetMode(fakes.Resetting)
	h := newHarness(t, testSettings(carbon.Address(), ""))
	h.awaitEnabled()
	h.serve("v")
	h.awaitMetrics("resets", func(metrics map[string]uint64) bool { return metrics["telemetry.graphite.redials"] > 3 })
	carbon.SetMode(fakes.Reading)
	h.awaitSeries(carbon.PointStore, graphiteServed, 1)
	if faults := carbon.Errors(); len(faults) > 0 {
		t.Errorf("faults that the receiver found: %q, want none", faults)
	}
}

// Graphite is killed and restarted at the same address. It receives the counts, and queued intervals keep their own
// timestamps. The log has one line for the outage and one for the recovery.
func TestSinkKilledAndBack(t *testing.T) {
	first := newFakeCarbon(t)
	address := first.Address()
	h := newHarness(t, testSettings(address, ""))
	h.awaitEnabled()
	h.serve("v")
	h.awaitSeries(first.PointStore, graphiteServed, 1)
	first.Close()
	h.awaitMetrics("a dead sink", func(metrics map[string]uint64) bool {
		return metrics["telemetry.graphite.redials"] > 2
	})
	h.serve("v")
	var mu sync.Mutex
	timestamps := map[int64]bool{}
	points := fakes.NewPointStore(func(point fakes.Point) {
		mu.Lock()
		defer mu.Unlock()
		if point.Series == graphiteServed {
			timestamps[point.Timestamp] = true
		}
	})
	second, err := fakes.NewCarbon(address, false, points)
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	h.awaitSeries(points, graphiteServed, 2)
	mu.Lock()
	defer mu.Unlock()
	if len(timestamps) < 2 {
		t.Errorf("%d intervals arrived after the outage, want at least 2", len(timestamps))
	}
	logs := h.logLines()
	if len(logs) != 2 ||
		!strings.HasPrefix(logs[0], "sink unavailable sink=graphite reason=") ||
		logs[1] != "sink recovered sink=graphite" {
		t.Errorf("log lines: got %q, want one for the outage and one for the recovery", logs)
	}
}

// The name of the Graphite receiver does not resolve, and the key for collectd is wrong. The sink dials Graphite again
// and again, and collectd rejects all packets. After a reload with the right key, collectd accepts packets.
func TestSinkMisconfigured(t *testing.T) {
	receiver := newFakeCollectd(t, map[string]string{"wharf": "right"})
	settings := testSettings("nothing.invalid:2003", receiver.Address())
	settings.Collectd.Security = "encrypt"
	settings.Collectd.Key = collectd.Key{User: "wharf", Secret: "wrong"}
	h := newHarness(t, settings)
	h.awaitEnabled()
	h.serve("v")
	h.awaitMetrics("a name that does not resolve", func(metrics map[string]uint64) bool {
		return metrics["telemetry.graphite.redials"] > 0
	})
	rejected := receiver.Await(h.timeout, func(_ map[string]fakes.Point, faults []string) bool {
		return len(faults) > 0 && strings.Contains(faults[0], "wrong key")
	})
	if !rejected {
		t.Fatal("no packet under a wrong key was rejected")
	}
	if receiver.Received() > 0 {
		t.Errorf("%d points were accepted under a wrong key, want 0", receiver.Received())
	}
	settings.Collectd.Key.Secret = "right"
	h.exporter.ApplySettings(settings)
	h.awaitSeries(receiver.PointStore, collectdServed, 1)
}

// A node drains, and nothing listens at Graphite's address. Collectd receives a notification of each event.
func TestNotifications(t *testing.T) {
	const nodeDown, sinkDown = "2 node listed down: s-1", "1 graphite lost: "
	receiver := newFakeCollectd(t, nil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close() // the test only needs its address
	h := newHarness(t, testSettings(listener.Addr().String(), receiver.Address()))
	h.awaitEnabled()
	h.observe(telemetry.Observation{Kind: telemetry.NodeDraining, Node: "s-1"})
	received := func() string {
		var all []string
		for _, n := range receiver.Notifications() {
			all = append(all, fmt.Sprint(n.Severity, " ", n.Text))
		}
		return strings.Join(all, "\n")
	}
	receiver.Await(h.timeout, func(map[string]fakes.Point, []string) bool {
		return strings.Contains(received(), nodeDown) && strings.Contains(received(), sinkDown)
	})
	if text := received(); !strings.Contains(text, nodeDown) || !strings.Contains(text, sinkDown) {
		t.Errorf("notifications: got %q, want %q and %q", text, nodeDown, sinkDown)
	}
}
