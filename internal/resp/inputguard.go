package resp

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"junctionwharf/internal/clientconn"
)

// idleTimeout is how long a client may be silent between commands while no answer to it is pending. A larger value
// would let clients that disconnected without notice keep their slots for longer. A smaller value would make clients
// reconnect more often.
const idleTimeout = 10 * time.Second

// takeOverCommand is the first command on each connection. inputGuard generates it; no client sends it. When redcon
// has read the command it calls the handler, which detaches the connection. So all input from clients is read by
// goroutines in which a panic ends only its own connection.
const takeOverCommand = "*1\r\n$6\r\nATTACH\r\n"

// inputError is the error of input that is not a sequence of commands. Its text is sent to the client.
type inputError string

func (e inputError) Error() string { return string(e) }

const (
	errProtocol    = inputError("Protocol error: want arrays of bulk strings")
	errSlowCommand = inputError("Protocol error: a command took too long")
)

// readPhase is what the reading goroutine of a connection is doing.
type readPhase = int32

const (
	takingCommand     readPhase = iota // handling input
	waitingForCommand                  // waiting for a command, with all earlier input handled
	insideCommand                      // waiting for the rest of a command
)

// longAgo is a read deadline in the past. It ends a read at once.
var longAgo = time.Unix(1, 0)

// inputGuard is the client connection that redcon's reader reads. It passes on only well-formed input, so that no
// length in the input can make that reader allocate, count or index without bound. It also limits the time that a
// client may take for a command. Only the reading goroutine uses the fields other than Conn, phase and interrupted.
type inputGuard struct {
	net.Conn

	// onWait is called when the guard begins to wait for a command. It may be nil.
	onWait func()
	// onCommand may answer a complete command that one read returned alone, and reports whether it did. A command that
	// it answered is not passed on to redcon's reader. It may be nil.
	onCommand func(raw []byte) bool

	scanner         commandScanner
	detached        bool      // takeOverCommand was passed on
	commandReceived bool      // a complete command was received
	commandDeadline time.Time // when the current command must be complete, zero for none
	readDeadline    time.Time // when the current read times out
	err             error     // returned by all further reads
	aloneAndWhole   bool      // the last read returned exactly one complete command

	phase       atomic.Int32 // a readPhase
	interrupted atomic.Bool  // the current or next read must fail at once
}

// Read implements net.Conn. It returns well-formed input and fails after malformed input.
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

// readOnce reads from the connection once and checks the bytes.
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
	if g.interrupted.Load() { // the line above may have overwritten an interrupt's deadline
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

// setReadDeadline sets the connection's read deadline. It fails only on a closed connection, on which reads fail too.
func (g *inputGuard) setReadDeadline(deadline time.Time) { _ = g.SetReadDeadline(deadline) }

// nextDeadline returns the time by which the next bytes must arrive. It keeps clients that send nothing, or half a
// command, from occupying slots and memory. Between commands a client may be silent for longer.
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

// commandDone records that a complete command was received.
func (g *inputGuard) commandDone() {
	g.commandReceived = true
	g.commandDeadline = time.Time{}
}

// interrupt makes the current read, or else the next one, fail with os.ErrDeadlineExceeded. It may be called from any
// goroutine.
func (g *inputGuard) interrupt() {
	g.interrupted.Store(true)
	g.setReadDeadline(longAgo)
}

// clearInterrupt makes reads wait for input again after an interrupt.
func (g *inputGuard) clearInterrupt() { g.interrupted.Store(false) }

// wasInterrupted reports whether the read that timed out failed before its deadline.
func (g *inputGuard) wasInterrupted() bool { return time.Now().Before(g.readDeadline) }
