package load

import (
	"context"
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"
)

// testTraffic returns one second of reads and writes.
func testTraffic() Traffic {
	return Traffic{
		Classes: []RequestClass{
			{Name: "read", Share: 3, Deadline: time.Second},
			{Name: "write", Share: 1, Write: true, Deadline: time.Second},
		},
		Plans:    []string{"gold", "basic"},
		Volumes:  10,
		Shards:   2,
		MaxUnits: 4,
		Rate:     500,
		Duration: time.Second,
		Seed:     7,
	}
}

// Checks that a seed determines the requests, and that the requests have the right order, ranges, rate and mix.
func TestArrivals(t *testing.T) {
	arrivals := slices.Collect(testTraffic().Arrivals)
	if !slices.Equal(arrivals, slices.Collect(testTraffic().Arrivals)) {
		t.Error("two draws with the same seed differ")
	}
	reads := 0
	for i, a := range arrivals {
		if i > 0 && a.At < arrivals[i-1].At {
			t.Fatalf("arrival %+v precedes the one before it, %+v", a, arrivals[i-1])
		}
		if a.At >= time.Second || a.Volume < 1 || a.Volume > 10 || a.Shard > 1 || a.Units < 1 || a.Units > 4 {
			t.Fatalf("field out of range in %+v", a)
		}
		if a.Class == 0 {
			reads++
		}
	}
	if len(arrivals) < 400 || len(arrivals) > 600 || reads*4 < len(arrivals)*2 || reads*10 > len(arrivals)*9 {
		t.Errorf("got %d requests with %d reads, want some 500 with some 375", len(arrivals), reads)
	}
	other := testTraffic()
	other.Seed = 8
	if slices.Equal(arrivals, slices.Collect(other.Arrivals)) {
		t.Error("seeds 7 and 8 draw the same requests")
	}
}

// Recorded measurements name their seed. If the order of the draws changed, a seed would produce a different load, and
// new runs could not be compared with older ones.
func TestArrivalsOfSeedDoNotChange(t *testing.T) {
	for _, c := range []struct {
		skew  float64
		count int
		hash  uint64
	}{
		{0, 492, 0xa63ff9f475f61b98},
		{1.2, 482, 0xe56ae7b17f3eb187},
	} {
		traffic := testTraffic()
		traffic.Skew = c.skew
		hash := fnv.New64a()
		count := 0
		for a := range traffic.Arrivals {
			count++
			_, _ = fmt.Fprintln(hash, int64(a.At), a.Class, a.Plan, a.Volume, a.Shard, a.Units, a.Key)
		}
		if count != c.count || hash.Sum64() != c.hash {
			t.Errorf("skew %v: %d requests with hash %x, want %d with %x", c.skew, count, hash.Sum64(), c.count, c.hash)
		}
	}
}

func TestInvalidTraffic(t *testing.T) {
	for name, invalidate := range map[string]func(*Traffic){
		"no rate":           func(t *Traffic) { t.Rate = 0 },
		"no classes":        func(t *Traffic) { t.Classes = nil },
		"negative duration": func(t *Traffic) { t.Duration = -1 },
		"too many requests": func(t *Traffic) { t.Rate = 1e12 },
		"no volumes":        func(t *Traffic) { t.Volumes = 0 },
		"skew below 1":      func(t *Traffic) { t.Skew = 0.5 },
	} {
		t.Run(name, func(t *testing.T) {
			traffic := testTraffic()
			invalidate(&traffic)
			_, err := Run(context.Background(), traffic, Options{Addresses: []string{"127.0.0.1:1"}})
			if err == nil {
				t.Errorf("invalid traffic was accepted: %+v", traffic)
			}
		})
	}
}
