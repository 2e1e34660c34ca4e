package metricsexport

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"junctionwharf/broker"
	"junctionwharf/telemetry"
)

// readTypesDB returns the number of values of each type in deploy/types.db.
func readTypesDB(t *testing.T) map[string]int {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "deploy", "types.db"))
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]int{}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) > 1 && fields[0][0] != '#' {
			values[fields[0]] = strings.Count(line, ":") / 3
		}
	}
	return values
}

// deploy/types.db, which operators add to collectd's TypesDB, defines all types that collectd receives, with the same
// number of values.
func TestTypesDB(t *testing.T) {
	types := readTypesDB(t)
	registry, err := telemetry.New(testSettings("", "").Registry)
	if err != nil {
		t.Fatal(err)
	}
	registry.Observe([]telemetry.Observation{
		{Kind: telemetry.RequestEnded, Class: "read"},
		{Kind: telemetry.AttemptEnded, Class: "read"},
	})
	rollup := telemetry.NewRollup()
	rollup.Add(registry.Snapshot(nil), func() {})
	lists := valueLists(interval{
		metrics:    []broker.Metric{{Name: "taken", Counter: true}, {Name: "open"}},
		rollup:     rollup,
		summarizer: telemetry.NewSummarizer(),
	})
	for _, list := range lists {
		if types[list.Type] != len(list.Values) {
			t.Fatalf("%s has %d values, want %d as in types.db", list.Type, len(list.Values), types[list.Type])
		}
	}
	if len(lists) < 20 {
		t.Errorf("%d value lists, want at least 20", len(lists))
	}
}

// A sink's interval consists of six snapshots, and volumes are removed between them. Each removed row is reported once,
// and the sums over the dimensions are still equal.
func TestRollup(t *testing.T) {
	registry, err := telemetry.New(telemetry.Options{
		Classes:       []string{"read"},
		Plans:         []string{"gold"},
		IdleSnapshots: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	rollup := telemetry.NewRollup()
	for i := range 6 {
		for range 10 {
			registry.Observe([]telemetry.Observation{{
				Kind:        telemetry.RequestEnded,
				Class:       "read",
				Plan:        "gold",
				Volume:      fmt.Sprint("v", i%4),
				TotalMicros: 1000,
			}})
		}
		rollup.Add(registry.Snapshot(nil), func() {})
	}
	sums := map[telemetry.Dimension]uint64{}
	timed := uint64(0)
	volumes := 0
	summarizer := telemetry.NewSummarizer()
	rollup.Flush(func(row *telemetry.Row) {
		sums[row.Dimension] += row.Counts[telemetry.RequestsServed]
		if row.Dimension == telemetry.All {
			timed = summarizer.Summarize(row.Histograms[telemetry.TotalLatency]).Count
		}
		if row.Dimension == telemetry.ByVolume && !row.Reserved {
			volumes++
		}
	})
	for dimension := range telemetry.DimensionCount {
		if sums[dimension] != 60 {
			t.Errorf("%d requests served over dimension %s, want 60", sums[dimension], dimension)
		}
	}
	if timed != 60 || volumes != 4 {
		t.Errorf("%d times, %d volumes, want 60 and 4", timed, volumes)
	}
}

func TestGreatestCommonDivisor(t *testing.T) {
	if got := greatestCommonDivisor(10*time.Second, 15*time.Second); got != 5*time.Second {
		t.Errorf("greatest common divisor of 10 s and 15 s: got %v, want 5 s", got)
	}
}

// BenchmarkInterval measures the cost of an interval outside the loop, with all rows in use.
func BenchmarkInterval(b *testing.B) {
	settings := testSettings("127.0.0.1:1", "127.0.0.1:1")
	registry, err := telemetry.New(settings.Registry)
	if err != nil {
		b.Fatal(err)
	}
	for _, target := range targets(settings, testBroker) {
		b.Run(target.name, func(b *testing.B) { benchmarkInterval(b, registry, target) })
	}
}

func benchmarkInterval(b *testing.B, registry *telemetry.Registry, t target) {
	rollup := telemetry.NewRollup()
	summarizer := telemetry.NewSummarizer()
	var previous *telemetry.Snapshot
	for range b.N {
		b.StopTimer()
		for i := range 20_000 {
			observeRequest(registry, fmt.Sprint(i%60), int64(i*37%50_000))
		}
		b.StartTimer()
		previous = registry.Snapshot(previous)
		rollup.Add(previous, func() {})
		_, err := t.encode(interval{
			broker:     testBroker,
			timestamp:  1,
			rollup:     rollup,
			summarizer: summarizer,
		})
		if err != nil {
			b.Fatal(err)
		}
		previous.Reset(func() {})
	}
}

func observeRequest(registry *telemetry.Registry, volume string, micros int64) {
	registry.Observe([]telemetry.Observation{
		{
			Kind:        telemetry.RequestEnded,
			Class:       "read",
			Plan:        "gold",
			Volume:      volume,
			TotalMicros: micros,
			QueueMicros: micros / 3,
		},
		{
			Kind:          telemetry.AttemptEnded,
			Class:         "read",
			Plan:          "gold",
			Volume:        volume,
			AttemptMicros: micros,
		},
	})
}
