package telemetry

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// BenchmarkSketch compares the sketch with a map, which is exact and whose memory is unbounded.
func BenchmarkSketch(b *testing.B) {
	const keyCount = 1 << 17
	random := rand.New(rand.NewPCG(1, 3))
	keys := make([]uint64, keyCount)
	for i := range keys {
		keys[i] = hashOf(fmt.Sprint("volume", random.IntN(100_000)))
	}
	b.Run("sketch", func(b *testing.B) {
		b.ReportAllocs()
		s := NewSketch(256)
		for i := 0; b.Loop(); i++ {
			s.Add(keys[i&(keyCount-1)], 1)
		}
	})
	b.Run("map", func(b *testing.B) {
		b.ReportAllocs()
		m := map[uint64]float64{}
		for i := 0; b.Loop(); i++ {
			m[keys[i&(keyCount-1)]]++
		}
	})
}

// BenchmarkObserve measures the cost of telemetry for a request with one attempt.
func BenchmarkObserve(b *testing.B) {
	for _, volumes := range []int{40, 100_000} {
		b.Run(fmt.Sprint("volumes=", volumes), func(b *testing.B) { benchmarkObserve(b, volumes) })
	}
}

func benchmarkObserve(b *testing.B, volumes int) {
	const nodes = 10
	r := newRegistry(b, Options{})
	observations := make([]Observation, 1<<14)
	for i := 0; i < len(observations); i += 2 {
		o := Observation{
			Kind:          AttemptEnded,
			Class:         "read",
			Plan:          "gold",
			Node:          fmt.Sprint("node", i%nodes),
			Volume:        fmt.Sprintf("%016x", i*7919%volumes),
			AttemptMicros: int64(i),
			Units:         2,
			TotalMicros:   int64(2 * i),
			QueueMicros:   int64(i),
		}
		observations[i] = o
		o.Kind = RequestEnded
		observations[i+1] = o
	}
	for i := range nodes {
		r.Observe([]Observation{{Kind: NodeListed, Node: fmt.Sprint("node", i)}})
	}
	r.Observe(observations)
	b.ReportAllocs()
	for i := 0; b.Loop(); i += 2 {
		next := i & (len(observations) - 1)
		r.Observe(observations[next : next+2])
	}
}

// BenchmarkSnapshot measures the cost of an interval on the broker's loop, without the reader's summary.
func BenchmarkSnapshot(b *testing.B) {
	r := newRegistry(b, Options{})
	for i := range 60 {
		volume := fmt.Sprint(i)
		r.Observe([]Observation{
			{Kind: RequestEnded, Class: "read", Plan: "gold", Volume: volume},
			{Kind: AttemptEnded, Class: "read", Plan: "gold", Volume: volume},
		})
	}
	var previous *Snapshot
	b.ReportAllocs()
	for b.Loop() {
		previous = r.Snapshot(previous)
	}
}
