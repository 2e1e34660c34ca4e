package telemetry

import (
	"cmp"
	"slices"
)

// Sketch finds the heaviest of many keys in fixed memory: Space-Saving (Metwally, Agrawal, El Abbadi, 2005) with
// weights and randomized admission (Basat, Einziger, Friedman, Kassner, 2017). A key that has no counter takes over the
// lightest one by chance, with the probability of its weight against both together, and takes that counter's count as
// its own possible error. So the many light keys mostly pass at the price of a lookup, and a key that stays gets a
// counter after about as much weight as the lightest counter holds. The lower bound of a key, its count less its error,
// is never above its true weight.
//
// Keys are 64-bit hashes, so no names are kept of the keys that pass by. The counters lie in a heap by count; an
// open-addressing table finds a key's counter. Add does not allocate. The same calls give the same counters.
type Sketch struct {
	heap   []sketchCounter // the lightest first
	index  []int32         // by hash: a position in heap + 1, 0 for none
	mask   uint64          // len(index) - 1
	random uint64          // state of the generator
}

type sketchCounter struct {
	key          uint64
	count, error float64
	slot         int32 // the position in index that points here
}

// lowerBound is what the key weighs at least.
func (c sketchCounter) lowerBound() float64 { return c.count - c.error }

const (
	// heapArity is how many children a position of the heap has: four make half as many levels as two.
	heapArity = 4
	// minIndex and indexFactor size the index: at a quarter of its slots in use a lookup takes hardly more than one.
	minIndex    = 8
	indexFactor = 4
	// randomSeed and randomMultiplier are those of xorshift64*. The seed is fixed, so that the same calls give the
	// same counters.
	randomSeed       = 0x9e3779b97f4a7c15
	randomMultiplier = 0x2545f4914f6cdd1d
	// floatBits are the bits of a float64's fraction: so many random bits make a number below 1.
	floatBits = 53
)

// NewSketch returns a sketch with so many counters, at least one.
func NewSketch(counters int) *Sketch {
	counters = max(1, counters)
	size := minIndex
	for size < indexFactor*counters {
		size *= 2
	}
	return &Sketch{
		heap:   make([]sketchCounter, 0, counters),
		index:  make([]int32, size),
		mask:   uint64(size - 1),
		random: randomSeed,
	}
}

// Add counts a weight, which must not be negative.
func (s *Sketch) Add(key uint64, weight float64) {
	slot, found := s.find(key)
	switch {
	case found:
		position := int(s.index[slot]) - 1
		c := s.heap[position]
		c.count += weight
		s.siftDown(position, c)
	case len(s.heap) < cap(s.heap):
		s.heap = append(s.heap, sketchCounter{})
		s.siftUp(len(s.heap)-1, sketchCounter{key: key, count: weight, slot: int32(slot)})
	default:
		lightest := s.heap[0]
		if s.nextRandom()*(lightest.count+weight) >= weight {
			return
		}
		s.removeSlot(lightest.slot)
		slot, _ = s.find(key) // removeSlot has moved slots
		s.siftDown(0, sketchCounter{
			key:   key,
			count: lightest.count + weight,
			error: lightest.count,
			slot:  int32(slot),
		})
	}
}

// nextRandom returns a number from 0 to below 1 (xorshift64*, Vigna 2016).
func (s *Sketch) nextRandom() float64 {
	s.random ^= s.random >> 12
	s.random ^= s.random << 25
	s.random ^= s.random >> 27
	return float64(s.random*randomMultiplier>>(64-floatBits)) / (1 << floatBits)
}

// LowerBound is the weight that a key has at least: 0 for one without a counter.
func (s *Sketch) LowerBound(key uint64) float64 {
	slot, found := s.find(key)
	if !found {
		return 0
	}
	return s.heap[s.index[slot]-1].lowerBound()
}

// byLowerBound is a copy of all counters, the one with the highest lower bound first.
func (s *Sketch) byLowerBound() []sketchCounter {
	counters := slices.Clone(s.heap)
	slices.SortFunc(counters, func(a, b sketchCounter) int {
		return cmp.Or(cmp.Compare(b.lowerBound(), a.lowerBound()), cmp.Compare(a.key, b.key))
	})
	return counters
}

// Remove drops a key's counter.
func (s *Sketch) Remove(key uint64) {
	slot, found := s.find(key)
	if !found {
		return
	}
	position := int(s.index[slot]) - 1
	last := len(s.heap) - 1
	s.removeSlot(int32(slot))
	moved := s.heap[last]
	s.heap = s.heap[:last]
	if position < last {
		s.siftUp(s.siftDown(position, moved), moved)
	}
}

// Halve halves all weights, so that the past fades.
func (s *Sketch) Halve() {
	for i := range s.heap {
		s.heap[i].count /= 2
		s.heap[i].error /= 2
	}
}

// find returns the slot of the index where a key stands, or would stand.
func (s *Sketch) find(key uint64) (slot uint64, found bool) {
	for slot = key & s.mask; s.index[slot] != 0; slot = (slot + 1) & s.mask {
		if s.heap[s.index[slot]-1].key == key {
			return slot, true
		}
	}
	return slot, false
}

// removeSlot empties a slot of the index and closes the gap behind it: a key that stands after a gap in its probe
// sequence would no longer be found.
func (s *Sketch) removeSlot(slot int32) {
	gap := uint64(slot)
	for next := (gap + 1) & s.mask; s.index[next] != 0; next = (next + 1) & s.mask {
		c := &s.heap[s.index[next]-1]
		if (next-c.key)&s.mask >= (next-gap)&s.mask {
			s.index[gap] = s.index[next]
			c.slot = int32(gap)
			gap = next
		}
	}
	s.index[gap] = 0
}

func (s *Sketch) set(position int, c sketchCounter) {
	s.heap[position] = c
	s.index[c.slot] = int32(position + 1)
}

// siftDown puts a counter at a position, or below it where it belongs, and returns where.
func (s *Sketch) siftDown(position int, c sketchCounter) int {
	for {
		first := heapArity*position + 1
		if first >= len(s.heap) {
			break
		}
		lightest := first
		for child := first + 1; child < min(first+heapArity, len(s.heap)); child++ {
			if s.heap[child].count < s.heap[lightest].count {
				lightest = child
			}
		}
		if c.count <= s.heap[lightest].count {
			break
		}
		s.set(position, s.heap[lightest])
		position = lightest
	}
	s.set(position, c)
	return position
}

// siftUp puts a counter at a position, or above it where it belongs.
func (s *Sketch) siftUp(position int, c sketchCounter) {
	for position > 0 && c.count < s.heap[parentOf(position)].count {
		s.set(position, s.heap[parentOf(position)])
		position = parentOf(position)
	}
	s.set(position, c)
}

func parentOf(position int) int { return (position - 1) / heapArity }
