// Package simtime is a virtual time axis for simulations: what is to happen, in the order of its time, and of its making where times are
// the same. Whoever plays the same calls on it meets the same order.
package simtime

import "container/heap"

// Axis is one time axis. The zero value stands at 0. It is not safe for concurrent use.
type Axis struct {
	Now   int64 // µs; read only
	made  int
	queue queue
}

// After has something happen a span from now.
func (a *Axis) After(span int64, do func()) {
	a.made++
	heap.Push(&a.queue, event{a.Now + span, a.made, do})
}

// Step goes on to what comes next and has it happen; false if there is nothing, or not before the end.
func (a *Axis) Step(end int64) bool {
	if len(a.queue) == 0 {
		return false
	}
	e := heap.Pop(&a.queue).(event)
	if a.Now = e.at; a.Now > end {
		return false
	}
	e.do()
	return true
}

type event struct {
	at   int64
	made int
	do   func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].made < q[j].made
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
