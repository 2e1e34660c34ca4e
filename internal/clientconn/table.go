package clientconn

import (
	"container/list"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"junctionwharf/internal/semaphore"
)

// Table tracks a server's client connections. Its methods may be called from any goroutine.
type Table struct {
	logger *slog.Logger
	limit  *semaphore.Semaphore // one slot per connection

	// Set by RejectOverLimit before the first Accept; nil without RejectOverLimit.
	reject     func(net.Conn)       // answers a connection over the limit
	overloaded func() bool          // reports whether the broker is overloaded
	overflow   *semaphore.Semaphore // one slot per rejection, and per evicted connection until it has ended

	mu             sync.Mutex            // guards the fields below
	maxIdle        int                   // number of connections in withRequests above which idle ones are evicted
	entries        map[Connection]*entry // all connections
	withoutCommand list.List             // connections that have sent no command, oldest first
	greetedOnly    list.List             // connections that have sent only greetings
	withRequests   list.List             // connections that have sent a request, in the order of their last request
	listener       net.Listener
	phase          phase

	listenerEnded chan struct{} // closed when Accept has reported the end of the listener
	endListener   sync.Once     // closes listenerEnded

	draining atomic.Bool // whether phase is not accepting
	rejected atomic.Uint64
}

// entry is the table's record of a connection.
type entry struct {
	conn       Connection
	list       *list.List    // the list that contains the entry, nil after an eviction
	element    *list.Element // the entry's element in list
	addedAt    time.Time
	inOverflow bool // evicted, and has an overflow slot instead of its own slot
}

// NewTable returns a table for at most maxConnections connections. If more than maxIdle connections have sent a
// request, the table evicts idle ones among them: clients may be able to open fewer connections than the table allows,
// and unused connections must not use these up. Up to maxIdle connections may stay idle, since a client may be unable
// to open another connection once the broker is shutting down. logger logs failed accepts.
func NewTable(maxConnections, maxIdle int, logger *slog.Logger) *Table {
	return &Table{
		logger:        logger,
		maxIdle:       maxIdle,
		limit:         semaphore.New(maxConnections),
		entries:       map[Connection]*entry{},
		listenerEnded: make(chan struct{}),
	}
}

// RejectOverLimit makes the table reject connections over the limit if no connection can be evicted. reject writes the
// answer, and the table then closes the connection. Without RejectOverLimit such connections wait in the kernel's
// accept queue, past their clients' timeouts. maxRejections bounds the number of overflow slots, which are used by
// rejections and by evicted connections that have not ended yet. While overloaded returns true, connections with a
// recent request are not evicted: they will send another request, and accepting a connection costs more than rejecting
// a request on an open connection. RejectOverLimit must be called before Accept.
func (t *Table) RejectOverLimit(maxRejections int, reject func(net.Conn), overloaded func() bool) {
	t.reject = reject
	t.overflow = semaphore.New(maxRejections)
	t.overloaded = overloaded
}

// Resize changes the limits that were passed to NewTable and RejectOverLimit. Connections above the new limits stay
// until they end.
func (t *Table) Resize(maxConnections, maxIdle, maxRejections int) {
	t.limit.Resize(maxConnections)
	if t.reject != nil {
		t.overflow.Resize(maxRejections)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxIdle = maxIdle
}

// Add adds an accepted connection and reports whether it was added while the table drains (see ShouldClose).
func (t *Table) Add(conn Connection) (whileDraining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := &entry{conn: conn, addedAt: time.Now()}
	t.entries[conn] = e
	e.moveTo(&t.withoutCommand)
	return t.phase != accepting
}

// Remove removes a connection that has ended and releases its slot. A second call for the same connection has no
// effect.
func (t *Table) Remove(conn Connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[conn]
	if e == nil {
		return
	}
	e.moveTo(nil)
	delete(t.entries, conn)
	if e.inOverflow {
		t.overflow.Release()
	} else {
		t.limit.Release()
	}
}

// GreetingReceived records that a connection sent a greeting, which is a command that is not a request.
func (t *Table) GreetingReceived(conn Connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[conn]; e != nil && e.list == &t.withoutCommand {
		e.moveTo(&t.greetedOnly)
	}
}

// RequestReceived records that a connection sent a request, so that connections with older requests are evicted before
// it. If more than maxIdle connections have sent requests, RequestReceived tries to evict an idle one. It evicts none
// while the broker is overloaded, since accepting a connection costs more than keeping one.
func (t *Table) RequestReceived(conn Connection, overloaded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[conn]
	if e == nil || e.list == nil {
		return
	}
	if e.list == &t.withRequests {
		t.withRequests.MoveToBack(e.element)
	} else {
		e.moveTo(&t.withRequests)
	}
	if t.withRequests.Len() > t.maxIdle && !overloaded {
		t.evictIdle(checksPerRequest, minIdleTime)
	}
}

// moveTo moves an entry to the end of a list, or out of all lists if to is nil.
func (e *entry) moveTo(to *list.List) {
	if e.list != nil {
		e.list.Remove(e.element)
	}
	e.list = to
	if to != nil {
		e.element = to.PushBack(e)
	}
}

// Count returns the number of connections in the table.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// HasBusy reports whether a connection owes an answer.
func (t *Table) HasBusy() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.entries {
		if state, _ := conn.State(); state == Busy {
			return true
		}
	}
	return false
}

// Each calls a function with each connection in the table. The function must neither block nor call the table.
func (t *Table) Each(call func(Connection)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.entries {
		call(conn)
	}
}

// HasWaiters reports whether a new connection waits for an overflow slot. It returns false without RejectOverLimit.
func (t *Table) HasWaiters() bool { return t.overflow != nil && t.overflow.HasWaiters() }

// Rejected returns the number of connections over the limit that were rejected so far, including pending rejections.
func (t *Table) Rejected() uint64 { return t.rejected.Load() }
