package front

import (
	"net"
	"sync"
	"testing"
	"time"
)

type guest struct {
	woken, ended int
	since        time.Time
	busy, mute   bool
}

func (g *guest) Wake()                   { g.woken++ }
func (g *guest) Idle() (time.Time, bool) { return g.since, !g.busy }
func (g *guest) Asked() bool             { return !g.mute }
func (g *guest) End()                    { g.ended++ }

// A full hall ends what has been idle for longest, never what waits for an answer.
func TestEndIdlest(t *testing.T) {
	h := NewHall(3, 3, func(line string) { t.Log(line) })
	busy, old, young := &guest{busy: true}, &guest{since: time.Unix(1, 0)}, &guest{since: time.Unix(2, 0)}
	for _, g := range []*guest{busy, old, young} {
		h.Enter(g)
	}
	h.endIdlest(0)
	if busy.ended+young.ended != 0 || old.ended != 1 {
		t.Errorf("ended: busy %d, old %d, young %d", busy.ended, old.ended, young.ended)
	}
}

// A flood of silent connections gives way before a client that has asked; a new one may still be about to ask.
func TestEndSilentFirst(t *testing.T) {
	h := NewHall(4, 4, func(line string) { t.Log(line) })
	now := time.Now()
	usual, silent := &guest{since: now.Add(-time.Hour)}, &guest{since: now.Add(-time.Second), mute: true}
	older, fresh := &guest{since: now.Add(-2 * time.Second), mute: true}, &guest{since: now, mute: true}
	for _, g := range []*guest{usual, silent, older, fresh} {
		h.Enter(g)
	}
	for _, next := range []*guest{older, silent, usual} {
		if h.endIdlest(0); next.ended != 1 {
			t.Fatalf("usual %d, silent %d, older %d, fresh %d", usual.ended, silent.ended, older.ended, fresh.ended)
		}
		delete(h.guests, next)
	}
}

// Clients that ask once and keep their connection must not use up the few that they have: beyond the easy number
// the idlest ends, long before the hall is full. One that has just come, or waits for an answer, stays.
func TestBeyondEasy(t *testing.T) {
	h := NewHall(100, 2, func(line string) { t.Log(line) })
	now := time.Now()
	busy, idle := &guest{since: now.Add(-time.Hour), busy: true}, &guest{since: now.Add(-time.Second)}
	h.Enter(busy)
	h.Enter(idle)
	if idle.ended != 0 {
		t.Fatal("ended too early")
	}
	fresh := &guest{since: time.Now()}
	if h.Enter(fresh); idle.ended != 1 {
		t.Error("the idle one stays")
	}
	delete(h.guests, idle)
	if h.Enter(&guest{since: time.Now()}); busy.ended+fresh.ended != 0 {
		t.Errorf("ended: busy %d, fresh %d", busy.ended, fresh.ended)
	}
}

func TestStages(t *testing.T) {
	h := NewHall(2, 2, func(line string) { t.Log(line) })
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
	b.Take(25) // alone, anything fits
	var wg sync.WaitGroup
	taken := make(chan struct{}, 2)
	for range 2 {
		wg.Go(func() { b.Take(5); taken <- struct{}{} })
	}
	select {
	case <-taken:
		t.Error("taken beyond the budget")
	case <-time.After(20 * time.Millisecond):
	}
	b.Give(25)
	wg.Wait()
	b.Add(3)
	if b.held != 13 {
		t.Errorf("%d held", b.held)
	}
}
