package resp

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"junctionwharf/internal/clientconn"
)

// idleTime is how long a client may go without a command while it waits for no answer.
const idleTime = 10 * time.Second

// partTime is how long a connection that was ended waits for its client's end, longer than a request is on its way. Its place is taken
// meanwhile, and others may wait for it.
const partTime = 10 * time.Millisecond

// attach is the first command of each connection: the guard makes it, no client sends it. On it the
// handler detaches, so that all that a client sends is read where a panic ends its connection only.
const attach = "*1\r\n$6\r\nATTACH\r\n"

var (
	errProtocol = errors.New("Protocol error: want arrays of bulk strings")
	errSlow     = errors.New("Protocol error: a command took too long")
)

// guard checks what a client sends before redcon's reader sees it. It guards against lengths that
// would have the reader allocate, count or index without bound.
type guard struct {
	net.Conn
	attached bool
	due      time.Time // when the command that is under way must be whole
	until    time.Time // when the read that is under way is late
	asked    bool      // a command came whole
	state    guardState
	figure   int // the length being read, -1 before its first digit
	args     int // bulk strings still to come
	skip     int // bytes of a bulk string still to come
	err      error
	alone    bool

	phase atomic.Int32 // what it reads
	poked atomic.Bool  // who reads is to be woken

	rested func()              // called when it begins to wait for a command, nil for none
	refuse func(p []byte) bool // answers one whole command that came alone, without anything being kept of it; nil for never
	ended  int                 // commands that came whole
}

// The phases of a guard.
const (
	working int32 = iota // what was read is being taken
	resting              // it waits for a command, and all before is taken
	halfWay              // it waits for the rest of a command
)

type guardState int

const (
	atCommand guardState = iota
	inCount
	atBulk
	inLength
	inBulk
)

// Read implements net.Conn. It hands on what is sound and then fails.
func (g *guard) Read(p []byte) (int, error) {
	if !g.attached {
		g.attached = true
		return copy(p, attach), nil
	}
	if g.err != nil {
		return 0, g.err
	}
	for {
		n, err := g.read(p)
		if n == 0 || err != nil || g.refuse == nil || !g.alone || !g.refuse(p[:n]) {
			return n, err
		}
		g.whole()
	}
}

// read reads once. Afterwards alone tells whether what came is one command, whole.
func (g *guard) read(p []byte) (int, error) {
	g.alone = false
	g.until = g.limit(time.Now())
	g.Conn.SetReadDeadline(g.until)
	if g.poked.Load() { // since the deadline was reckoned
		g.Conn.SetReadDeadline(longAgo)
	}
	if g.state == atCommand {
		g.phase.Store(resting)
		if g.rested != nil {
			g.rested()
		}
	} else {
		g.phase.Store(halfWay)
	}
	n, err := g.Conn.Read(p)
	if n > 0 {
		g.phase.Store(working)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && g.state != atCommand && !g.woken() {
		err = errSlow
	}
	began, ended := g.state, g.ended
	if sound := g.check(p[:n]); sound < n {
		g.err = errProtocol
		if sound == 0 {
			return 0, g.err
		}
		return sound, nil
	}
	g.alone = began == atCommand && g.state == atCommand && g.ended == ended+1
	return n, err
}

var longAgo = time.Unix(1, 0)

// poke wakes who reads, once, with os.ErrDeadlineExceeded.
func (g *guard) poke() {
	g.poked.Store(true)
	g.Conn.SetReadDeadline(longAgo)
}

// rest has who was poked read on.
func (g *guard) rest() { g.poked.Store(false) }

// woken tells whether the last read ended by a poke, before its time was up.
func (g *guard) woken() bool { return time.Now().Before(g.until) }

// limit tells until when the next bytes must come. It guards room and memory against clients that say nothing
// or half a command; those that pause between commands may stay for longer.
func (g *guard) limit(now time.Time) time.Time {
	switch {
	case g.state == atCommand && g.asked:
		g.due = time.Time{}
		return now.Add(idleTime)
	case g.due.IsZero() && g.asked:
		g.due = now.Add(clientconn.CommandTimeout)
	case g.due.IsZero():
		g.due = now.Add(clientconn.FirstCommandTimeout)
	}
	return g.due
}

// whole notes that a command came whole.
func (g *guard) whole() { g.asked, g.due = true, time.Time{} }

// check tells how many bytes are sound.
func (g *guard) check(p []byte) int {
	for i := 0; i < len(p); i++ {
		ok := true
		switch g.state {
		case atCommand:
			ok, g.state, g.figure = p[i] == '*', inCount, -1
		case inCount:
			var end bool
			if ok, end = g.digit(p[i], maxArgs); end && ok {
				ok = g.figure > 0
				g.args, g.state = g.figure, atBulk
			}
		case atBulk:
			ok, g.state, g.figure = p[i] == '$', inLength, -1
		case inLength:
			var end bool
			if ok, end = g.digit(p[i], maxValue); end && ok {
				g.skip, g.state = g.figure+2, inBulk
			}
		case inBulk:
			step := min(g.skip, len(p)-i)
			g.skip -= step
			i += step - 1
			if g.skip == 0 {
				g.args--
				g.state = atBulk
				if g.args == 0 {
					g.state = atCommand
					g.ended++
				}
			}
		}
		if !ok {
			return i
		}
	}
	return len(p)
}

// digit takes a byte of a length up to most; LF ends it.
func (g *guard) digit(c byte, most int) (ok, end bool) {
	switch {
	case c >= '0' && c <= '9':
		g.figure = max(0, g.figure)*10 + int(c-'0')
		return g.figure <= most, false
	case c == '\r':
		return g.figure >= 0, false
	case c == '\n':
		return g.figure >= 0, true
	}
	return false, false
}
