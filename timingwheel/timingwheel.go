// Package timingwheel implements a hierarchical timing wheel (Varghese and Lauck, 1987).
//
// Rule: timers expire in the order of their times, and timers with the same time expire in the order in which they were
// set. Setting and canceling a timer takes constant time. The exception is a timer that is set for the current slot of
// the lowest level or for an earlier time: it is inserted into a sorted list.
//
// State: a Wheel stores its timers in one slice, so that setting a timer allocates no memory once the slice has reached
// the maximum number of timers set at the same time. Timers are lost when the process ends.
//
// Owner: a Wheel reads no clock and is not safe for concurrent use. broker.State owns the broker's Wheel.
//
// Units: times are whole microseconds since any fixed start.
package timingwheel

import (
	"cmp"
	"math/bits"
	"slices"
)

// The geometry of the wheel. Each level has 64 slots. A slot of the lowest level is 256 µs wide. A slot of a higher
// level is 64 times as wide as a slot of the level below. Five levels cover 76 hours. Later timers are put into the
// last slot of the highest level and are inserted again when that slot is opened.
const (
	// slotBits gives a level as many slots as a uint64 has bits, so that one instruction finds the next occupied slot.
	slotBits = 6
	slots    = 1 << slotBits
	// levels makes the wheel cover 76 hours. With fewer levels, later timers would be inserted repeatedly. With more
	// levels, each search for the next slot would cost more.
	levels = 5
	// baseShift makes the lowest slots 256 µs wide. With a smaller value, the same range would need another level. With
	// a larger value, more timers would have to be sorted when a slot is opened.
	baseShift = 8
	lastShift = baseShift + (levels-1)*slotBits // the shift of the highest level
)

// Handle identifies a timer. The zero Handle identifies no timer. Neither does the handle of a timer that has expired
// or was canceled, even if its entry is reused.
type Handle struct {
	ref        int32
	generation uint32
}

// Wheel stores timers with a value of type T. The zero Wheel is empty.
//
// A ref is the index of an entry plus 1. The ref 0 stands for no entry.
type Wheel[T any] struct {
	entries  []entry[T]
	freeRef  int32                // first free entry; next links the free entries
	heads    [levels][slots]int32 // refs of the first entry of each slot
	occupied [levels]uint64       // one bit for each slot that contains timers
	reached  int64                // time that the wheel has advanced to; timers up to its lowest-level slot go to due
	due      []int32              // indexes in reverse order of expiry; canceled entries have the level nowhere
	count    int
	sequence uint64 // sequence number of the last timer that was set
}

type entry[T any] struct {
	at         int64
	sequence   uint64
	value      T
	next       int32 // ref in the slot's list or in the free list
	prev       int32 // ref in the slot's list
	generation uint32
	level      int8 // level that contains the entry, inDue or nowhere
	slot       int8
}

const (
	nowhere int8 = -1 // free, or canceled and still in due
	inDue   int8 = -2
)

// Len returns the number of timers that have neither expired nor been canceled.
func (w *Wheel[T]) Len() int { return w.count }

// Set adds a timer. The time may be in the past. The timer is then due at the next Pop.
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

// Cancel removes a timer. It reports whether the timer had neither expired nor been canceled before.
func (w *Wheel[T]) Cancel(h Handle) bool {
	index := h.ref - 1
	if index < 0 || int(index) >= len(w.entries) {
		return false
	}
	e := &w.entries[index]
	if e.generation != h.generation || e.level == nowhere {
		return false
	}
	if e.level == inDue { // trimDue frees the entry once it would be the next to expire
		e.level = nowhere
		e.generation++
		w.count--
		return true
	}
	w.unlink(index)
	w.release(index)
	return true
}

// Next returns the time at which Pop must be called again, which is the time of the next timer or earlier. ok is false
// if there are no timers.
func (w *Wheel[T]) Next() (at int64, ok bool) {
	w.trimDue()
	if len(w.due) > 0 {
		return w.entries[w.due[len(w.due)-1]].at, true
	}
	_, _, at, ok = w.nextSlot()
	return at, ok
}

// Pop removes the next timer that is due at the time now, and returns its value and time. ok is false if no timer is
// due.
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

// nextSlot returns the slot that begins earliest. Of several slots that begin at the same time, it returns the widest,
// which must be opened first. start is the slot's begin, but not earlier than the reached time.
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

// openSlot advances the wheel to a slot and moves the slot's timers. Timers of the lowest level are moved to due, in
// order of time. Timers of another level are inserted again: into a level below, into due or, if the wheel does not
// cover their time, into the highest level.
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

// compare orders entries by time, and entries with the same time by the order in which they were set.
func (w *Wheel[T]) compare(a, b int32) int {
	x := &w.entries[a]
	y := &w.entries[b]
	return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.sequence, y.sequence))
}

// insert adds an entry to due or, if the entry is later, to the lowest level that covers its time. An entry beyond the
// highest level goes to the last slot of that level.
func (w *Wheel[T]) insert(index int32) {
	e := &w.entries[index]
	if e.at>>baseShift <= w.reached>>baseShift {
		e.level = inDue
		position, _ := slices.BinarySearchFunc(w.due, index, func(a, b int32) int { return w.compare(b, a) })
		w.due = slices.Insert(w.due, position, index)
		return
	}
	level := levels - 1
	slot := (w.reached>>lastShift + slots - 1) & (slots - 1) // for times that the wheel does not cover
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

// unlink removes an entry from its slot's list.
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

// release frees the entry of an expired or canceled timer and invalidates the timer's handle.
func (w *Wheel[T]) release(index int32) {
	w.count--
	w.recycle(index)
	w.entries[index].generation++
}

// recycle adds an entry to the free list. It clears the entry's value, which could keep memory reachable.
func (w *Wheel[T]) recycle(index int32) {
	e := &w.entries[index]
	var none T
	e.value = none
	e.level = nowhere
	e.next = w.freeRef
	w.freeRef = index + 1
}

// trimDue makes the last entry of due the next timer to expire, if due has one: it moves the timers of the lowest-level
// slot at the reached time to due, and then removes canceled entries from the end of due and frees them.
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
