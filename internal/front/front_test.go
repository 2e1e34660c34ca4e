package front

import (
	"io"
	"junctionwharf/internal/logs"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

type guest struct {
	woken, ended int
	status       Status
	idle         time.Duration
	speaks       bool // something has come by now
}

func (g *guest) Wake()                         { g.woken++ }
func (g *guest) Look() (Status, time.Duration) { return g.status, g.idle }
func (g *guest) End() bool                     { g.ended++; return !g.speaks }

// enter adds guests that came a second ago; those that have asked did so in this order.
func enter(h *Hall, asked bool, guests ...*guest) {
	for _, g := range guests {
		h.room.TryTake()
		h.Enter(g)
		h.places[g].since = time.Now().Add(-time.Second)
		if asked {
			h.Asked(g, false)
		}
	}
}

// A full hall first ends who has only greeted, then who has sent nothing, then who has been idle for longest, then who stands half way in a first
// command: a crowd must not push out slow writers. Who waits for an answer stays, and who has just come.
func TestGiveWay(t *testing.T) {
	h := NewHall(10, 10, logs.Func(func(line string) { t.Log(line) }))
	busy, old, young := &guest{status: Busy}, &guest{status: Idle}, &guest{status: Idle}
	slow, mute, mute2, fresh := &guest{status: HalfWay}, &guest{status: Idle}, &guest{status: Idle}, &guest{status: Idle}
	enter(h, true, busy, young, old)
	h.Asked(young, false) // again
	polite := &guest{status: Idle}
	enter(h, false, slow, mute, mute2, polite, fresh)
	h.places[fresh].since = time.Now()
	h.Greeted(polite)
	h.Greeted(old) // one that has asked before stays what it is
	for i, next := range []*guest{polite, mute, mute2, old, young, slow, nil} {
		sum := func() (n int) {
			for _, g := range []*guest{busy, old, young, slow, mute, mute2, polite, fresh} {
				n += g.ended
			}
			return n
		}
		before := sum()
		if h.giveWay(); next == nil && sum() != before || next != nil && (next.ended != 1 || sum() != before+1) {
			t.Fatalf("step %d: another was ended than was wanted", i)
		}
	}
	if busy.ended+fresh.ended != 0 {
		t.Error("one that is busy or fresh was ended")
	}
}

// Clients that ask once and keep their connection must not use up the few that they have: beyond the easy number
// the idlest of them ends, long before the hall is full. Who has not asked yet, or waits for an answer, stays.
func TestBeyondEasy(t *testing.T) {
	h := NewHall(100, 2, logs.Func(func(line string) { t.Log(line) }))
	busy, idle, mute, other := &guest{status: Busy}, &guest{status: Idle, idle: time.Second}, &guest{status: Idle}, &guest{status: Idle}
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

// With much to do the front of the list is full of busy guests, and of those just answered, who will ask again. Neither is
// ended, and each request looks at two at the most: with a look at all, and an end for whoever was idle, a broker that fell
// behind spent its time on looks and new connections and served a tenth of what it could.
func TestBeyondEasyUnderLoad(t *testing.T) {
	h := NewHall(10_000, 10, logs.Func(func(line string) { t.Log(line) }))
	var guests []*guest
	for i := range 3000 {
		g := &guest{status: Busy}
		if i%2 == 0 {
			g.status, g.idle = Idle, easyTime-1
		}
		guests = append(guests, g)
	}
	enter(h, true, guests...)
	looks := 0
	counted := &counted{looks: &looks}
	h.room.TryTake()
	h.Enter(counted)
	for _, g := range guests {
		h.Asked(g, false)
		h.Asked(counted, false)
	}
	if looks > 2*len(guests) {
		t.Errorf("%d looks at one guest", looks)
	}
	for i, g := range guests {
		if g.ended > 0 {
			t.Fatalf("guest %d was ended", i)
		}
	}
	guests[7].status, guests[7].idle = Idle, easyTime
	for range len(guests) {
		h.Asked(guests[1], false)
	}
	if guests[7].ended != 1 {
		t.Error("an idle one among busy ones is never found")
	}
}

type counted struct {
	guest
	looks *int
}

func (c *counted) Look() (Status, time.Duration) {
	*c.looks++
	return Busy, 0
}

func TestStages(t *testing.T) {
	h := NewHall(2, 2, logs.Func(func(line string) { t.Log(line) }))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	early, late := &guest{}, &guest{}
	accept := func(g *guest) bool {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := h.Accept(ln); err != nil {
			t.Fatal(err)
		}
		return h.Enter(g)
	}
	if accept(early) || h.Dismisses(false) {
		t.Error("an open hall dismisses")
	}
	h.Drain()
	if !accept(late) || !h.Dismisses(false) || h.Dismisses(true) || early.woken != 1 {
		t.Error("a draining hall dismisses the idle, not the fresh")
	}
	h.Leave(early)
	h.Leave(early)
	h.Close()
	if h.Clients() != 1 || !h.Dismisses(true) || late.woken != 1 {
		t.Error("a closed hall dismisses all")
	}
	if _, err := h.Accept(ln); err == nil {
		t.Error("a closed hall accepts")
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

// A full hall in which all wait for answers once left each further connection in the kernel's queue, past its client's time.
func TestTurnAway(t *testing.T) {
	h := NewHall(2, 2, logs.Func(func(line string) { t.Log(line) }))
	h.TurnAway(3, func(conn net.Conn) { conn.Write([]byte("busy")) }, func() bool { return false })
	first, second := &guest{status: Busy}, &guest{status: Busy}
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
	if n := h.TurnedAway(); n != crowd || first.ended+second.ended != 0 {
		t.Errorf("%d turned away, %d and %d times ended", n, first.ended, second.ended)
	}
	h.Leave(first)
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	(<-accepted).Close() // there is a place for it
	h.Close()
}

// A guest that was ended takes a while to leave. Its place is free at once, for as many as may be on their way out; and while the
// broker is overloaded one that asked a moment ago is not ended for a newcomer, which would cost a connection a request.
func TestPlaceOfOneOnItsWayOut(t *testing.T) {
	h := NewHall(3, 3, logs.Func(func(line string) { t.Log(line) }))
	overloaded := true
	h.TurnAway(1, func(net.Conn) {}, func() bool { return overloaded })
	guests := []*guest{{status: Idle, idle: easyTime - 1}, {status: Idle, idle: easyTime - 1}, {status: Busy}}
	enter(h, true, guests...)
	ended := func() int { return guests[0].ended + guests[1].ended + guests[2].ended }
	if h.hasRoom() || ended() != 0 {
		t.Fatal("one that asked a moment ago gave way to a newcomer")
	}
	h.aside.Give()
	overloaded = false
	if !h.hasRoom() || ended() != 1 || h.Clients() != 3 {
		t.Fatalf("no place at once: %d ended", ended())
	}
	if h.aside.TryTake() {
		t.Error("more are on their way out than may be")
	}
	for _, g := range guests {
		h.Leave(g)
	}
	if h.room.Taken() != 1 || h.aside.Taken() != 0 {
		t.Errorf("%d and %d places stay taken", h.room.Taken(), h.aside.Taken())
	}
}
