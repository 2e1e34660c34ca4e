package resp

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"junctionwharf/internal/clientconn"
)

// idleTimeout is how long a client may be silent after a command while no answer to it is pending. A larger value would
// let clients that disconnected without notice keep their slots for longer. A smaller value would make clients
// reconnect more often.
const idleTimeout = 10 * time.Second

// takeOverCommand is a command that inputGuard generates as the first command on each connection. No client sends it.
// When redcon has read the command, it calls serveDetached, which detaches the connection from redcon. All input from
// clients is therefore read by goroutines of this package, in which a panic ends only the connection concerned.
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
	takingCommand     readPhase = iota // handling input that was read
	waitingForCommand                  // waiting for the first byte of a command
	insideCommand                      // waiting for the rest of a command
)

// longAgo is a read deadline in the past. It makes reads fail at once.
var longAgo = time.Unix(1, 0)

// inputGuard is the client connection that redcon's reader reads. It returns only well-formed input, so that no length
// in the input can make that reader allocate, count or index without bound. It also limits the time that a client may
// take to send a command. Only the reading goroutine uses the fields other than Conn, phase and interrupted.
type inputGuard struct {
	net.Conn

	// onWait is called when the guard begins to wait for a command. It may be nil.
	onWait func()
	// onCommand is called with the bytes of a read that returned exactly one complete command. It may answer the
	// command and reports whether it did. An answered command is not passed to redcon's reader. onCommand may be nil.
	onCommand func(raw []byte) bool

	scanner         commandScanner
	detached        bool      // Read has returned takeOverCommand
	commandReceived bool      // a complete command was received
	commandDeadline time.Time // when the current command must be complete, zero for none
	readDeadline    time.Time // when the current read times out
	err             error     // returned by all further reads
	aloneAndWhole   bool      // the last read returned exactly one complete command

	phase       atomic.Int32 // a readPhase
	interrupted atomic.Bool  // reads must fail at once, until clearInterrupt is called
}

// Read implements net.Conn. The first call returns takeOverCommand. Later calls return the client's well-formed input.
// After malformed input all calls fail.
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

// readOnce reads from the connection once and returns the bytes that precede any malformed one.
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

// nextDeadline returns the deadline of the next read: the time by which the current command must be complete or, after
// the first command, by which the next one must begin. The deadlines keep clients that send nothing, or only part of a
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

// interrupt makes the current read and all later ones fail with os.ErrDeadlineExceeded until clearInterrupt is called.
// It may be called from any goroutine.
func (g *inputGuard) interrupt() {
	g.interrupted.Store(true)
	g.setReadDeadline(longAgo)
}

// clearInterrupt makes later reads wait for input again after an interrupt.
func (g *inputGuard) clearInterrupt() { g.interrupted.Store(false) }

// wasInterrupted reports whether the read that has just timed out was interrupted before its own deadline.
func (g *inputGuard) wasInterrupted() bool { return time.Now().Before(g.readDeadline) }
