// Package simtime provides the virtual clock of the simulations, with a queue of events ordered by time.
//
// Rule. Events with the same time run in the order in which they were scheduled. Therefore the same calls always
// produce the same order of events, and a run can be replayed exactly from its seed.
//
// State and owner. A Clock belongs to one simulation, which calls Step from one goroutine. Events may schedule other
// events. A Clock is not safe for concurrent use.
//
// Units. All times and durations are µs from the start of the simulation.
package simtime

import "container/heap"

// Clock is a virtual clock with a queue of pending events. The zero value is at time 0 and has no events.
type Clock struct {
	Now int64 // µs; read only

	scheduled int // number of events scheduled so far
	queue     eventQueue
}

// After schedules do to run when span µs have passed from now.
func (c *Clock) After(span int64, do func()) {
	c.scheduled++
	heap.Push(&c.queue, event{at: c.Now + span, sequence: c.scheduled, do: do})
}

// Step advances the clock to the next event and runs the event. It returns false if there is no event, or if the event
// is later than end. In the latter case, the clock is advanced to the event's time and the event is dropped.
func (c *Clock) Step(end int64) bool {
	if len(c.queue) == 0 {
		return false
	}
	next := heap.Pop(&c.queue).(event)
	c.Now = next.at
	if c.Now > end {
		return false
	}
	next.do()
	return true
}

// event is a function that is scheduled to run at a time.
type event struct {
	at       int64 // µs
	sequence int   // order among events of the same time
	do       func()
}

// eventQueue is a heap of events with the next event at the root.
type eventQueue []event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	next := (*q)[last]
	*q = (*q)[:last]
	return next
}
