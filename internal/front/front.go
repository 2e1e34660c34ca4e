// Package front holds what the fronts share: the set of open connections, room for them, and how they are
// handed over when the broker stops.
package front

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

	"junctionwharf/internal/room"
)

// Guest is one connection of a front.
type Guest interface {
	Wake()                         // has it look whether it should go on
	Look() (Status, time.Duration) // tells what it does, and for how long it has been idle
	End() bool                     // ends the connection, soon, unless something has come by now; it does not block
}

// Status is what a guest does.
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
	roomPause   = 50 * time.Millisecond // between looks for a guest that gives way, where no connection can be turned away
	timeToAsk   = 200 * time.Millisecond
	queueTime   = 50 * time.Millisecond // without a new connection, after which none is on its way

	// Guests that are looked at for an idle one. Under load the front of the list is full of busy ones: with a look at all of
	// them for each request, a broker that fell behind once spent its time on these looks and never caught up.
	looksAsked = 2
	looksFull  = 64

	// A guest that is idle beyond the easy number for so long ends. One that has just been answered asks again, where clients
	// have much to ask: were it ended, each request would cost a connection, and a broker with too much to do had more.
	easyTime = 50 * time.Millisecond
)

// Hall is the set of a front's connections.
type Hall struct {
	log        *slog.Logger
	room       *room.Room // a place for each connection
	mu         sync.Mutex
	easy       int              // connections up to which idle ones may stay
	places     map[Guest]*place // of all guests
	fresh      list.List        // those that have sent no command, in the order in which they came
	polite     list.List        // those that have sent none but greetings
	known      list.List        // those that have had a request, by their last one
	ln         net.Listener
	lnEnded    chan struct{} // closed with ln
	lnEnd      sync.Once
	stage      stage
	turn       func(net.Conn) // answers and ends a connection for which there is no room, nil for none
	overloaded func() bool
	aside      *room.Room // a place for each of these, and for each guest that was ended and has not left yet

	leaving atomic.Bool // it is no longer open
	turned  atomic.Uint64
}

// place is a guest in one of the lists, or in none once it was ended.
type place struct {
	guest Guest
	at    *list.Element
	in    *list.List
	since time.Time // its entry
	aside bool      // its place was given to another
}

type stage int

const (
	open     stage = iota
	draining       // guests leave as soon as they are idle, new ones after their first request
	closed         // no new ones come but those that the kernel has accepted
)

// NewHall returns a hall for so many guests. Of those that have asked, more than easy do not stay idle: clients may have
// room for fewer connections than the hall and keep those they do not use. But they are kept up to there, since a client
// may have no other way in once the broker was told to end. log gets a line when the system refuses a connection.
func NewHall(most, easy int, log *slog.Logger) *Hall {
	return &Hall{log: log, easy: easy, room: room.New(most), places: map[Guest]*place{}, lnEnded: make(chan struct{})}
}

// TurnAway has connections for which there is no room, and nobody gives way, answered by turn, which ends them, up to so many
// at a time. Without it they wait in the kernel's queue, past their clients' time. So many connections may also be on their
// way out beyond the hall's number. While the broker is overloaded those that asked lately do not give way: they will ask
// again, and it costs more to take a connection than to refuse on one that is there. It comes before Accept.
func (h *Hall) TurnAway(most int, turn func(net.Conn), overloaded func() bool) {
	h.turn, h.aside, h.overloaded = turn, room.New(most), overloaded
}

// Accept accepts a connection for which there is room. It guards against a full socket table: those that wait for no answer
// give way, and where nobody does the connection is turned away. Each that is returned must be given back with Leave.
// net.ErrClosed follows Close.
func (h *Hall) Accept(ln net.Listener) (net.Conn, error) {
	h.mu.Lock()
	if h.ln = ln; ln != nil && h.stage >= closed {
		h.shut(0)
	}
	h.mu.Unlock()
	for {
		if h.turn == nil {
			h.makeRoom()
		}
		conn, err := ln.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) { // no time is left, but some may wait in the queue
			conn, err = acceptWaiting(ln)
		}
		switch {
		case err == nil && (h.turn == nil || h.hasRoom()):
			return conn, nil
		case err == nil:
			h.turned.Add(1)
			go func() {
				defer h.aside.Give()
				defer conn.Close()
				h.turn(conn)
			}()
			continue
		case errors.Is(err, errNoneWaits):
			ln.Close()
			err = net.ErrClosed
		}
		if h.turn == nil {
			h.room.Give()
		}
		if errors.Is(err, net.ErrClosed) {
			h.lnEnd.Do(func() { close(h.lnEnded) })
			return nil, err
		}
		h.log.Warn("accept failed", "reason", err)
		time.Sleep(acceptPause)
	}
}

// hasRoom takes a place for a connection that was accepted, or else one among those that are turned away.
func (h *Hall) hasRoom() bool {
	for {
		if h.room.TryTake() {
			return true
		}
		h.mu.Lock()
		gave := h.giveWay()
		h.mu.Unlock()
		from := h.aside
		if gave {
			from = h.room
		}
		ctx, cancel := context.WithTimeout(context.Background(), roomPause)
		err := from.Take(ctx)
		cancel()
		if err == nil {
			return gave
		}
	}
}

// Enter adds an accepted connection and tells whether it came while others leave.
func (h *Hall) Enter(g Guest) (late bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := &place{guest: g, since: time.Now()}
	h.places[g] = p
	h.put(p, &h.fresh)
	return h.stage != open
}

// Asked notes that a request of a guest came, which is the last to give way from now on.
// While there is too much to do no idle one ends for it: it costs more to take a connection than to keep it.
func (h *Hall) Asked(g Guest, overloaded bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.places[g]; p != nil && p.in != nil {
		if p.in == &h.known {
			h.known.MoveToBack(p.at)
		} else {
			h.put(p, &h.known)
		}
		if h.known.Len() > h.easy && !overloaded {
			h.endIdlest(looksAsked, easyTime)
		}
	}
}

func (h *Hall) put(p *place, in *list.List) {
	if p.in != nil {
		p.in.Remove(p.at)
	}
	if p.in = in; in != nil {
		p.at = in.PushBack(p)
	}
}

// Leave gives back the room of a connection that has ended.
func (h *Hall) Leave(g Guest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.places[g]; p != nil {
		h.put(p, nil)
		delete(h.places, g)
		if p.aside {
			h.aside.Give()
		} else {
			h.room.Give()
		}
	}
}

// makeRoom takes a place as soon as there is one.
func (h *Hall) makeRoom() {
	for !h.room.TryTake() {
		h.mu.Lock()
		h.giveWay()
		h.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), roomPause)
		err := h.room.Take(ctx)
		cancel()
		if err == nil {
			break
		}
	}
}

// Greeted notes that a guest sent a command that asks for nothing.
func (h *Hall) Greeted(g Guest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.places[g]; p != nil && p.in == &h.fresh {
		h.put(p, &h.polite)
	}
}

// giveWay ends one guest: the first that has done no more than greet; else the first that has sent nothing, once it had
// time to; else the idlest that has asked; else the first that stands half way in its first command. It guards the
// usual clients, slow ones among them, against crowds. It tells whether one was ended. The caller holds h.mu.
func (h *Hall) giveWay() bool {
	looks, least := looksFull, time.Duration(0)
	if h.turn != nil && h.overloaded() {
		looks, least = looksAsked, easyTime
	}
	return h.end(h.first(&h.polite, Idle)) || h.end(h.first(&h.fresh, Idle)) || h.endIdlest(looks, least) || h.end(h.first(&h.fresh, HalfWay))
}

// first returns the first guest of a list with a status, nil for none. One that has just come gets its time to ask.
func (h *Hall) first(in *list.List, status Status) *place {
	for at := in.Front(); at != nil; at = at.Next() {
		p := at.Value.(*place)
		if in == &h.fresh && time.Since(p.since) < timeToAsk {
			return nil // as all behind it
		}
		if now, _ := p.guest.Look(); now == status {
			return p
		}
	}
	return nil
}

// endIdlest ends the guest that has been idle for longest among the first so many of those that have asked, if one was so for the
// least time, and tells whether it did. Others go to the end of the list.
func (h *Hall) endIdlest(looks int, least time.Duration) bool {
	for range min(looks, h.known.Len()) {
		p := h.known.Front().Value.(*place)
		if status, idle := p.guest.Look(); status == Idle && idle >= least && h.end(p) {
			return true
		}
		h.known.MoveToBack(p.at)
	}
	return false
}

// end ends a guest unless it is nil, or has just sent something.
func (h *Hall) end(p *place) bool {
	if p == nil || !p.guest.End() {
		return false
	}
	h.put(p, nil) // it counts as a guest until it leaves
	if h.turn != nil && h.aside.TryTake() {
		p.aside = true // its place is free at once
		h.room.Give()
	}
	return true
}

// Clients tells how many connections are open.
func (h *Hall) Clients() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.places)
}

// TurnedAway tells how many connections found no room and were answered and ended at once.
func (h *Hall) TurnedAway() uint64 { return h.turned.Load() }

// Drain has connections end as soon as they wait for no answer. New ones are taken still: a client whose
// request crossed the end of its connection sends it once more on a new one.
func (h *Hall) Drain() { h.proceed(draining) }

// Shut takes no more connections but those that wait in the kernel's queue, which the end of the listener would reset.
// Others must lead to another process by then. Without a deadline of its own a listener is closed at once.
func (h *Hall) Shut() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shut(queueTime)
}

// shut has Accept end after a while, with what the kernel has accepted by then; the caller holds h.mu.
func (h *Hall) shut(after time.Duration) {
	if ln, ok := h.ln.(interface{ SetDeadline(time.Time) error }); ok {
		ln.SetDeadline(time.Now().Add(after))
	} else if h.ln != nil {
		h.ln.Close()
	}
}

// Resize changes how many guests there may be, how many before idle ones end, and how many are turned away at a time. Those
// beyond leave as they end.
func (h *Hall) Resize(most, easy, aside int) {
	h.room.Resize(most)
	if h.turn != nil {
		h.aside.Resize(aside)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.easy = easy
}

// Close takes no more connections but those that the kernel has accepted: requests on them count as taken. It waits for Accept to
// take these, though not for long: others may want the places.
func (h *Hall) Close() {
	h.proceed(closed)
	h.mu.Lock()
	h.shut(0)
	listens := h.ln != nil
	h.mu.Unlock()
	if listens {
		select {
		case <-h.lnEnded:
		case <-time.After(queueTime):
		}
	}
}

func (h *Hall) proceed(to stage) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stage = to
	h.leaving.Store(true)
	for g := range h.places {
		g.Wake()
	}
}

// Leaving tells whether guests leave as soon as they are idle.
func (h *Hall) Leaving() bool { return h.leaving.Load() }

// Dismisses tells whether an idle connection should end; fresh says that it came late and has had no request.
func (h *Hall) Dismisses(fresh bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stage == closed || h.stage == draining && !fresh
}
