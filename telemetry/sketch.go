package telemetry

// Sketch finds the heaviest of many keys in fixed memory: Space-Saving (Metwally, Agrawal, El Abbadi, 2005) with weights and
// randomized admission (Basat, Einziger, Friedman, Kassner, 2017). It holds so many counters. A key that has none
// takes over the least one by chance, its weight against both together, and takes that one's count as its own
// possible error; so the crowd of light keys mostly passes at the price of a look, and a key that stays gets in after about as
// much weight as the least counter holds. What is sure of a key, its count less its error, is never above its
// true weight.
//
// Keys are 64-bit hashes, so nothing is kept of the names that pass by. The counters lie in a heap by count; an
// open-addressing table finds a key's counter. Add does not allocate. The same adds give the same counters.
type Sketch struct {
	heap  []counter // the least first
	index []int32   // by hash: a place in heap + 1, 0 for none
	mask  uint64
	dice  uint64
}

type counter struct {
	key          uint64
	count, error float64
	slot         int32 // where the index names it
}

// sure is what the key weighs at the least.
func (c counter) sure() float64 { return c.count - c.error }

// branch is how many children a place of the heap has: four make half as many levels as two.
const branch = 4

// NewSketch returns a sketch of so many counters, one at least.
func NewSketch(counters int) *Sketch {
	counters = max(1, counters)
	size := 8
	for size < 4*counters {
		size *= 2
	}
	return &Sketch{heap: make([]counter, 0, counters), index: make([]int32, size), mask: uint64(size - 1), dice: 0x9e3779b97f4a7c15}
}

// Add counts a weight, which must not be negative.
func (s *Sketch) Add(key uint64, weight float64) {
	at, found := s.find(key)
	switch {
	case found:
		c := s.heap[s.index[at]-1]
		c.count += weight
		s.down(int(s.index[at])-1, c)
	case len(s.heap) < cap(s.heap):
		s.heap = append(s.heap, counter{})
		s.up(len(s.heap)-1, counter{key: key, count: weight, slot: int32(at)})
	default:
		least := s.heap[0]
		if s.roll()*(least.count+weight) >= weight {
			return
		}
		s.unindex(least.slot)
		at, _ = s.find(key) // the table has moved
		s.down(0, counter{key: key, count: least.count + weight, error: least.count, slot: int32(at)})
	}
}

// roll draws a number from 0 to below 1 (xorshift64*, Vigna 2016).
func (s *Sketch) roll() float64 {
	s.dice ^= s.dice >> 12
	s.dice ^= s.dice << 25
	s.dice ^= s.dice >> 27
	return float64(s.dice*0x2545f4914f6cdd1d>>11) / (1 << 53)
}

// LowerBound is the weight that a key has at the least: 0 for one without a counter.
func (s *Sketch) LowerBound(key uint64) float64 {
	at, found := s.find(key)
	if !found {
		return 0
	}
	return s.heap[s.index[at]-1].sure()
}

// Remove gives up a key's counter.
func (s *Sketch) Remove(key uint64) {
	at, found := s.find(key)
	if !found {
		return
	}
	place, last := int(s.index[at])-1, len(s.heap)-1
	s.unindex(int32(at))
	moved := s.heap[last]
	s.heap = s.heap[:last]
	if place < last {
		s.up(s.down(place, moved), moved)
	}
}

// Halve lets all weights count half from now on, so that the past fades.
func (s *Sketch) Halve() {
	for i := range s.heap {
		s.heap[i].count /= 2
		s.heap[i].error /= 2
	}
}

// find returns where in the index a key stands, or would stand.
func (s *Sketch) find(key uint64) (at uint64, found bool) {
	for at = key & s.mask; s.index[at] != 0; at = (at + 1) & s.mask {
		if s.heap[s.index[at]-1].key == key {
			return at, true
		}
	}
	return at, false
}

// unindex empties a place of the index and closes the gap behind it.
func (s *Sketch) unindex(slot int32) {
	gap := uint64(slot)
	for at := (gap + 1) & s.mask; s.index[at] != 0; at = (at + 1) & s.mask {
		c := &s.heap[s.index[at]-1]
		if (at-c.key)&s.mask >= (at-gap)&s.mask {
			s.index[gap], c.slot = s.index[at], int32(gap)
			gap = at
		}
	}
	s.index[gap] = 0
}

func (s *Sketch) set(place int, c counter) {
	s.heap[place] = c
	s.index[c.slot] = int32(place + 1)
}

// down puts a counter at a place, or below it where it belongs, and returns where.
func (s *Sketch) down(place int, c counter) int {
	for {
		first := branch*place + 1
		if first >= len(s.heap) {
			break
		}
		least := first
		for child := first + 1; child < min(first+branch, len(s.heap)); child++ {
			if s.heap[child].count < s.heap[least].count {
				least = child
			}
		}
		if c.count <= s.heap[least].count {
			break
		}
		s.set(place, s.heap[least])
		place = least
	}
	s.set(place, c)
	return place
}

// up puts a counter at a place, or above it where it belongs.
func (s *Sketch) up(place int, c counter) {
	for place > 0 && c.count < s.heap[(place-1)/branch].count {
		s.set(place, s.heap[(place-1)/branch])
		place = (place - 1) / branch
	}
	s.set(place, c)
}
