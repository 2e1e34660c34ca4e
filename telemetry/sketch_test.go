package telemetry

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// checkStructure checks that the heap is ordered and that the index refers to each counter.
func (s *Sketch) checkStructure(t *testing.T) {
	t.Helper()
	for position, c := range s.heap {
		slot, found := s.find(c.key)
		if !found || int(s.index[slot])-1 != position {
			t.Fatalf("the index does not refer to heap position %d", position)
		}
		if position > 0 && s.heap[parentOf(position)].count > c.count {
			t.Fatalf("the heap is out of order at position %d", position)
		}
	}
}

// Random keys, some far more frequent than others, are added to the sketch and to a plain map. No lower bound exceeds
// the true weight, and each key with a large share of the total weight has a counter.
func TestSketch(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { testSketch(t, seed) })
	}
}

func testSketch(t *testing.T, seed uint64) {
	const counters = 64
	random := rand.New(rand.NewPCG(seed, 3))
	s := NewSketch(counters)
	weights := map[uint64]float64{}
	sum := 0.0
	zipf := rand.NewZipf(random, 1.1, 1, 5000)
	for range 20_000 {
		key := hashOf(fmt.Sprint(zipf.Uint64()))
		weight := float64(1 + random.IntN(8))
		s.Add(key, weight)
		weights[key] += weight
		sum += weight
		if random.IntN(1000) == 0 {
			removed := s.heap[random.IntN(len(s.heap))].key
			s.Remove(removed)
			sum -= weights[removed]
			delete(weights, removed)
		}
	}
	for key, weight := range weights {
		if bound := s.LowerBound(key); bound > weight {
			t.Fatalf("the lower bound of a key of weight %v is %v, want at most the weight", weight, bound)
		}
		if _, found := s.find(key); !found && weight > 2*sum/counters {
			t.Fatalf("a key of weight %v out of %v has no counter, want one", weight, sum)
		}
	}
	s.checkStructure(t)
}
