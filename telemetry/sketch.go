package telemetry

import (
	"cmp"
	"slices"
)

// Sketch finds the heaviest of many keys in fixed memory. It is Space-Saving (Metwally, Agrawal, El Abbadi, 2005) with
// weights and randomized admission (Basat, Einziger, Friedman, Kassner, 2017). A key without a counter takes over the
// lightest counter with a probability: its own weight divided by the sum of both weights. The count of that counter
// becomes the possible error of the new key. So most light keys only cost a lookup, and a key that keeps appearing gets
// a counter after about as much weight as the lightest counter has. The lower bound of a key is its count minus its
// error and is never above its true weight.
//
// Keys are 64-bit hashes, so the sketch stores no names. The counters are in a heap ordered by count, and an
// open-addressing table finds the counter of a key. Add does not allocate. The same calls give the same counters.
type Sketch struct {
	heap   []sketchCounter // the lightest counter first
	index  []int32         // by hash: a position in heap plus 1, 0 for an empty slot
	mask   uint64          // len(index) - 1
	random uint64          // state of the random number generator
}

type sketchCounter struct {
	key          uint64
	count, error float64
	slot         int32 // the position in index that refers to this counter
}

// lowerBound returns a lower bound of the weight of the key.
func (c sketchCounter) lowerBound() float64 { return c.count - c.error }

const (
	// heapArity is the number of children of a position in the heap. Four children need half as many levels as two.
	heapArity = 4
	// minIndex and indexFactor determine the size of the index. If at most a quarter of its slots are in use, a lookup
	// rarely needs more than one probe.
	minIndex    = 8
	indexFactor = 4
	// randomSeed and randomMultiplier are the constants of xorshift64*. The seed is fixed, so that the same calls give
	// the same counters.
	randomSeed       = 0x9e3779b97f4a7c15
	randomMultiplier = 0x2545f4914f6cdd1d
	// floatBits is the precision of a float64 in bits: this many random bits make a random number below 1.
	floatBits = 53
)

// NewSketch returns a sketch with the given number of counters, at least one.
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

// Add adds a weight to a key. The weight must not be negative.
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

// LowerBound returns a lower bound of the weight of a key, which is 0 for a key without a counter.
func (s *Sketch) LowerBound(key uint64) float64 {
	slot, found := s.find(key)
	if !found {
		return 0
	}
	return s.heap[s.index[slot]-1].lowerBound()
}

// byLowerBound returns a copy of all counters, sorted by lower bound, the highest first.
func (s *Sketch) byLowerBound() []sketchCounter {
	counters := slices.Clone(s.heap)
	slices.SortFunc(counters, func(a, b sketchCounter) int {
		return cmp.Or(cmp.Compare(b.lowerBound(), a.lowerBound()), cmp.Compare(a.key, b.key))
	})
	return counters
}

// Remove removes the counter of a key, if there is one.
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

// Halve halves all counts and errors, so that older weight counts less.
func (s *Sketch) Halve() {
	for i := range s.heap {
		s.heap[i].count /= 2
		s.heap[i].error /= 2
	}
}

// find returns the slot of a key in the index, or the slot at which the key would be inserted.
func (s *Sketch) find(key uint64) (slot uint64, found bool) {
	for slot = key & s.mask; s.index[slot] != 0; slot = (slot + 1) & s.mask {
		if s.heap[s.index[slot]-1].key == key {
			return slot, true
		}
	}
	return slot, false
}

// removeSlot empties a slot of the index and moves later slots into the gap. Without the move, a lookup would stop at
// the gap and miss the keys behind it in the probe sequence.
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

// siftDown inserts a counter at a position, or below it as the heap order requires. It returns the final position.
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

// siftUp inserts a counter at a position, or above it as the heap order requires.
func (s *Sketch) siftUp(position int, c sketchCounter) {
	for position > 0 && c.count < s.heap[parentOf(position)].count {
		s.set(position, s.heap[parentOf(position)])
		position = parentOf(position)
	}
	s.set(position, c)
}

func parentOf(position int) int { return (position - 1) / heapArity }
