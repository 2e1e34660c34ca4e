package resp

import (
	"errors"
	"io"
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

// inputGuard is a client connection whose reads have deadlines: it limits the time that a client may take to send a
// command. redcon reads only takeOverCommand from it; commandReader reads the client's input. Only the reading
// goroutine uses the fields other than Conn, generations, phase and interrupted.
type inputGuard struct {
	net.Conn

	// onWait is called when the guard begins to wait for a command. It may be nil.
	onWait func()

	detached        bool      // Read has returned takeOverCommand
	commandReceived bool      // a complete command was received
	commandDeadline time.Time // when the current command must be complete, zero for none
	readDeadline    time.Time // when the current read times out

	// generations records which input came under which limits.
	generations clientconn.InputGenerations[*RequestLimits]
	received    int64 // bytes of input that were read

	phase       atomic.Int32 // a readPhase
	interrupted atomic.Bool  // reads must fail at once, until clearInterrupt is called
}

// Read implements net.Conn for redcon. The first call returns takeOverCommand, and all later calls fail.
func (g *inputGuard) Read(p []byte) (int, error) {
	if g.detached {
		return 0, io.EOF
	}
	g.detached = true
	return copy(p, takeOverCommand), nil
}

// read reads input once. inside says whether part of the current command has been received.
func (g *inputGuard) read(p []byte, inside bool) (int, error) {
	g.startWaiting(inside)
	n, err := g.Conn.Read(p)
	if n > 0 {
		g.received = g.generations.Received(n)
		g.phase.Store(takingCommand)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && inside && !g.wasInterrupted() {
		err = errSlowCommand
	}
	return n, err
}

// startWaiting sets the deadline and the phase of the next read.
func (g *inputGuard) startWaiting(inside bool) {
	g.readDeadline = g.nextDeadline(time.Now(), inside)
	g.setReadDeadline(g.readDeadline)
	if g.interrupted.Load() { // the line above may have overwritten an interrupt's deadline
		g.setReadDeadline(longAgo)
	}
	if inside {
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
func (g *inputGuard) nextDeadline(now time.Time, inside bool) time.Time {
	switch {
	case !inside && g.commandReceived:
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

// extendDeadline gives the client more time to send the current command, since the server did not read for this time.
func (g *inputGuard) extendDeadline(notRead time.Duration) {
	if !g.commandDeadline.IsZero() {
		g.commandDeadline = g.commandDeadline.Add(notRead)
	}
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
