package clientconn

import (
	"container/list"
	"time"
)

const (
	// newcomerGrace is how long a connection that has sent nothing is protected from eviction. With a smaller value,
	// many simultaneous new connections would evict each other before they could send. With a larger value, silent
	// connections would keep a full table occupied for longer.
	newcomerGrace = 200 * time.Millisecond

	// checksPerRequest and checksPerAccept bound the number of connections that a request or an accept checks in a
	// search for an idle one. Under load the front of the list consists of busy connections. In an earlier version each
	// request checked all connections, and a broker that fell behind spent its time on the checks and never caught up.
	checksPerRequest = 2
	checksPerAccept  = 64

	// minIdleTime is the minimum idle time for an eviction while the broker is overloaded, or because too many
	// connections are idle. A connection that was just answered will soon send its next request. If such connections
	// were evicted, each request would cost a connection, and an overloaded broker would have even more work.
	minIdleTime = 50 * time.Millisecond
)

// evict evicts one connection and reports whether it did. It looks, in this order, for a connection that has sent only
// a greeting, a connection that has sent nothing for newcomerGrace, the connection that has been idle for longest, and
// a connection that is still sending its first command. Many silent connections therefore do not displace ordinary
// clients, even slow ones. While the broker is overloaded, evict checks fewer of the connections with requests,
// and skips those that have been idle for less than minIdleTime. The caller holds t.mu.
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

// firstIn returns the first connection of a list that is in a given state, or nil. It skips connections without a
// command that are within newcomerGrace.
func (t *Table) firstIn(entries *list.List, state State) *entry {
	for element := entries.Front(); element != nil; element = element.Next() {
		e := element.Value.(*entry)
		if entries == &t.withoutCommand && time.Since(e.addedAt) < newcomerGrace {
			return nil // all later entries are newer
		}
		if current, _ := e.conn.State(); current == state {
			return e
		}
	}
	return nil
}

// evictIdle checks a number of connections from the front of withRequests and evicts the first one that has been idle
// for at least idleTime. It reports whether it evicted a connection. Checked connections that are not evicted move to
// the end of the list.
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

// evictEntry evicts a connection and reports whether it did. It returns false if e is nil or the connection refuses,
// for example because it has just received data. If an overflow slot is available, the evicted connection moves to it,
// and its own slot is released immediately. Otherwise its own slot is released when the connection has ended.
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
