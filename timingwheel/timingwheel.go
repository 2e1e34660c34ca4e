// Package timingwheel is a hierarchical timing wheel (Varghese and Lauck, 1987): alarms are set and cancelled in constant time, and
// come out in the order of their times. It keeps its entries in one slice, so that nothing is allocated for an alarm
// once the wheel has grown to the number that wait at once.
package timingwheel

import (
	"cmp"
	"math/bits"
	"slices"
)

// The geometry: each level has 64 slots; a slot of the lowest is 256 µs wide, one of each level above 64 times as wide as one
// below. Five levels reach 76 hours; what is later waits in the last slot of the highest and is put there again.
const (
	slotBits  = 6
	slots     = 1 << slotBits
	levels    = 5
	baseShift = 8
)

// Handle names an alarm. The zero Handle names none. A handle whose alarm came out or was cancelled names none either,
// however often its place was used again.
type Handle struct {
	place int32 // plus 1
	age   uint32
}

// Wheel holds alarms with a value of type T. Times are in µs; it reads no clock. The zero Wheel is empty.
type Wheel[T any] struct {
	entries []entry[T]
	free    int32 // the first free place plus 1, chained by next
	heads   [levels][slots]int32
	used    [levels]uint64 // a bit for each slot that holds alarms
	at      int64          // alarms before the end of the base slot of this time stand in due
	due     []int32        // places, the last to come out first; those that were cancelled have no slot
	count   int
	order   uint64
}

type entry[T any] struct {
	at         int64
	order      uint64
	value      T
	next, prev int32 // places plus 1 in a slot's list
	age        uint32
	level      int8 // where it stands: a level, inDue or nowhere
	slot       int8
}

const (
	nowhere int8 = -1
	inDue   int8 = -2
)

// Len tells how many alarms wait.
func (w *Wheel[T]) Len() int { return w.count }

// Set adds an alarm. One for a time that has passed comes out next.
func (w *Wheel[T]) Set(at int64, value T) Handle {
	place := w.free - 1
	if place >= 0 {
		w.free = w.entries[place].next
	} else {
		place = int32(len(w.entries))
		w.entries = append(w.entries, entry[T]{age: 1})
	}
	w.order++
	e := &w.entries[place]
	e.at, e.order, e.value = at, w.order, value
	w.count++
	w.put(place)
	return Handle{place + 1, e.age}
}

// Cancel takes an alarm out and tells whether it still waited.
func (w *Wheel[T]) Cancel(h Handle) bool {
	place := h.place - 1
	if place < 0 || int(place) >= len(w.entries) || w.entries[place].age != h.age || w.entries[place].level == nowhere {
		return false
	}
	e := &w.entries[place]
	if e.level == inDue { // its place is given back when its turn comes
		e.level = nowhere
		e.age++
		w.count--
		return true
	}
	w.unlink(place)
	w.release(place)
	return true
}

// Next tells when Pop is to be called again: when the next alarm is due, or earlier.
func (w *Wheel[T]) Next() (at int64, any bool) {
	w.trim()
	if len(w.due) > 0 {
		return w.entries[w.due[len(w.due)-1]].at, true
	}
	_, _, at, any = w.first()
	return at, any
}

// Pop takes out the next alarm that is due at a point of time.
func (w *Wheel[T]) Pop(now int64) (value T, at int64, any bool) {
	for {
		w.trim()
		if last := len(w.due) - 1; last >= 0 {
			place := w.due[last]
			e := &w.entries[place]
			if e.at > now {
				return value, 0, false
			}
			w.due = w.due[:last]
			value, at = e.value, e.at
			w.release(place)
			return value, at, true
		}
		level, slot, start, found := w.first()
		if !found || start > now {
			return value, 0, false
		}
		w.open(level, slot, start)
	}
}

// first finds the slot that begins earliest; of those that begin together the widest, which is to be opened before.
func (w *Wheel[T]) first() (level, slot int, start int64, found bool) {
	for l := range levels {
		if w.used[l] == 0 {
			continue
		}
		shift := baseShift + l*slotBits
		now := w.at >> shift
		ahead := bits.TrailingZeros64(bits.RotateLeft64(w.used[l], -int(now&(slots-1))))
		if at := (now + int64(ahead)) << shift; !found || at <= start {
			level, slot, start, found = l, int((now+int64(ahead))&(slots-1)), at, true
		}
	}
	return level, slot, max(start, w.at), found
}

// open moves on to a slot and spreads what it holds: over the levels below, or in order of time as due.
func (w *Wheel[T]) open(level, slot int, start int64) {
	w.at = start
	place := w.heads[level][slot] - 1
	w.heads[level][slot] = 0
	w.used[level] &^= 1 << slot
	sorted := len(w.due)
	for place >= 0 {
		next := w.entries[place].next - 1
		if level == 0 {
			w.entries[place].level = inDue
			w.due = append(w.due, place)
		} else {
			w.put(place)
		}
		place = next
	}
	if level == 0 && len(w.due) > sorted {
		slices.SortFunc(w.due, func(a, b int32) int { return w.compare(b, a) })
	}
}

func (w *Wheel[T]) compare(a, b int32) int {
	x, y := &w.entries[a], &w.entries[b]
	return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.order, y.order))
}

// put stands an entry where its time belongs.
func (w *Wheel[T]) put(place int32) {
	e := &w.entries[place]
	if e.at>>baseShift <= w.at>>baseShift {
		e.level = inDue
		at, _ := slices.BinarySearchFunc(w.due, place, func(a, b int32) int { return w.compare(b, a) })
		w.due = slices.Insert(w.due, at, place)
		return
	}
	level, slot := levels-1, (w.at>>(baseShift+(levels-1)*slotBits)+slots-1)&(slots-1)
	for l := range levels {
		shift := baseShift + l*slotBits
		if e.at>>shift-w.at>>shift < slots {
			level, slot = l, e.at>>shift&(slots-1)
			break
		}
	}
	e.level, e.slot = int8(level), int8(slot)
	head := w.heads[level][slot]
	e.prev, e.next = 0, head
	if head > 0 {
		w.entries[head-1].prev = place + 1
	}
	w.heads[level][slot] = place + 1
	w.used[level] |= 1 << slot
}

func (w *Wheel[T]) unlink(place int32) {
	e := &w.entries[place]
	if e.next > 0 {
		w.entries[e.next-1].prev = e.prev
	}
	if e.prev > 0 {
		w.entries[e.prev-1].next = e.next
		return
	}
	w.heads[e.level][e.slot] = e.next
	if e.next == 0 {
		w.used[e.level] &^= 1 << e.slot
	}
}

// release gives an entry's place back.
func (w *Wheel[T]) release(place int32) {
	w.count--
	w.recycle(place)
	w.entries[place].age++
}

func (w *Wheel[T]) recycle(place int32) {
	e := &w.entries[place]
	var none T
	e.value, e.level, e.next = none, nowhere, w.free
	w.free = place + 1
}

// trim gives back what was cancelled at the front of due. What stands in the slot that was reached, from before it was, joins
// due first.
func (w *Wheel[T]) trim() {
	if slot := int(w.at >> baseShift & (slots - 1)); w.used[0]>>slot&1 == 1 && w.entries[w.heads[0][slot]-1].at>>baseShift == w.at>>baseShift {
		w.open(0, slot, w.at)
	}
	for last := len(w.due) - 1; last >= 0 && w.entries[w.due[last]].level == nowhere; last-- {
		w.recycle(w.due[last])
		w.due = w.due[:last]
	}
}
