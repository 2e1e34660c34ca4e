package telemetry

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
)

func newRegistry(t testing.TB, options Options) *Registry {
	t.Helper()
	if options.Classes == nil {
		options.Classes = []string{"read", "write"}
		options.Plans = []string{"gold", "basic"}
	}
	r, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// checkSnapshot compares a snapshot with totals that were counted without a registry, and checks the bound on series.
func checkSnapshot(t *testing.T, r *Registry, snapshot *Snapshot, want Counts) {
	t.Helper()
	var sums [DimensionCount]Counts
	seen := map[string]bool{}
	for _, row := range snapshot.Rows {
		for counter, count := range row.Counts {
			sums[row.Dimension][counter] += count
		}
		key := fmt.Sprint(row.Dimension, row.Reserved, row.Name)
		if seen[key] {
			t.Errorf("the snapshot contains row %s twice", key)
		}
		seen[key] = true
	}
	for dimension, sum := range sums {
		if sum != want {
			t.Fatalf("sum over dimension %s: got %v, want %v", Dimension(dimension), sum, want)
		}
	}
	series := len(snapshot.Rows)*SeriesPerRow + r.options.ReservedSeries
	if series > r.options.MaxSeries {
		t.Fatalf("%d series, want at most %d", series, r.options.MaxSeries)
	}
}

// count adds an observation to the totals, without a registry.
func (c *Counts) count(o Observation) {
	switch o.Kind {
	case RequestEnded:
		c[o.RequestOutcome]++
		c[MilliUnits] += uint64(o.Units*1000 + 0.5)
		if o.RequestOutcome == Served {
			c[MilliUnitsServed] += uint64(o.Units*1000 + 0.5)
		}
	case AttemptEnded:
		c[Attempts]++
		c[FirstAttemptOutcome+Counter(o.AttemptOutcome)]++
	}
}

func randomObservation(random *rand.Rand) Observation {
	randomName := func(prefix string, n int) string { return fmt.Sprint(prefix, random.IntN(n)) }
	o := Observation{
		Class:       "read",
		Plan:        randomName("p", 3),
		Volume:      randomName("v", 1+random.IntN(200)),
		Node:        randomName("n", 30),
		Units:       float64(random.IntN(9000)) / 1000,
		TotalMicros: random.Int64N(1e8),
		QueueMicros: random.Int64N(1e5),
	}
	o.Kind = ObservationKind(random.IntN(5))
	switch o.Kind {
	case RequestEnded:
		if random.IntN(4) == 0 {
			o.Node = ""
		}
		o.RequestOutcome = RequestOutcome(random.IntN(4))
	case AttemptEnded:
		o.AttemptOutcome = AttemptOutcome(random.IntN(int(attemptOutcomeCount)))
	}
	return o
}

// Volumes and nodes appear and disappear at random, and the bound only has room for a few of them. At every snapshot
// the sum over each dimension equals the total that was counted without the registry. The series stay within the bound.
func TestSumsAreExact(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 1))
		r := newRegistry(t, Options{
			MaxSeries:     SeriesPerRow * (11 + random.IntN(40)),
			IdleSnapshots: 3,
			MinSnapshots:  1 + random.IntN(3),
		})
		var want Counts
		var previous *Snapshot
		for range 40 {
			for range random.IntN(300) {
				o := randomObservation(random)
				want.count(o)
				r.Observe([]Observation{o})
			}
			previous = r.Snapshot(previous)
			checkSnapshot(t, r, previous, want)
			previous.Reset(func() {})
		}
	}
}

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Twenty heavy volumes have rows when requests for 100,000 new volumes arrive within an interval. The heavy volumes
// keep their rows, the series stay within the bound, and the memory hardly grows.
func TestBurstOfVolumes(t *testing.T) {
	r := newRegistry(t, Options{MaxSeries: 2000})
	var want Counts
	send := func(volume string, units float64) {
		o := Observation{Kind: RequestEnded, Class: "read", Plan: "gold", Volume: volume, Units: units}
		r.Observe([]Observation{o})
		want.count(o)
	}
	const heavy = 20
	for range 5 {
		for v := range heavy {
			for range 50 {
				send(fmt.Sprint("heavy", v), 4)
			}
		}
		r.Snapshot(nil)
	}
	before := heapBytes()
	for i := range 100_000 {
		send(fmt.Sprint("new", i), 1)
		if i%100 == 0 {
			send(fmt.Sprint("heavy", i/100%heavy), 4)
		}
	}
	after := heapBytes()
	snapshot := r.Snapshot(nil)
	checkSnapshot(t, r, snapshot, want)
	heavyRows := 0
	for name := range volumeRows(snapshot) {
		if strings.HasPrefix(name, "heavy") {
			heavyRows++
		}
	}
	if heavyRows != heavy {
		t.Errorf("%d of %d heavy volumes have rows, want all", heavyRows, heavy)
	}
	if grown := after - before; grown > 1<<20 {
		t.Errorf("the heap grew by %d bytes, want at most 1 MiB", grown)
	}
}

// Ten nodes are replaced by ten others, twenty times, while volumes use all remaining rows. Each removed node is
// reported with its final value, and an attempt that ends later counts in Other. Each new node gets the row of a
// volume.
func TestNodesReplaced(t *testing.T) {
	const nodes = 10
	r := newRegistry(t, Options{MaxSeries: SeriesPerRow * 30})
	var want Counts
	observe := func(o Observation) {
		r.Observe([]Observation{o})
		want.count(o)
	}
	for i := range 100 {
		observe(Observation{Kind: RequestEnded, Class: "read", Plan: "gold", Volume: fmt.Sprint(i)})
	}
	for round := range 20 {
		nodeName := func(i int) string { return fmt.Sprint("n", round, "-", i) }
		for i := range nodes {
			observe(Observation{Kind: NodeListed, Node: nodeName(i)})
			observe(Observation{Kind: AttemptEnded, Class: "read", Plan: "gold", Volume: "1", Node: nodeName(i)})
		}
		r.Snapshot(nil)
		checkSnapshot(t, r, r.Snapshot(nil), want)
		if len(r.nodes) != nodes {
			t.Fatalf("round %d: %d nodes have rows, want %d", round, len(r.nodes), nodes)
		}
		for i := range nodes {
			observe(Observation{Kind: NodeUnlisted, Node: nodeName(i)})
		}
		final := 0
		for _, row := range r.Snapshot(nil).Rows {
			if row.Dimension == ByNode && row.Final {
				final++
			}
		}
		if final != nodes {
			t.Fatalf("round %d: %d nodes were removed with their final value, want %d", round, final, nodes)
		}
		observe(Observation{Kind: AttemptEnded, Class: "read", Plan: "gold", Node: nodeName(0)})
	}
}

// Classes and plans always have rows. Options without room for these rows give an error that names the option.
func TestOptionsTooSmall(t *testing.T) {
	for _, test := range []struct {
		options Options
		option  string
	}{
		{Options{MaxSeries: 280}, "max_series"},
		{Options{MaxBytes: 1000}, "max_bytes"},
	} {
		test.options.Classes = []string{"a"}
		test.options.Plans = []string{"b"}
		_, err := New(test.options)
		var optionError *OptionError
		if !errors.As(err, &optionError) || optionError.Option != test.option {
			t.Errorf("got error %v, want an OptionError for %s", err, test.option)
		}
	}
}

// A reload removes a class and adds another class. The row of the removed class disappears, and Other keeps its counts.
// The added class counts from then on.
func TestApplyOptions(t *testing.T) {
	r := newRegistry(t, Options{})
	r.Observe([]Observation{{Kind: RequestEnded, Class: "write", Plan: "gold"}})
	if err := r.ApplyOptions(Options{Classes: []string{"read", "new"}, Plans: []string{"gold"}}); err != nil {
		t.Fatal(err)
	}
	r.Snapshot(nil)
	r.Observe([]Observation{{Kind: RequestEnded, Class: "new", Plan: "basic"}})
	var want Counts
	want[RequestsServed] = 2
	checkSnapshot(t, r, r.Snapshot(nil), want)
	if r.classes["write"] != nil || r.classes["new"].counts[RequestsServed] != 1 {
		t.Error("want no row for the removed class and one request in the row of the added class")
	}
}
