package load

import (
	"context"
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"
)

// testTraffic is a second of reads and writes.
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

// The same seed draws the same requests, in order, at the rate and in the mix.
func TestArrivals(t *testing.T) {
	arrivals := slices.Collect(testTraffic().Arrivals)
	if !slices.Equal(arrivals, slices.Collect(testTraffic().Arrivals)) {
		t.Error("two draws from one seed differ")
	}
	reads := 0
	for i, a := range arrivals {
		if i > 0 && a.At < arrivals[i-1].At {
			t.Fatalf("%+v is before %+v", a, arrivals[i-1])
		}
		if a.At >= time.Second || a.Volume < 1 || a.Volume > 10 || a.Shard > 1 || a.Units < 1 || a.Units > 4 {
			t.Fatalf("%+v", a)
		}
		if a.Class == 0 {
			reads++
		}
	}
	if len(arrivals) < 400 || len(arrivals) > 600 || reads*4 < len(arrivals)*2 || reads*10 > len(arrivals)*9 {
		t.Errorf("%d requests, %d reads", len(arrivals), reads)
	}
	other := testTraffic()
	other.Seed = 8
	if slices.Equal(arrivals, slices.Collect(other.Arrivals)) {
		t.Error("another seed draws the same")
	}
}

// Recorded figures name their seed: another order of the draws would have the same seed send another load, and no run
// could be compared with an older one.
func TestArrivalsOfASeedStay(t *testing.T) {
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
			t.Errorf("skew %v: %d requests of hash %x, want %d of %x", c.skew, count, hash.Sum64(), c.count, c.hash)
		}
	}
}

func TestInvalidTraffic(t *testing.T) {
	for name, spoil := range map[string]func(*Traffic){
		"no rate":           func(t *Traffic) { t.Rate = 0 },
		"no classes":        func(t *Traffic) { t.Classes = nil },
		"negative duration": func(t *Traffic) { t.Duration = -1 },
		"too many requests": func(t *Traffic) { t.Rate = 1e12 },
		"no volumes":        func(t *Traffic) { t.Volumes = 0 },
		"skew below 1":      func(t *Traffic) { t.Skew = 0.5 },
	} {
		t.Run(name, func(t *testing.T) {
			traffic := testTraffic()
			spoil(&traffic)
			_, err := Run(context.Background(), traffic, Options{Addresses: []string{"127.0.0.1:1"}})
			if err == nil {
				t.Errorf("%+v is taken", traffic)
			}
		})
	}
}
