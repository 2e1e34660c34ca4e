// Package simtime is the virtual clock of the simulations: a queue of events in the order of their times.
//
// Rule. Events of the same time happen in the order in which they were scheduled. So whoever makes the same calls meets
// the same order, and a seed replays a run exactly.
//
// State and owner. A Clock belongs to one simulation, which drives it by Step from one goroutine; events may schedule
// others. It is not safe for concurrent use.
//
// Units. All times and spans are µs from the start of the simulation.
package simtime

import "container/heap"

// Clock is a virtual clock with the events that are to happen. The zero value stands at 0 without events.
type Clock struct {
	Now int64 // µs; read only

	scheduled int // events so far
	queue     eventQueue
}

// After has something happen a span from now.
func (c *Clock) After(span int64, do func()) {
	c.scheduled++
	heap.Push(&c.queue, event{at: c.Now + span, sequence: c.scheduled, do: do})
}

// Step moves the clock on to the next event and has it happen. It reports false if there is none, or if it lies beyond
// end: such an event is dropped, with the clock at its time.
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

// event is something that happens at a time.
type event struct {
	at       int64 // µs
	sequence int   // order among events of the same time
	do       func()
}

// eventQueue is a heap with the next event first.
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
