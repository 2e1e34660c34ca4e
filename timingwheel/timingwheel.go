// Package timingwheel is a hierarchical timing wheel (Varghese and Lauck, 1987).
//
// Rule: timers come out in the order of their times, and those of one time in the order in which they were set. To
// set or to cancel one takes constant time.
//
// State: a Wheel keeps its timers in one slice, so that nothing is allocated for a timer once the wheel has grown to
// the number that wait at once. They are lost with the process.
//
// Owner: a Wheel reads no clock and is not safe for concurrent use; broker.State owns the one that is in use.
//
// Units: times are whole microseconds, from any fixed start.
package timingwheel

import (
	"cmp"
	"math/bits"
	"slices"
)

// The geometry. Each level has 64 slots. A slot of the lowest level is 256 µs wide, one of each level above 64 times
// as wide as one below. Five levels reach 76 hours; what is later waits in the last slot of the highest and is
// inserted there again.
const (
	// slotBits makes a level's slots as many as the bits of a uint64, so that the next one in use is found by one
	// instruction.
	slotBits = 6
	slots    = 1 << slotBits
	// levels makes the wheel reach 76 hours. If it were lower, timers beyond the reach would be inserted again and
	// again; if it were higher, each search for the next slot would cost more.
	levels = 5
	// baseShift makes the lowest slots 256 µs wide. If it were lower, the same times would need a further level; if
	// it were higher, more timers would have to be sorted when their slot comes up.
	baseShift = 8
	lastShift = baseShift + (levels-1)*slotBits // of the highest level
)

// Handle names a timer. The zero Handle names none. A handle whose timer came out or was cancelled names none either,
// however often its entry was used again.
type Handle struct {
	ref        int32
	generation uint32
}

// Wheel holds timers with a value of type T. The zero Wheel is empty.
//
// A ref is the index of an entry plus 1, so that 0 is none.
type Wheel[T any] struct {
	entries  []entry[T]
	freeRef  int32                // the first free entry, chained by next
	heads    [levels][slots]int32 // refs of the first entry of each slot
	occupied [levels]uint64       // a bit for each slot that holds timers
	reached  int64                // timers before the end of the base slot of this time stand in due
	due      []int32              // indexes; the last comes out first; those that were cancelled are nowhere
	count    int
	sequence uint64 // of the last timer that was set
}

type entry[T any] struct {
	at         int64
	sequence   uint64
	value      T
	next       int32 // ref, in its slot's list or in the free list
	prev       int32 // ref, in its slot's list
	generation uint32
	level      int8 // where it stands: a level, inDue or nowhere
	slot       int8
}

const (
	nowhere int8 = -1 // free, or cancelled and still in due
	inDue   int8 = -2
)

// Len reports how many timers wait.
func (w *Wheel[T]) Len() int { return w.count }

// Set adds a timer. One for a time that has passed comes out next.
func (w *Wheel[T]) Set(at int64, value T) Handle {
	index := w.freeRef - 1
	if index >= 0 {
		w.freeRef = w.entries[index].next
	} else {
		index = int32(len(w.entries))
		w.entries = append(w.entries, entry[T]{generation: 1})
	}
	w.sequence++
	e := &w.entries[index]
	e.at = at
	e.sequence = w.sequence
	e.value = value
	w.count++
	w.insert(index)
	return Handle{index + 1, e.generation}
}

// Cancel takes a timer out and reports whether it still waited.
func (w *Wheel[T]) Cancel(h Handle) bool {
	index := h.ref - 1
	if index < 0 || int(index) >= len(w.entries) {
		return false
	}
	e := &w.entries[index]
	if e.generation != h.generation || e.level == nowhere {
		return false
	}
	if e.level == inDue { // trimDue gives the entry back once it stands first
		e.level = nowhere
		e.generation++
		w.count--
		return true
	}
	w.unlink(index)
	w.release(index)
	return true
}

// Next reports when Pop is to be called again: when the next timer is due, or earlier.
func (w *Wheel[T]) Next() (at int64, ok bool) {
	w.trimDue()
	if len(w.due) > 0 {
		return w.entries[w.due[len(w.due)-1]].at, true
	}
	_, _, at, ok = w.nextSlot()
	return at, ok
}

// Pop takes out the next timer that is due at a point of time.
func (w *Wheel[T]) Pop(now int64) (value T, at int64, ok bool) {
	for {
		w.trimDue()
		if last := len(w.due) - 1; last >= 0 {
			index := w.due[last]
			e := &w.entries[index]
			if e.at > now {
				return value, 0, false
			}
			w.due = w.due[:last]
			value = e.value
			at = e.at
			w.release(index)
			return value, at, true
		}
		level, slot, start, found := w.nextSlot()
		if !found || start > now {
			return value, 0, false
		}
		w.openSlot(level, slot, start)
	}
}

// nextSlot finds the slot that begins earliest; of those that begin together the widest, which is to be opened before.
func (w *Wheel[T]) nextSlot() (level, slot int, start int64, found bool) {
	for l := range levels {
		if w.occupied[l] == 0 {
			continue
		}
		shift := baseShift + l*slotBits
		now := w.reached >> shift
		ahead := bits.TrailingZeros64(bits.RotateLeft64(w.occupied[l], -int(now&(slots-1))))
		next := now + int64(ahead)
		at := next << shift
		if !found || at <= start {
			level = l
			slot = int(next & (slots - 1))
			start = at
			found = true
		}
	}
	return level, slot, max(start, w.reached), found
}

// openSlot moves on to a slot and spreads what it holds: over the levels below, or in order of time as due.
func (w *Wheel[T]) openSlot(level, slot int, start int64) {
	w.reached = start
	index := w.heads[level][slot] - 1
	w.heads[level][slot] = 0
	w.occupied[level] &^= 1 << slot
	sorted := len(w.due)
	for index >= 0 {
		next := w.entries[index].next - 1
		if level == 0 {
			w.entries[index].level = inDue
			w.due = append(w.due, index)
		} else {
			w.insert(index)
		}
		index = next
	}
	if level == 0 && len(w.due) > sorted {
		slices.SortFunc(w.due, func(a, b int32) int { return w.compare(b, a) })
	}
}

// compare orders entries by their times, and those of one time as they were set.
func (w *Wheel[T]) compare(a, b int32) int {
	x := &w.entries[a]
	y := &w.entries[b]
	return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.sequence, y.sequence))
}

// insert puts an entry where its time belongs: in due, or in the lowest level that reaches as far.
func (w *Wheel[T]) insert(index int32) {
	e := &w.entries[index]
	if e.at>>baseShift <= w.reached>>baseShift {
		e.level = inDue
		position, _ := slices.BinarySearchFunc(w.due, index, func(a, b int32) int { return w.compare(b, a) })
		w.due = slices.Insert(w.due, position, index)
		return
	}
	level := levels - 1
	slot := (w.reached>>lastShift + slots - 1) & (slots - 1) // of what is later than the wheel reaches
	for l := range levels {
		shift := baseShift + l*slotBits
		if e.at>>shift-w.reached>>shift < slots {
			level = l
			slot = e.at >> shift & (slots - 1)
			break
		}
	}
	e.level = int8(level)
	e.slot = int8(slot)
	head := w.heads[level][slot]
	e.prev = 0
	e.next = head
	if head > 0 {
		w.entries[head-1].prev = index + 1
	}
	w.heads[level][slot] = index + 1
	w.occupied[level] |= 1 << slot
}

// unlink takes an entry out of its slot's list.
func (w *Wheel[T]) unlink(index int32) {
	e := &w.entries[index]
	if e.next > 0 {
		w.entries[e.next-1].prev = e.prev
	}
	if e.prev > 0 {
		w.entries[e.prev-1].next = e.next
		return
	}
	w.heads[e.level][e.slot] = e.next
	if e.next == 0 {
		w.occupied[e.level] &^= 1 << e.slot
	}
}

// release gives back the entry of a timer that is over. Its handles name nothing from now on.
func (w *Wheel[T]) release(index int32) {
	w.count--
	w.recycle(index)
	w.entries[index].generation++
}

// recycle puts an entry into the free list, and drops its value, which could keep memory alive.
func (w *Wheel[T]) recycle(index int32) {
	e := &w.entries[index]
	var none T
	e.value = none
	e.level = nowhere
	e.next = w.freeRef
	w.freeRef = index + 1
}

// trimDue gives back the entries that were cancelled at the end of due that comes out first. What stands in the slot
// that was reached, from before it was, joins due before that.
func (w *Wheel[T]) trimDue() {
	slot := int(w.reached >> baseShift & (slots - 1))
	if w.occupied[0]>>slot&1 == 1 {
		first := &w.entries[w.heads[0][slot]-1]
		if first.at>>baseShift == w.reached>>baseShift {
			w.openSlot(0, slot, w.reached)
		}
	}
	for last := len(w.due) - 1; last >= 0 && w.entries[w.due[last]].level == nowhere; last-- {
		w.recycle(w.due[last])
		w.due = w.due[:last]
	}
}
