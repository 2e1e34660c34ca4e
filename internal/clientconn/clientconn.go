// Package front holds what the fronts share: the table of open connections with its limits and eviction, and how
// connections are handed over when the broker stops.
package clientconn

import (
	"container/list"
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"junctionwharf/internal/semaphore"
)

// Connection is one connection of a front.
type Connection interface {
	Wake()                         // has it look whether it should go on
	Look() (Status, time.Duration) // tells what it does, and for how long it has been idle
	End() bool                     // ends the connection, soon, unless something has come by now; it does not block
}

// Status is what a connection does.
type Status int

// The statuses.
const (
	Busy    Status = iota // it waits for an answer, or takes one
	Idle                  // it has sent nothing, or nothing since its last answer
	HalfWay               // a part of a command has come
)

// What a client has time for. A bad one gets its error, or its end, within three seconds.
const (
	FirstTime   = 2500 * time.Millisecond // from connecting to the end of the first command
	CommandTime = 2500 * time.Millisecond // from a command's first byte to its last
)

const (
	acceptPause = 10 * time.Millisecond
	evictPause  = 50 * time.Millisecond // between looks for a connection to evict, where none can be rejected
	timeToAsk   = 200 * time.Millisecond
	queueTime   = 50 * time.Millisecond // without a new connection, after which none is on its way

	// Connections that are looked at for an idle one. Under load the front of the list is full of busy ones: with a look at all of
	// them for each request, a broker that fell behind once spent its time on these looks and never caught up.
	looksAsked = 2
	looksFull  = 64

	// A connection that has been idle for so long ends where more are idle than may be. One that has just been answered asks again, where clients
	// have much to ask: were it ended, each request would cost a connection, and a broker with too much to do had more.
	idleGrace = 50 * time.Millisecond
)

// Table is the table of a front's connections: which may stay idle, who is evicted for a newcomer, and who is rejected.
type Table struct {
	log        *slog.Logger
	limit      *semaphore.Semaphore // a place for each connection
	mu         sync.Mutex
	maxIdle    int                   // connections up to which idle ones may stay
	entries    map[Connection]*entry // of all connections
	silent     list.List             // those that have sent no command, in the order in which they came
	greeted    list.List             // those that have sent none but greetings
	active     list.List             // those that have had a request, by their last one
	ln         net.Listener
	lnEnded    chan struct{} // closed with ln
	lnEnd      sync.Once
	stage      stage
	reject     func(net.Conn) // answers and ends a connection beyond the limit, nil for none
	overloaded func() bool
	overflow   *semaphore.Semaphore // a place for each of these, and for each connection that was evicted and has not ended yet

	draining atomic.Bool // it is no longer open
	rejected atomic.Uint64
}

// entry is a connection in one of the lists, or in none once it was evicted.
type entry struct {
	conn     Connection
	at       *list.Element
	in       *list.List
	since    time.Time // its entry
	overflow bool      // it holds a place of the overflow; its own was given to another
}

type stage int

const (
	open     stage = iota
	draining       // connections end as soon as they are idle, new ones after their first request
	closed         // no new ones come but those that the kernel has accepted
)

// NewTable returns a table for most connections. Of those that have asked, more than maxIdle do not stay idle: clients may have
// room for fewer connections than the table and keep those they do not use. But they are kept up to there, since a client
// may have no other way in once the broker was told to end. log gets a line when the system refuses a connection.
func NewTable(most, maxIdle int, log *slog.Logger) *Table {
	return &Table{log: log, maxIdle: maxIdle, limit: semaphore.New(most), entries: map[Connection]*entry{}, lnEnded: make(chan struct{})}
}

// RejectOverLimit has connections beyond the limit, where nobody can be evicted, answered by reject, which ends them, up to so many
// at a time. Without it they wait in the kernel's queue, past their clients' time. So many evicted connections may also be on
// their way out beyond the limit. While the broker is overloaded those that asked lately are not evicted: they will ask
// again, and it costs more to take a connection than to refuse on one that is there. It comes before Accept.
func (t *Table) RejectOverLimit(most int, reject func(net.Conn), overloaded func() bool) {
	t.reject, t.overflow, t.overloaded = reject, semaphore.New(most), overloaded
}

// Accept accepts a connection for which there is room. It guards against a full socket table: those that wait for no answer
// are evicted, and where nobody can be the connection is rejected. Each that is returned must be given back with Remove.
// net.ErrClosed follows Close.
func (t *Table) Accept(ln net.Listener) (net.Conn, error) {
	t.mu.Lock()
	if t.ln = ln; ln != nil && t.stage >= closed {
		t.shut(0)
	}
	t.mu.Unlock()
	for {
		if t.reject == nil {
			t.admit()
		}
		conn, err := ln.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) { // no time is left, but some may wait in the queue
			conn, err = acceptWaiting(ln)
		}
		switch {
		case err == nil && (t.reject == nil || t.admit()):
			return conn, nil
		case err == nil:
			t.rejected.Add(1)
			go func() {
				defer t.overflow.Release()
				defer conn.Close()
				t.reject(conn)
			}()
			continue
		case errors.Is(err, errNoneWaits):
			ln.Close()
			err = net.ErrClosed
		}
		if t.reject == nil {
			t.limit.Release()
		}
		if errors.Is(err, net.ErrClosed) {
			t.lnEnd.Do(func() { close(t.lnEnded) })
			return nil, err
		}
		t.log.Warn("accept failed", "reason", err)
		time.Sleep(acceptPause)
	}
}

// admit takes a place for a connection, or else, where connections are rejected and nobody can be evicted, one of the overflow. It tells
// which it was.
func (t *Table) admit() (within bool) {
	for !t.limit.TryAcquire() {
		t.mu.Lock()
		evicted := t.evict()
		t.mu.Unlock()
		within, from := true, t.limit
		if t.reject != nil && !evicted {
			within, from = false, t.overflow
		}
		ctx, cancel := context.WithTimeout(context.Background(), evictPause)
		err := from.Acquire(ctx)
		cancel()
		if err == nil {
			return within
		}
	}
	return true
}

// Add adds an accepted connection and tells whether it came while others leave.
func (t *Table) Add(c Connection) (late bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := &entry{conn: c, since: time.Now()}
	t.entries[c] = e
	t.put(e, &t.silent)
	return t.stage != open
}

// Asked notes that a request came on a connection, which is the last to be evicted from now on.
// While there is too much to do no idle one ends for it: it costs more to take a connection than to keep it.
func (t *Table) Asked(c Connection, overloaded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[c]; e != nil && e.in != nil {
		if e.in == &t.active {
			t.active.MoveToBack(e.at)
		} else {
			t.put(e, &t.active)
		}
		if t.active.Len() > t.maxIdle && !overloaded {
			t.evictIdlest(looksAsked, idleGrace)
		}
	}
}

func (t *Table) put(e *entry, in *list.List) {
	if e.in != nil {
		e.in.Remove(e.at)
	}
	if e.in = in; in != nil {
		e.at = in.PushBack(e)
	}
}

// Remove gives back the place of a connection that has ended.
func (t *Table) Remove(c Connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[c]; e != nil {
		t.put(e, nil)
		delete(t.entries, c)
		if e.overflow {
			t.overflow.Release()
		} else {
			t.limit.Release()
		}
	}
}

// Greeted notes that a connection sent a command that asks for nothing.
func (t *Table) Greeted(c Connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[c]; e != nil && e.in == &t.silent {
		t.put(e, &t.greeted)
	}
}

// evict ends one connection: the first that has done no more than greet; else the first that has sent nothing, once it had
// time to; else the idlest that has asked; else the first that stands half way in its first command. It guards the
// usual clients, slow ones among them, against crowds. It tells whether one was ended. The caller holds t.mu.
func (t *Table) evict() bool {
	looks, least := looksFull, time.Duration(0)
	if t.reject != nil && t.overloaded() {
		looks, least = looksAsked, idleGrace
	}
	return t.end(t.first(&t.greeted, Idle)) || t.end(t.first(&t.silent, Idle)) || t.evictIdlest(looks, least) || t.end(t.first(&t.silent, HalfWay))
}

// first returns the first connection of a list with a status, nil for none. One that has just come gets its time to ask.
func (t *Table) first(in *list.List, status Status) *entry {
	for at := in.Front(); at != nil; at = at.Next() {
		e := at.Value.(*entry)
		if in == &t.silent && time.Since(e.since) < timeToAsk {
			return nil // as all behind it
		}
		if now, _ := e.conn.Look(); now == status {
			return e
		}
	}
	return nil
}

// evictIdlest ends the connection that has been idle for longest among the first so many of those that have asked, if one was so for the
// least time, and tells whether it did. Others go to the end of the list.
func (t *Table) evictIdlest(looks int, least time.Duration) bool {
	for range min(looks, t.active.Len()) {
		e := t.active.Front().Value.(*entry)
		if status, idle := e.conn.Look(); status == Idle && idle >= least && t.end(e) {
			return true
		}
		t.active.MoveToBack(e.at)
	}
	return false
}

// end ends a connection unless it is nil, or has just sent something.
func (t *Table) end(e *entry) bool {
	if e == nil || !e.conn.End() {
		return false
	}
	t.put(e, nil) // it counts until it has ended
	if t.reject != nil && t.overflow.TryAcquire() {
		e.overflow = true // its place is free at once
		t.limit.Release()
	}
	return true
}

// Count tells how many connections are open.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// Awaited tells whether a connection waits in the kernel's queue because all places are taken, those of connections that are
// rejected or on their way out among them.
func (t *Table) Awaited() bool { return t.overflow != nil && t.overflow.HasWaiters() }

// Rejected tells how many connections were beyond the limit and were answered and ended at once.
func (t *Table) Rejected() uint64 { return t.rejected.Load() }

// Drain has connections end as soon as they wait for no answer. New ones are taken still: a client whose
// request crossed the end of its connection sends it once more on a new one.
func (t *Table) Drain() { t.proceed(draining) }

// StopAccepting takes no more connections but those that wait in the kernel's queue, which the end of the listener would reset.
// Others must lead to another process by then. Without a deadline of its own a listener is closed at once.
func (t *Table) StopAccepting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shut(queueTime)
}

// shut has Accept end after a while, with what the kernel has accepted by then; the caller holds t.mu.
func (t *Table) shut(after time.Duration) {
	if ln, ok := t.ln.(interface{ SetDeadline(time.Time) error }); ok {
		ln.SetDeadline(time.Now().Add(after))
	} else if t.ln != nil {
		t.ln.Close()
	}
}

// Resize changes how many connections there may be, how many of them idle, and how many are rejected at a time. Those
// beyond stay until they end.
func (t *Table) Resize(most, maxIdle, overflow int) {
	t.limit.Resize(most)
	if t.reject != nil {
		t.overflow.Resize(overflow)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxIdle = maxIdle
}

// Close takes no more connections but those that the kernel has accepted: requests on them count as taken. It waits for Accept to
// take these, though not for long: others may want the places.
func (t *Table) Close() {
	t.proceed(closed)
	t.mu.Lock()
	t.shut(0)
	listens := t.ln != nil
	t.mu.Unlock()
	if listens {
		select {
		case <-t.lnEnded:
		case <-time.After(queueTime):
		}
	}
}

func (t *Table) proceed(to stage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stage = to
	t.draining.Store(true)
	for c := range t.entries {
		c.Wake()
	}
}

// Draining tells whether connections end as soon as they are idle.
func (t *Table) Draining() bool { return t.draining.Load() }

// ShouldEnd tells whether an idle connection should end; fresh says that it came late and has had no request.
func (t *Table) ShouldEnd(fresh bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stage == closed || t.stage == draining && !fresh
}
