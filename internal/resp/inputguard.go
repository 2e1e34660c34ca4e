package resp

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"junctionwharf/internal/clientconn"
)

// idleTimeout is how long a client may send no command while it waits for no answer. Higher, clients that have gone
// without a word would hold their slots for longer; lower, clients would have to connect more often.
const idleTimeout = 10 * time.Second

// takeOverCommand is the first command of each connection. The guard makes it, no client sends it: redcon then calls
// the handler, which takes the connection over, so that all that a client sends is read where a panic ends its
// connection only.
const takeOverCommand = "*1\r\n$6\r\nATTACH\r\n"

// inputError is the error of input that is no sequence of commands. Its text goes to the client.
type inputError string

func (e inputError) Error() string { return string(e) }

const (
	errProtocol    = inputError("Protocol error: want arrays of bulk strings")
	errSlowCommand = inputError("Protocol error: a command took too long")
)

// readPhase is what the goroutine that reads a connection does.
type readPhase = int32

const (
	takingCommand     readPhase = iota // what was read is being taken
	waitingForCommand                  // it waits for a command, and all before is taken
	insideCommand                      // it waits for the rest of a command
)

// longAgo is a read deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// inputGuard is a client's connection as redcon's reader sees it. It hands on well-formed input only, so that no length
// can make that reader allocate, count or index without bound, and it bounds the time that clients may take. All but
// phase and interrupted belongs to the goroutine that reads.
type inputGuard struct {
	net.Conn

	// onWait is called when the guard begins to wait for a command, nil for none.
	onWait func()
	// onCommand may answer a whole command that came alone, and reports whether it did: such a command is not handed
	// on. It is nil for none.
	onCommand func(raw []byte) bool

	scanner         commandScanner
	detached        bool      // the detach command was handed on
	commandReceived bool      // a command has come whole
	commandDeadline time.Time // when the command that is under way must be whole, zero for none
	readDeadline    time.Time // when the read that is under way times out
	err             error     // of what was read last
	aloneAndWhole   bool      // what was read last is exactly one command

	phase       atomic.Int32 // a readPhase
	interrupted atomic.Bool  // the reader is to be woken
}

// Read implements net.Conn. It hands on what is well formed and then fails.
func (g *inputGuard) Read(p []byte) (int, error) {
	if !g.detached {
		g.detached = true
		return copy(p, takeOverCommand), nil
	}
	if g.err != nil {
		return 0, g.err
	}
	for {
		n, err := g.readOnce(p)
		if n == 0 || err != nil || g.onCommand == nil || !g.aloneAndWhole || !g.onCommand(p[:n]) {
			return n, err
		}
		g.commandDone()
	}
}

// readOnce reads from the connection once and checks what came.
func (g *inputGuard) readOnce(p []byte) (int, error) {
	g.aloneAndWhole = false
	g.startWaiting()
	n, err := g.Conn.Read(p)
	if n > 0 {
		g.phase.Store(takingCommand)
	}
	startedAt := g.scanner.state
	if errors.Is(err, os.ErrDeadlineExceeded) && startedAt != atCommand && !g.wasInterrupted() {
		err = errSlowCommand
	}
	commands := g.scanner.commands
	if valid := g.scanner.scan(p[:n]); valid < n {
		g.err = errProtocol
		if valid == 0 {
			return 0, g.err
		}
		return valid, nil
	}
	g.aloneAndWhole = startedAt == atCommand && g.scanner.state == atCommand && g.scanner.commands == commands+1
	return n, err
}

// startWaiting sets the deadline and the phase of the next read.
func (g *inputGuard) startWaiting() {
	g.readDeadline = g.nextDeadline(time.Now())
	g.setReadDeadline(g.readDeadline)
	if g.interrupted.Load() { // since the deadline was set: it was overwritten
		g.setReadDeadline(longAgo)
	}
	if g.scanner.state != atCommand {
		g.phase.Store(insideCommand)
		return
	}
	g.phase.Store(waitingForCommand)
	if g.onWait != nil {
		g.onWait()
	}
}

// setReadDeadline sets the connection's read deadline. It fails on a closed connection only, as the read then does.
func (g *inputGuard) setReadDeadline(deadline time.Time) { _ = g.SetReadDeadline(deadline) }

// nextDeadline returns until when the next bytes must come. It keeps clients that send nothing, or half a command, from
// holding slots and memory; between commands a client may pause for longer.
func (g *inputGuard) nextDeadline(now time.Time) time.Time {
	switch {
	case g.scanner.state == atCommand && g.commandReceived:
		g.commandDeadline = time.Time{}
		return now.Add(idleTimeout)
	case g.commandDeadline.IsZero() && g.commandReceived:
		g.commandDeadline = now.Add(clientconn.CommandTimeout)
	case g.commandDeadline.IsZero():
		g.commandDeadline = now.Add(clientconn.FirstCommandTimeout)
	}
	return g.commandDeadline
}

// commandDone notes that a command has come whole.
func (g *inputGuard) commandDone() {
	g.commandReceived = true
	g.commandDeadline = time.Time{}
}

// interrupt makes the read that is under way, or else the next one, fail with os.ErrDeadlineExceeded. It may be called
// from any goroutine.
func (g *inputGuard) interrupt() {
	g.interrupted.Store(true)
	g.setReadDeadline(longAgo)
}

// clearInterrupt lets the reader go on after an interrupt.
func (g *inputGuard) clearInterrupt() { g.interrupted.Store(false) }

// wasInterrupted reports whether the read that timed out did so before its time.
func (g *inputGuard) wasInterrupted() bool { return time.Now().Before(g.readDeadline) }
