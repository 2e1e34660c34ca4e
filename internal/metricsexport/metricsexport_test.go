package metricsexport

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/collectd"
	"junctionwharf/internal/config"
	"junctionwharf/internal/fakes"
	"junctionwharf/internal/logging"
	"junctionwharf/telemetry"
)

// loop stands in for the core's: one call at a time, beside the facts.
type loop struct {
	mu     sync.Mutex
	served uint64
	r      *Reporter
}

func (l *loop) Do(call func()) {
	go func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		call()
	}()
}

func (l *loop) serve(volume string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served++
	l.r.Observe([]telemetry.Fact{
		{Kind: telemetry.AttemptEnded, Class: "read", Plan: "gold", Volume: volume, Node: "n", AtNode: 5000},
		{Kind: telemetry.RequestEnded, Class: "read", Plan: "gold", Volume: volume, Node: "n", Units: 1.5, Whole: 7000, Waiting: 2000}})
}

const interval = 20 * time.Millisecond

// rig runs a reporter with intervals of 20 ms and sinks that lose patience early.
type rig struct {
	*loop
	t    *testing.T
	mu   sync.Mutex
	logs []string
	stop chan struct{} // closed when the test has waited long enough
}

func newRig(t *testing.T, set Settings) *rig {
	g := &rig{loop: &loop{}, t: t, stop: make(chan struct{})}
	late := time.AfterFunc(20*time.Second, func() { close(g.stop) })
	t.Cleanup(func() { late.Stop() })
	g.r = New(Options{Name: "n1", Loop: g.loop, Log: logging.ToFunc(func(line string) {
		g.mu.Lock()
		defer g.mu.Unlock()
		if !strings.Contains(line, "clock") { // times are whole seconds, and run ahead at 20 ms an interval
			g.logs = append(g.logs, line)
		}
	}), Figures: func() []broker.Metric {
		return []broker.Metric{{Name: "success.read", Value: g.served, Counter: true}, {Name: "inflight", Value: 1}}
	}})
	g.r.hasten = func(t *target) {
		t.interval = interval
		t.options.Stall, t.options.GiveUp, t.options.RestLeast, t.options.RestMost, t.options.Pace = 50e3, 200e3, 10e3, 50e3, 100<<20
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go g.r.Run(ctx)
	g.r.Retune(set)
	return g
}

func settings(graphiteAddress, collectdAddress string) Settings {
	return Settings{Registry: telemetry.Options{Classes: []string{"read"}, Plans: []string{"gold"}, Fixed: 100},
		Graphite: config.Graphite{Receiver: config.Receiver{Address: graphiteAddress, IntervalS: 1, QueueBytes: 64 << 10}, Prefix: "w", Transport: "tcp"},
		Collectd: config.Collectd{Receiver: config.Receiver{Address: collectdAddress, IntervalS: 1, QueueBytes: 64 << 10}}}
}

// await waits until the series has the value.
func (g *rig) await(points *fakes.PointStore, series string, value float64) {
	g.t.Helper()
	if !points.Await(g.stop, func(latest map[string]fakes.Point, _ []string) bool { return latest[series].Value == value }) {
		g.t.Fatalf("%s is %v, want %v; faults %q, log %q", series, points.Latest()[series].Value, value, points.Errors(), g.logs)
	}
}

// on waits until the registry counts.
func (g *rig) on() {
	for {
		g.loop.mu.Lock()
		on := g.r.on
		g.loop.mu.Unlock()
		if on {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// until waits for a sink's figure to fit.
func (g *rig) until(what string, fits func(map[string]uint64) bool) {
	g.t.Helper()
	for {
		figures := map[string]uint64{}
		for _, f := range g.r.Figures() {
			figures[f.Name] = f.Value
		}
		if fits(figures) {
			return
		}
		select {
		case <-g.stop:
			g.t.Fatalf("%s: %v, log %q", what, figures, g.logs)
		case <-time.After(time.Millisecond):
		}
	}
}

func newCarbon(t *testing.T) *fakes.Carbon {
	t.Helper()
	c, err := fakes.NewCarbon("127.0.0.1:0", false, fakes.NewPointStore(nil))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// Both receivers get the broker's own counts, exactly, and the sums over every dimension agree.
func TestBothSinks(t *testing.T) {
	carbon := newCarbon(t)
	coll, err := fakes.NewCollectd("127.0.0.1:0", nil, fakes.NewPointStore(nil))
	if err != nil {
		t.Fatal(err)
	}
	defer coll.Close()
	g := newRig(t, settings(carbon.Address(), coll.Address()))
	g.on()
	for i := range 500 {
		g.serve(fmt.Sprint("v", i%300))
	}
	g.await(carbon.PointStore, "w.n1.all.served", 500)
	g.await(carbon.PointStore, "w.n1.success.read", 500)
	g.await(carbon.PointStore, "w.n1.class.read.units_milli", 750_000)
	g.await(coll.PointStore, "n1/junctionwharf-all/junctionwharf_requests/0", 500)
	g.await(coll.PointStore, "n1/junctionwharf-class.read/junctionwharf_attempts/1", 500)
	g.await(coll.PointStore, "n1/junctionwharf/derive-success.read/0", 500)
	for _, d := range []string{"class", "plan", "node", "volume"} {
		sum := 0.0
		if !carbon.Await(g.stop, func(latest map[string]fakes.Point, _ []string) bool {
			sum = 0
			for series, p := range latest { // a volume that left keeps its last value, of an earlier time
				if strings.HasPrefix(series, "w.n1."+d+".") && strings.HasSuffix(series, ".served") && p.Timestamp == latest["w.n1.all.served"].Timestamp {
					sum += p.Value
				}
			}
			return sum == 500
		}) {
			t.Errorf("%v served over %s", sum, d)
		}
	}
	if faults := append(carbon.Errors(), coll.Errors()...); len(faults) > 0 {
		t.Error(faults)
	}
}

// A sink that never reads, or takes a byte a second, is stalled, dropped from and given up; nobody waits for it, the other
// sink gets all, and once it reads again it has the counts.
func TestSinkStalls(t *testing.T) {
	for _, manner := range []fakes.ReceiverMode{fakes.NotReading, fakes.Trickling} {
		carbon := newCarbon(t)
		carbon.SetMode(manner)
		coll, err := fakes.NewCollectd("127.0.0.1:0", nil, fakes.NewPointStore(nil))
		if err != nil {
			t.Fatal(err)
		}
		defer coll.Close()
		set := settings(carbon.Address(), coll.Address())
		set.Graphite.QueueBytes = 24 << 10 // two intervals or three
		g := newRig(t, set)
		g.on()
		for i := range 4 {
			g.serve(fmt.Sprint("v", i))
		}
		g.until("a stalled sink", func(f map[string]uint64) bool {
			return f["telemetry.graphite.dropped_intervals"] > 0 && f["telemetry.graphite.redials"] > 0
		})
		g.serve("v1")
		g.await(coll.PointStore, "n1/junctionwharf-all/junctionwharf_requests/0", 5)
		carbon.SetMode(fakes.Reading)
		g.await(carbon.PointStore, "w.n1.all.served", 5)
	}
}

// Resets in the middle of a line leave no wrong line and no lost count.
func TestSinkResets(t *testing.T) {
	carbon := newCarbon(t)
	carbon.SetMode(fakes.Resetting)
	g := newRig(t, settings(carbon.Address(), ""))
	g.on()
	g.serve("v")
	g.until("resets", func(f map[string]uint64) bool { return f["telemetry.graphite.redials"] > 3 })
	carbon.SetMode(fakes.Reading)
	g.await(carbon.PointStore, "w.n1.all.served", 1)
	if faults := carbon.Errors(); len(faults) > 0 {
		t.Error(faults)
	}
}

// A sink that is killed during the run, and one that is absent at the start, get the counts when they come; what the queue
// held comes with its own times.
func TestSinkKilledAndBack(t *testing.T) {
	first := newCarbon(t)
	address := first.Address()
	g := newRig(t, settings(address, ""))
	g.on()
	g.serve("v")
	g.await(first.PointStore, "w.n1.all.served", 1)
	first.Close()
	g.until("a dead sink", func(f map[string]uint64) bool { return f["telemetry.graphite.redials"] > 2 })
	g.serve("v")
	var mu sync.Mutex
	stamps := map[int64]bool{}
	points := fakes.NewPointStore(func(p fakes.Point) {
		mu.Lock()
		defer mu.Unlock()
		if p.Series == "w.n1.all.served" {
			stamps[p.Timestamp] = true
		}
	})
	second, err := fakes.NewCarbon(address, false, points)
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	g.await(points, "w.n1.all.served", 2)
	mu.Lock()
	defer mu.Unlock()
	if len(stamps) < 2 {
		t.Errorf("%d intervals after the outage", len(stamps))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.logs) != 2 || !strings.HasPrefix(g.logs[0], "sink lost sink=graphite reason=") || g.logs[1] != "sink back sink=graphite" {
		t.Errorf("%q", g.logs)
	}
}

// A name that resolves to nothing is a sink that is lost; a wrong key is one whose receiver takes nothing.
func TestSinkUnknown(t *testing.T) {
	coll, err := fakes.NewCollectd("127.0.0.1:0", map[string]string{"wharf": "right"}, fakes.NewPointStore(nil))
	if err != nil {
		t.Fatal(err)
	}
	defer coll.Close()
	set := settings("nothing.invalid:2003", coll.Address())
	set.Collectd.Security, set.Collectd.Key = "encrypt", collectd.Key{User: "wharf", Secret: "wrong"}
	g := newRig(t, set)
	g.on()
	g.serve("v")
	g.until("a name of nothing", func(f map[string]uint64) bool { return f["telemetry.graphite.redials"] > 0 })
	if !coll.Await(g.stop, func(_ map[string]fakes.Point, faults []string) bool {
		return len(faults) > 0 && strings.Contains(faults[0], "wrong key")
	}) {
		t.Fatal("packets under a wrong key were taken")
	}
	if coll.Received() > 0 {
		t.Errorf("%d points under a wrong key", coll.Received())
	}
	set.Collectd.Key.Secret = "right" // as after SIGHUP
	g.r.Retune(set)
	g.await(coll.PointStore, "n1/junctionwharf-all/junctionwharf_requests/0", 1)
}

// A sink that is turned off with a full queue ends at once; the counts go on when it is on again, from 0.
//
// Each connection that is made anew to a receiver that reads nothing takes what has queued into the system's buffers, about
// 200 ms after the last one did. The queue has to be full before that, also where a busy machine makes intervals late: it holds
// two of them, so that the third is dropped.
func TestSinkTurnedOff(t *testing.T) {
	carbon := newCarbon(t)
	carbon.SetMode(fakes.NotReading)
	set := settings(carbon.Address(), "")
	set.Graphite.QueueBytes = 16 << 10
	g := newRig(t, set)
	g.on()
	g.serve("v")
	g.until("a full queue", func(f map[string]uint64) bool { return f["telemetry.graphite.dropped_intervals"] > 0 })
	g.r.Retune(settings("", ""))
	g.until("a sink that is off", func(f map[string]uint64) bool { return len(f) == 0 })
	second := newCarbon(t)
	g.r.Retune(settings(second.Address(), ""))
	g.until("a sink that is on", func(f map[string]uint64) bool { return len(f) > 0 })
	g.on()
	g.serve("v")
	g.await(second.PointStore, "w.n1.all.served", 1)
}

// At the end the unsent interval is flushed; a sink that stalls holds the end up to its time and no longer.
func TestFinish(t *testing.T) {
	carbon := newCarbon(t)
	g := newRig(t, settings(carbon.Address(), ""))
	g.on()
	g.r.hasten = nil
	for i := range 7 {
		g.serve(fmt.Sprint(i))
	}
	g.r.Finish(time.Now().Add(5 * time.Second))
	g.await(carbon.PointStore, "w.n1.all.served", 7)

	carbon.SetMode(fakes.NotReading)
	g = newRig(t, settings(carbon.Address(), ""))
	g.on()
	g.serve("v")
	g.until("a stalled sink", func(f map[string]uint64) bool { return f["telemetry.graphite.state"] == uint64(telemetry.Stalled) })
	before := g.r.all()[0].figures()
	s := g.r.all()[0]
	ended := make(chan struct{})
	go func() {
		g.r.Finish(time.Now().Add(60 * time.Millisecond))
		close(ended)
	}()
	select {
	case <-ended:
	case <-g.stop:
		t.Fatal("the end waits for a stalled sink")
	}
	if f := s.figures(); f.State != telemetry.Ended || f.QueueBytes != 0 ||
		f.Dropped <= before.Dropped && f.Redials <= before.Redials { // a late test may find it given up and dialled anew
		t.Errorf("%+v", f)
	}
}

// Notifications tell of nodes that leave and of a sink that is lost.
func TestNotices(t *testing.T) {
	coll, err := fakes.NewCollectd("127.0.0.1:0", nil, fakes.NewPointStore(nil))
	if err != nil {
		t.Fatal(err)
	}
	defer coll.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close() // nothing listens there
	g := newRig(t, settings(ln.Addr().String(), coll.Address()))
	g.on()
	g.loop.mu.Lock()
	g.r.Observe([]telemetry.Fact{{Kind: telemetry.NodeLeaving, Node: "s-1"}})
	g.loop.mu.Unlock()
	seen := func() string {
		var all []string
		for _, n := range coll.Notifications() {
			all = append(all, fmt.Sprint(n.Severity, " ", n.Text))
		}
		return strings.Join(all, "\n")
	}
	coll.Await(g.stop, func(map[string]fakes.Point, []string) bool {
		return strings.Contains(seen(), "2 node listed down: s-1") && strings.Contains(seen(), "1 graphite lost: ")
	})
	if text := seen(); !strings.Contains(text, "2 node listed down: s-1") || !strings.Contains(text, "1 graphite lost: ") {
		t.Errorf("%q", text)
	}
}

// The types that collectd is told stand in the file for its TypesDB, with as many values.
func TestTypesDB(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", "deploy", "types.db"))
	if err != nil {
		t.Fatal(err)
	}
	sources := map[string]int{}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0][0] != '#' {
			sources[fields[0]] = strings.Count(line, ":") / 3
		}
	}
	var lists []collectd.List
	r, err := telemetry.New(settings("", "").Registry)
	if err != nil {
		t.Fatal(err)
	}
	r.Observe([]telemetry.Fact{{Kind: telemetry.RequestEnded, Class: "read"}, {Kind: telemetry.AttemptEnded, Class: "read"}})
	up := telemetry.NewRollup()
	up.Add(r.Cut(nil), func() {})
	lists = listsOf([]broker.Metric{{Name: "taken", Counter: true}, {Name: "open"}}, up, telemetry.NewSummarizer())
	for _, l := range lists {
		if sources[l.Type] != len(l.Values) {
			t.Fatalf("%s has %d values, types.db says %d", l.Type, len(l.Values), sources[l.Type])
		}
	}
	if len(lists) < 20 {
		t.Errorf("%d lists", len(lists))
	}
}

// Sinks with intervals of their own are served from cuts of the common measure; a row that left between is told for the
// last time, and the sums still agree.
func TestRollup(t *testing.T) {
	r, err := telemetry.New(telemetry.Options{Classes: []string{"read"}, Plans: []string{"gold"}, Idle: 1})
	if err != nil {
		t.Fatal(err)
	}
	up := telemetry.NewRollup()
	for i := range 6 {
		for range 10 {
			r.Observe([]telemetry.Fact{{Kind: telemetry.RequestEnded, Class: "read", Plan: "gold", Volume: fmt.Sprint("v", i%4), Whole: 1000}})
		}
		up.Add(r.Cut(nil), func() {})
	}
	sums, timed, volumes := map[telemetry.Dimension]uint64{}, uint64(0), 0
	total := telemetry.NewSummarizer()
	up.Tell(func(row *telemetry.Row) {
		sums[row.Dimension] += row.Counts[telemetry.RequestsServed]
		if row.Dimension == telemetry.All {
			timed = total.Of(row.Times[telemetry.Whole]).Count
		}
		if row.Dimension == telemetry.ByVolume && !row.Special {
			volumes++
		}
	})
	for d := range telemetry.Dimensions {
		if sums[d] != 60 {
			t.Errorf("%d served over %s", sums[d], d)
		}
	}
	if timed != 60 || volumes != 4 || measure(10*time.Second, 15*time.Second) != 5*time.Second {
		t.Errorf("%d timed, %d volumes", timed, volumes)
	}
}

// BenchmarkInterval is what an interval costs beside the loop, with all rows in use.
func BenchmarkInterval(b *testing.B) {
	set := settings("127.0.0.1:1", "127.0.0.1:1")
	r, err := telemetry.New(set.Registry)
	if err != nil {
		b.Fatal(err)
	}
	for _, t := range targets(set, "n1") {
		b.Run(t.name, func(b *testing.B) {
			up, sum := telemetry.NewRollup(), telemetry.NewSummarizer()
			var spent *telemetry.Cut
			for range b.N {
				b.StopTimer()
				for i := range 20_000 {
					at := int64(i * 37 % 50_000)
					r.Observe([]telemetry.Fact{{Kind: telemetry.RequestEnded, Class: "read", Plan: "gold", Volume: fmt.Sprint(i % 60), Whole: at, Waiting: at / 3},
						{Kind: telemetry.AttemptEnded, Class: "read", Plan: "gold", Volume: fmt.Sprint(i % 60), AtNode: at}})
				}
				b.StartTimer()
				spent = r.Cut(spent)
				up.Add(spent, func() {})
				if _, err := t.encode("n1", nil, up, 1, sum); err != nil {
					b.Fatal(err)
				}
				spent.Clear(func() {})
			}
		})
	}
}
