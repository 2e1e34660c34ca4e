package clientconn

import (
	"container/list"
	"time"
)

const (
	// newcomerGrace is how long a connection that has sent nothing is safe from eviction. Lower, a crowd of newcomers
	// would evict each other before they can send; higher, silent connections would hold a full table for longer.
	newcomerGrace = 200 * time.Millisecond

	// checksPerRequest and checksPerAccept bound the connections that are checked for an idle one. Under load the
	// front of the list is full of busy connections: when each request checked all of them, a broker that fell behind
	// spent its time on the checks and never caught up.
	checksPerRequest = 2
	checksPerAccept  = 64

	// minIdleTime is the idle time after which a connection ends where more are idle than may be. A connection that
	// was just answered sends its next request soon: if it were evicted, each request would cost a connection, and an
	// overloaded broker would have still more to do.
	minIdleTime = 50 * time.Millisecond
)

// evict ends one connection and reports whether it did. In this order: one that has only greeted, one that has sent
// nothing and had time to, the one that has been idle for longest, one that is still sending its first command. So a
// crowd of silent connections does not push out ordinary clients, not even slow ones. The caller holds t.mu.
func (t *Table) evict() bool {
	checks := checksPerAccept
	idleTime := time.Duration(0)
	if t.reject != nil && t.overloaded() {
		checks = checksPerRequest
		idleTime = minIdleTime
	}
	return t.evictEntry(t.firstIn(&t.greetedOnly, Idle)) ||
		t.evictEntry(t.firstIn(&t.withoutCommand, Idle)) ||
		t.evictIdle(checks, idleTime) ||
		t.evictEntry(t.firstIn(&t.withoutCommand, PartialCommand))
}

// firstIn returns the first connection of a list that is in a state and past its newcomer's grace, nil for none.
func (t *Table) firstIn(entries *list.List, state State) *entry {
	for element := entries.Front(); element != nil; element = element.Next() {
		e := element.Value.(*entry)
		if entries == &t.withoutCommand && time.Since(e.addedAt) < newcomerGrace {
			return nil // so are all after it
		}
		if current, _ := e.conn.State(); current == state {
			return e
		}
	}
	return nil
}

// evictIdle checks the first connections of those that have sent a request and evicts the first that has been idle
// for at least idleTime. It reports whether it did. Those that stay go to the end of the list.
func (t *Table) evictIdle(checks int, idleTime time.Duration) bool {
	for range min(checks, t.withRequests.Len()) {
		e := t.withRequests.Front().Value.(*entry)
		if state, idle := e.conn.State(); state == Idle && idle >= idleTime && t.evictEntry(e) {
			return true
		}
		t.withRequests.MoveToBack(e.element)
	}
	return false
}

// evictEntry evicts a connection unless it is nil or has just sent something. Its slot is free at once if there is an
// overflow slot for its way out, and otherwise when it has ended.
func (t *Table) evictEntry(e *entry) bool {
	if e == nil || !e.conn.Evict() {
		return false
	}
	e.moveTo(nil)
	if t.reject != nil && t.overflow.TryAcquire() {
		e.inOverflow = true
		t.limit.Release()
	}
	return true
}
