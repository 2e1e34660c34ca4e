package clientconn

import (
	"io"
	"junctionwharf/internal/logging"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

type fakeConn struct {
	woken, ended int
	status       Status
	idle         time.Duration
	speaks       bool // something has come by now
}

func (g *fakeConn) Wake()                         { g.woken++ }
func (g *fakeConn) Look() (Status, time.Duration) { return g.status, g.idle }
func (g *fakeConn) End() bool                     { g.ended++; return !g.speaks }

// enter adds connections that came a second ago; those that have asked did so in this order.
func enter(h *Table, asked bool, conns ...*fakeConn) {
	for _, g := range conns {
		h.limit.TryAcquire()
		h.Add(g)
		h.entries[g].since = time.Now().Add(-time.Second)
		if asked {
			h.Asked(g, false)
		}
	}
}

// A full table first ends who has only greeted, then who has sent nothing, then who has been idle for longest, then who stands half way in a first
// command: a crowd must not push out slow writers. Who waits for an answer stays, and who has just come.
func TestEvict(t *testing.T) {
	h := NewTable(10, 10, logging.ToFunc(func(line string) { t.Log(line) }))
	busy, old, young := &fakeConn{status: Busy}, &fakeConn{status: Idle}, &fakeConn{status: Idle}
	slow, mute, mute2, fresh := &fakeConn{status: HalfWay}, &fakeConn{status: Idle}, &fakeConn{status: Idle}, &fakeConn{status: Idle}
	enter(h, true, busy, young, old)
	h.Asked(young, false) // again
	greeted := &fakeConn{status: Idle}
	enter(h, false, slow, mute, mute2, greeted, fresh)
	h.entries[fresh].since = time.Now()
	h.Greeted(greeted)
	h.Greeted(old) // one that has asked before stays what it is
	for i, next := range []*fakeConn{greeted, mute, mute2, old, young, slow, nil} {
		sum := func() (n int) {
			for _, g := range []*fakeConn{busy, old, young, slow, mute, mute2, greeted, fresh} {
				n += g.ended
			}
			return n
		}
		before := sum()
		if h.evict(); next == nil && sum() != before || next != nil && (next.ended != 1 || sum() != before+1) {
			t.Fatalf("step %d: another was ended than was wanted", i)
		}
	}
	if busy.ended+fresh.ended != 0 {
		t.Error("one that is busy or fresh was ended")
	}
}

// Count that ask once and keep their connection must not use up the few that they have: beyond maxIdle
// the idlest of them ends, long before the table is full. Who has not asked yet, or waits for an answer, stays.
func TestMaxIdle(t *testing.T) {
	h := NewTable(100, 2, logging.ToFunc(func(line string) { t.Log(line) }))
	busy, idle, mute, other := &fakeConn{status: Busy}, &fakeConn{status: Idle, idle: time.Second}, &fakeConn{status: Idle}, &fakeConn{status: Idle}
	enter(h, false, mute)
	enter(h, true, busy, idle)
	if idle.ended != 0 {
		t.Fatal("ended too early")
	}
	if enter(h, true, other); idle.ended != 1 {
		t.Error("the idle one stays")
	}
	if busy.ended+mute.ended+other.ended != 0 {
		t.Errorf("ended: busy %d, mute %d, other %d", busy.ended, mute.ended, other.ended)
	}
}

// With much to do the front of the list is full of busy connections, and of those just answered, who will ask again. Neither is
// ended, and each request looks at two at the most: with a look at all, and an end for whoever was idle, a broker that fell
// behind spent its time on looks and new connections and served a tenth of what it could.
func TestMaxIdleUnderLoad(t *testing.T) {
	h := NewTable(10_000, 10, logging.ToFunc(func(line string) { t.Log(line) }))
	var conns []*fakeConn
	for i := range 3000 {
		g := &fakeConn{status: Busy}
		if i%2 == 0 {
			g.status, g.idle = Idle, idleGrace-1
		}
		conns = append(conns, g)
	}
	enter(h, true, conns...)
	looks := 0
	counted := &counted{looks: &looks}
	h.limit.TryAcquire()
	h.Add(counted)
	for _, g := range conns {
		h.Asked(g, false)
		h.Asked(counted, false)
	}
	if looks > 2*len(conns) {
		t.Errorf("%d looks at one connection", looks)
	}
	for i, g := range conns {
		if g.ended > 0 {
			t.Fatalf("connection %d was ended", i)
		}
	}
	conns[7].status, conns[7].idle = Idle, idleGrace
	for range len(conns) {
		h.Asked(conns[1], false)
	}
	if conns[7].ended != 1 {
		t.Error("an idle one among busy ones is never found")
	}
}

type counted struct {
	fakeConn
	looks *int
}

func (c *counted) Look() (Status, time.Duration) {
	*c.looks++
	return Busy, 0
}

func TestStages(t *testing.T) {
	h := NewTable(2, 2, logging.ToFunc(func(line string) { t.Log(line) }))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	early, late := &fakeConn{}, &fakeConn{}
	accept := func(g *fakeConn) bool {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := h.Accept(ln); err != nil {
			t.Fatal(err)
		}
		return h.Add(g)
	}
	if accept(early) || h.ShouldEnd(false) {
		t.Error("an open table ends connections")
	}
	h.Drain()
	if !accept(late) || !h.ShouldEnd(false) || h.ShouldEnd(true) || early.woken != 1 {
		t.Error("a draining table ends the idle, not the fresh")
	}
	h.Remove(early)
	h.Remove(early)
	h.Close()
	if h.Count() != 1 || !h.ShouldEnd(true) || late.woken != 1 {
		t.Error("a closed table ends all")
	}
	if _, err := h.Accept(ln); err == nil {
		t.Error("a closed table accepts")
	}
}

// A full budget holds up a reader until something is given back.
func TestBudget(t *testing.T) {
	b := NewBudget(10)
	var gone atomic.Bool
	stays := func() bool { return false }
	b.Take(25, stays) // alone, anything fits
	var wg sync.WaitGroup
	taken := make(chan struct{}, 2)
	for range 2 {
		wg.Go(func() { b.Take(5, stays); taken <- struct{}{} })
	}
	wg.Go(func() {
		if b.Take(1, gone.Load) {
			t.Error("taken by one that is gone")
		}
	})
	gone.Store(true)
	b.Look()
	if b.TryTake(1) {
		t.Error("taken beyond the budget at once")
	}
	select {
	case <-taken:
		t.Error("taken beyond the budget")
	case <-time.After(20 * time.Millisecond):
	}
	b.Give(25)
	wg.Wait()
	b.Add(3)
	if b.held != 13 || b.TryTake(1) {
		t.Errorf("%d held", b.held)
	}
}

// A full table in which all wait for answers once left each further connection in the kernel's queue, past its client's time.
func TestRejectBeyond(t *testing.T) {
	h := NewTable(2, 2, logging.ToFunc(func(line string) { t.Log(line) }))
	h.RejectOverLimit(3, func(conn net.Conn) { conn.Write([]byte("busy")) }, func() bool { return false })
	first, second := &fakeConn{status: Busy}, &fakeConn{status: Busy}
	enter(h, true, first, second)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, _ := h.Accept(ln)
		accepted <- conn
	}()
	const crowd = 50
	for range crowd {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		answer, err := io.ReadAll(conn) // to its end
		if conn.Close(); string(answer) != "busy" || err != nil {
			t.Fatalf("%q, %v", answer, err)
		}
	}
	if n := h.Rejected(); n != crowd || first.ended+second.ended != 0 {
		t.Errorf("%d rejected, %d and %d times ended", n, first.ended, second.ended)
	}
	h.Remove(first)
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	(<-accepted).Close() // there is a place for it
	h.Close()
}

// A connection that was ended takes a while to leave. Its place is free at once, for as many as may be on their way out; and while the
// broker is overloaded one that asked a moment ago is not ended for a newcomer, which would cost a connection a request.
func TestPlaceOfEvicted(t *testing.T) {
	h := NewTable(3, 3, logging.ToFunc(func(line string) { t.Log(line) }))
	overloaded := true
	h.RejectOverLimit(1, func(net.Conn) {}, func() bool { return overloaded })
	conns := []*fakeConn{{status: Idle, idle: idleGrace - 1}, {status: Idle, idle: idleGrace - 1}, {status: Busy}}
	enter(h, true, conns...)
	ended := func() int { return conns[0].ended + conns[1].ended + conns[2].ended }
	if h.admit() || ended() != 0 {
		t.Fatal("one that asked a moment ago was evicted to a newcomer")
	}
	h.overflow.Release()
	overloaded = false
	if !h.admit() || ended() != 1 || h.Count() != 3 {
		t.Fatalf("no place at once: %d ended", ended())
	}
	if h.overflow.TryAcquire() {
		t.Error("more are on their way out than may be")
	}
	for _, g := range conns {
		h.Remove(g)
	}
	if h.limit.InUse() != 1 || h.overflow.InUse() != 0 {
		t.Errorf("%d and %d places stay taken", h.limit.InUse(), h.overflow.InUse())
	}
}
