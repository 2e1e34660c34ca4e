package resp

import (
	"net"
	"time"

	"junctionwharf/internal/clientconn"
	"junctionwharf/internal/pool"
)

// closeState says whether and how the reader is to close a connection. requestClose only raises it. If the connection
// stays open, closeAsRequested resets it to notClosing.
type closeState int

const (
	notClosing   closeState = iota
	closeIfIdle             // the connection is to be closed unless input has arrived
	closeEvicted            // the connection is to be closed even if input arrives: another connection needs its slot
	closeDone               // the reader is closing or has closed the connection
)

const (
	// maxDiscardedBytes bounds the input that is discarded after a command of an evicted connection was rejected. With a
	// smaller limit, a reset could destroy that answer while a large request still arrives. With a larger limit, a client
	// could keep the broker reading for longer.
	maxDiscardedBytes = 16 << 20
	// lingerChecks is the maximum number of times that linger checks a connection for unread input within inputGrace.
	lingerChecks = 10
)

// Evict implements clientconn.Connection.
func (c *client) Evict() bool { return c.requestClose(closeEvicted) }

// requestClose asks the reader to close the connection and reports whether the reader will try to. It returns false if
//   - an answer is pending or being written,
//   - closeState is already state or higher, or the writer has ended,
//   - the reader is handling input, the socket has unread input, or the client has disconnected, or
//   - state is closeIfIdle and part of a command has been read.
//
// requestClose only interrupts the reader, because no other goroutine knows whether input is being read at this moment.
// There is one exception: it closes an evicted connection that has sent no request and no part of a command at once,
// since other connections wait for the slot.
func (c *client) requestClose(state closeState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owesReply() || c.closeState >= state || c.released {
		return false
	}
	phase := c.input.phase.Load()
	if phase == takingCommand || phase == insideCommand && state == closeIfIdle || !pool.IsQuiet(c.socket) {
		return false
	}
	c.closeState = state
	if state == closeEvicted && phase == waitingForCommand && !c.hasRequest {
		c.close()
	}
	c.input.interrupt()
	return true
}

// closeAsRequested carries out the close for which closeState is set, if any. Only the reading goroutine calls it,
// after it has read a command (commandRead is true) or after a read has timed out or was interrupted. There are three
// results:
//   - ended: the connection is closed, and the caller stops reading.
//   - readOn: the connection is evicted but has input. If a command was read, closeAsRequested has rejected it. The
//     caller handles nothing and reads again.
//   - Neither: closeState was not set, or it was reset because an answer is pending or, for closeIfIdle, because input
//     has arrived. The caller handles the command or the timeout as usual.
//
// Input may arrive while the connection is being closed. If the connection were closed with unread input, it would be
// reset, and the reset could destroy earlier answers. A connection without input is closed in both directions at once:
// if only the sending side were closed first, the kernel could receive another request that would get no answer. If
// part of a command has been read, that command is rejected first. Then the sending side is closed, and the rest of the
// command is discarded.
func (c *client) closeAsRequested(commandRead bool) (ended, readOn bool) {
	c.mu.Lock()
	state := c.closeState
	partial := c.input.phase.Load() == insideCommand && !commandRead
	switch {
	case state == notClosing:
		c.mu.Unlock()
		return false, false
	case c.owesReply() || state == closeIfIdle && (commandRead || partial || !pool.IsQuiet(c.socket)):
		c.closeState = notClosing
		c.input.clearInterrupt()
		c.mu.Unlock()
		return false, false
	case commandRead:
		c.releaseMemory()
		c.input.interrupt() // makes the next read end, so that the caller calls closeAsRequested again
		c.mu.Unlock()
		c.writeBusy()
		return false, true
	case !pool.IsQuiet(c.socket):
		c.input.clearInterrupt()
		c.mu.Unlock()
		return false, true
	}
	c.closeState = closeDone
	c.mu.Unlock()
	if partial {
		c.writeBusy()
		clientconn.CloseWrite(c.socket)
		clientconn.DiscardInput(c.socket, time.Now().Add(inputGrace), maxDiscardedBytes)
	}
	c.close()
	return true, false
}

// writeBusy rejects a command that has been read completely or in part. No answer is pending, so the socket has room
// for one line. The error is ignored, since the connection ends anyway if it cannot be written to.
func (c *client) writeBusy() {
	_ = writeAll(c.socket, net.Buffers{c.server.limits.Load().busyLine})
}

// closeIfDraining asks the reader to close the connection if it is idle and clientconn.Table.ShouldClose returns true.
// It returns the result of requestClose. The reader then closes the connection and wakes the writer.
func (c *client) closeIfDraining() bool {
	c.mu.Lock()
	idle := len(c.pending) == 0 && !c.directReply
	awaitingFirst := c.awaitingFirst
	c.mu.Unlock() // before ShouldClose: clientconn.Table holds its lock when it calls State, which locks mu
	return idle && c.server.ShouldClose(awaitingFirst) && c.requestClose(closeIfIdle)
}

// linger waits until the socket has no unread input, at most for inputGrace, so that the close after a malformed
// command does not reset the connection. Meanwhile the reader discards input. linger does not wait longer than
// necessary: a whole request that arrived on the open connection would be discarded without an answer.
func (c *client) linger() {
	for end := time.Now().Add(inputGrace); !pool.IsQuiet(c.socket) && time.Now().Before(end); {
		time.Sleep(inputGrace / lingerChecks)
	}
}
