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

// Table is the table of a server's client connections. Its methods may be called from any goroutine.
type Table struct {
	logger *slog.Logger
	limit  *semaphore.Semaphore // one slot for each connection

	// Set by RejectOverLimit before the first Accept, nil without it.
	reject     func(net.Conn)       // answers and ends a connection over the limit
	overloaded func() bool          // whether the broker has too much to do
	overflow   *semaphore.Semaphore // one slot for each rejection, and for each evicted connection until it has ended

	mu             sync.Mutex            // guards what follows
	maxIdle        int                   // connections up to which idle ones may stay
	entries        map[Connection]*entry // of all connections
	withoutCommand list.List             // connections that have sent no command, the oldest first
	greetedOnly    list.List             // those that have sent nothing but greetings
	withRequests   list.List             // those that have sent a request, by their last one
	listener       net.Listener
	phase          phase

	listenerEnded chan struct{} // closed when Accept has seen the listener's end
	endListener   sync.Once     // closes listenerEnded

	draining atomic.Bool // phase is not accepting
	rejected atomic.Uint64
}

// entry is the table's record of a connection.
type entry struct {
	conn       Connection
	list       *list.List    // the list that it is in, nil once it was evicted
	element    *list.Element // its element of that list
	addedAt    time.Time
	inOverflow bool // it was evicted and holds an overflow slot; its own was given to another connection
}

// NewTable returns a table for maxConnections. Of the connections that have sent a request, more than maxIdle do not
// stay idle: clients may have room for fewer connections than the table and would keep those they do not use. Up to
// maxIdle they stay, since a client may have no other way in once the broker was told to end. logger gets a line when
// the system refuses to accept.
func NewTable(maxConnections, maxIdle int, logger *slog.Logger) *Table {
	return &Table{
		logger:        logger,
		maxIdle:       maxIdle,
		limit:         semaphore.New(maxConnections),
		entries:       map[Connection]*entry{},
		listenerEnded: make(chan struct{}),
	}
}

// RejectOverLimit makes reject answer and end connections over the limit if none can be evicted for them, up
// to maxRejections at a time. Without it they wait in the kernel's accept queue, past their clients' timeouts. As
// many evicted connections may be on their way out over the limit. While the broker is overloaded, connections with a
// recent request are not evicted: they will send another, and accepting a connection costs more than rejecting a
// request on one that is open. It must be called before Accept.
func (t *Table) RejectOverLimit(maxRejections int, reject func(net.Conn), overloaded func() bool) {
	t.reject = reject
	t.overflow = semaphore.New(maxRejections)
	t.overloaded = overloaded
}

// Resize changes how many connections there may be, how many of them idle, and how many are rejected at a time. Those
// over the new limits stay until they end.
func (t *Table) Resize(maxConnections, maxIdle, maxRejections int) {
	t.limit.Resize(maxConnections)
	if t.reject != nil {
		t.overflow.Resize(maxRejections)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxIdle = maxIdle
}

// Add adds an accepted connection and reports whether it came while the table drains (see ShouldClose).
func (t *Table) Add(conn Connection) (whileDraining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := &entry{conn: conn, addedAt: time.Now()}
	t.entries[conn] = e
	e.moveTo(&t.withoutCommand)
	return t.phase != accepting
}

// Remove gives back the slot of a connection that has ended.
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

// GreetingReceived notes that a connection sent a command that asks for nothing.
func (t *Table) GreetingReceived(conn Connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[conn]; e != nil && e.list == &t.withoutCommand {
		e.moveTo(&t.greetedOnly)
	}
}

// RequestReceived notes that a connection sent a request: it is the last one to be evicted from now on. If too many
// connections are idle it evicts one, unless the broker is overloaded: accepting a connection costs more than keeping
// it.
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

// moveTo puts an entry at the end of a list, nil for none.
func (e *entry) moveTo(to *list.List) {
	if e.list != nil {
		e.list.Remove(e.element)
	}
	e.list = to
	if to != nil {
		e.element = to.PushBack(e)
	}
}

// Count is the number of open connections.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// HasWaiters reports whether a connection waits in the kernel's accept queue because all slots are taken, those of
// rejected and evicted connections among them.
func (t *Table) HasWaiters() bool { return t.overflow != nil && t.overflow.HasWaiters() }

// Rejected is the number of connections over the limit that were answered and ended at once.
func (t *Table) Rejected() uint64 { return t.rejected.Load() }
