// Package front holds what the fronts share: the set of open connections, room for them, and how they are
// handed over when the broker stops.
package front

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"junctionwharf/internal/room"
)

// Guest is one connection of a front.
type Guest interface {
	Wake()                              // has it look whether it should go on
	Idle() (since time.Time, idle bool) // whether no answer is owed
	Asked() bool                        // whether a request came that could be read
	End()                               // closes the connection
}

// What a client has time for. A bad one gets its error, or its end, within three seconds.
const (
	FirstTime   = 2500 * time.Millisecond // from connecting to the end of the first command
	CommandTime = 2500 * time.Millisecond // from a command's first byte to its last
)

const (
	acceptPause = 10 * time.Millisecond
	roomPause   = 50 * time.Millisecond
	timeToAsk   = 200 * time.Millisecond
	queueTime   = 50 * time.Millisecond // without a new connection, after which none is on its way
)

// Hall is the set of a front's connections.
type Hall struct {
	log    func(string)
	room   *room.Room // a place for each connection
	easy   int        // connections up to which idle ones may stay
	mu     sync.Mutex
	guests map[Guest]struct{}
	ln     net.Listener
	stage  stage
}

type stage int

const (
	open     stage = iota
	draining       // guests leave as soon as they are idle, new ones after their first request
	closed         // no new ones come
)

// NewHall returns a hall for so many guests. Beyond easy of them, each new one has the idlest end: clients may have
// room for fewer connections than the hall and keep those they do not use. log gets a line when the system refuses
// a connection.
func NewHall(most, easy int, log func(string)) *Hall {
	return &Hall{log: log, easy: easy, room: room.New(most), guests: map[Guest]struct{}{}}
}

// Accept accepts a connection when there is room for it. It guards against a full socket table: until there is
// room a connection waits in the kernel's queue, while those that wait for no answer give way. Each must be
// given back with Leave. net.ErrClosed follows Close.
func (h *Hall) Accept(ln net.Listener) (net.Conn, error) {
	h.mu.Lock()
	h.ln = ln
	h.mu.Unlock()
	if !h.room.TryTake() {
		h.makeRoom()
	}
	for {
		conn, err := ln.Accept()
		if err == nil {
			return conn, nil
		}
		if errors.Is(err, os.ErrDeadlineExceeded) { // the queue is empty
			ln.Close()
			err = net.ErrClosed
		}
		if errors.Is(err, net.ErrClosed) {
			h.room.Give()
			return nil, err
		}
		h.log("accept: " + err.Error())
		time.Sleep(acceptPause)
	}
}

// Enter adds an accepted connection and tells whether it came while others leave.
func (h *Hall) Enter(g Guest) (late bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.guests[g] = struct{}{}
	if len(h.guests) > h.easy {
		h.endIdlest(timeToAsk)
	}
	return h.stage != open
}

// Leave gives back the room of a connection that has ended.
func (h *Hall) Leave(g Guest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, held := h.guests[g]; held {
		delete(h.guests, g)
		h.room.Give()
	}
}

// makeRoom takes a place as soon as there is one.
func (h *Hall) makeRoom() {
	for {
		h.mu.Lock()
		h.endIdlest(0)
		h.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), roomPause)
		err := h.room.Take(ctx)
		cancel()
		if err == nil {
			return
		}
	}
}

// endIdlest ends the connection that has been idle for longest, and for so long at least, first of those that have
// not asked for anything: it guards the usual clients against a flood of silent ones. A new connection gets its time
// to ask. The caller holds h.mu.
func (h *Hall) endIdlest(least time.Duration) bool {
	var idlest Guest
	var oldest time.Time
	mute, now := false, time.Now()
	for g := range h.guests {
		since, idle := g.Idle()
		if !idle || now.Sub(since) < least {
			continue
		}
		silent := !g.Asked() && now.Sub(since) > timeToAsk
		if idlest == nil || silent && !mute || silent == mute && since.Before(oldest) {
			idlest, oldest, mute = g, since, silent
		}
	}
	if idlest == nil {
		return false
	}
	idlest.End()
	return true
}

// Clients tells how many connections are open.
func (h *Hall) Clients() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.guests)
}

// Drain has connections end as soon as they wait for no answer. New ones are taken still: a client whose
// request crossed the end of its connection sends it once more on a new one.
func (h *Hall) Drain() { h.proceed(draining) }

// Shut takes no more connections but those that wait in the kernel's queue, which the end of the listener would reset.
// Others must lead to another process by then. Without a deadline of its own a listener is closed at once.
func (h *Hall) Shut() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ln, ok := h.ln.(interface{ SetDeadline(time.Time) error }); ok {
		ln.SetDeadline(time.Now().Add(queueTime))
	} else if h.ln != nil {
		h.ln.Close()
	}
}

// Resize changes how many guests there may be, and how many before idle ones end. Those beyond leave as they end.
func (h *Hall) Resize(most, easy int) {
	h.room.Resize(most)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.easy = easy
}

// Close takes no more connections.
func (h *Hall) Close() {
	h.proceed(closed)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ln != nil {
		h.ln.Close()
	}
}

func (h *Hall) proceed(to stage) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stage = to
	for g := range h.guests {
		g.Wake()
	}
}

// Dismisses tells whether an idle connection should end; fresh says that it came late and has had no request.
func (h *Hall) Dismisses(fresh bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stage == closed || h.stage == draining && !fresh
}
