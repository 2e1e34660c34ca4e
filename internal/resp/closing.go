package resp

import (
	"net"
	"time"

	"junctionwharf/internal/clientconn"
	"junctionwharf/internal/pool"
)

// closeState is the state of the close of a connection. A request for a higher state replaces a lower state.
type closeState int

const (
	notClosing   closeState = iota
	closeIfIdle             // the connection is to be closed unless a request arrives
	closeEvicted            // the connection is to be closed: its slot was given to another one
	closeDone               // the reader has closed the connection
)

const (
	// maxDiscardedBytes bounds the input that is read and discarded after the last command that is handled. With a
	// smaller value a reset could overtake an error that follows a large value. With a larger value a client could
	// keep the broker reading.
	maxDiscardedBytes = 16 << 20
	// lingerChecks is the number of times that linger checks a connection for input during inputGrace.
	lingerChecks = 10
)

// Evict implements clientconn.Connection.
func (c *client) Evict() bool { return c.requestClose(closeEvicted) }

// requestClose asks the reader to close the connection and reports whether the request was accepted. The request is
// refused if an answer is pending or a command has arrived. requestClose only wakes the reader, because no other
// goroutine knows whether input is being read at this moment. An evicted connection that has sent no request is closed
// at once, since other connections wait for its slot.
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

// closeAsRequested closes the connection if a close was requested and no command has arrived. Only the reading
// goroutine calls it. commandRead says whether this goroutine has just read a command. ended reports whether the
// connection is closed. Otherwise readOn reports whether the reader continues with the next read; a command that was
// read has then been answered here.
//
// A request may arrive while the connection is being closed. If the request has been read, or is unread in the socket,
// it is handled, or rejected if the slot belongs to another connection. A connection without input is closed in both
// directions at once. If a connection were closed with unread input, the reset could overtake earlier answers. If only
// the sending side were closed first, a request that arrives in between would count as accepted, but get no answer.
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
		c.input.interrupt() // check again after this command
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

// writeBusy rejects the command that has been read. No answer is pending, so the socket has room for one line. The
// error is ignored, since the next read fails too.
func (c *client) writeBusy() {
	_ = writeAll(c.socket, net.Buffers{c.server.limits.Load().busyLine})
}

// closeIfDraining requests the close of an idle connection if the table's ShouldClose returns true. The reader
// then closes the connection and wakes the writer.
func (c *client) closeIfDraining() bool {
	c.mu.Lock()
	idle := len(c.pending) == 0 && !c.directReply
	awaitingFirst := c.awaitingFirst
	c.mu.Unlock() // before ShouldClose: the table calls connections under its own lock
	return idle && c.server.ShouldClose(awaitingFirst) && c.requestClose(closeIfIdle)
}

// discardInput reads and discards the input after the last command that is handled. Closing the connection with unread
// input would reset it, and the reset could overtake the answers. discardInput returns when the connection ends or
// maxDiscardedBytes have been read. If the client closes its sending side while requests are pending, the client has
// disconnected or waits only for its answers, and the loop answers these requests at once.
func (c *client) discardInput() {
	if !clientconn.DiscardInput(c.socket, time.Time{}, maxDiscardedBytes) {
		return
	}
	c.mu.Lock()
	var waiting []uint64
	for _, reply := range c.pending {
		if !reply.ready && reply.loopID > 0 {
			waiting = append(waiting, reply.loopID)
		}
	}
	c.mu.Unlock()
	for _, id := range waiting {
		c.server.loop.ClientHalfClosed(id)
	}
}

// linger waits until the reader has discarded the input after a malformed command, at most for inputGrace, so that the
// close does not reset the connection. It returns as soon as the input is discarded: a whole request that arrived on
// the open connection in the meantime would count as accepted, but get no answer.
func (c *client) linger() {
	for end := time.Now().Add(inputGrace); !pool.IsQuiet(c.socket) && time.Now().Before(end); {
		time.Sleep(inputGrace / lingerChecks)
	}
}

// handleInputEnd is called after the last read. Unless the server itself ended the input, the client has disconnected.
func (c *client) handleInputEnd() {
	c.mu.Lock()
	gone := !c.inputEnded
	if gone {
		c.gone = true
	}
	c.mu.Unlock()
	if gone {
		c.close()
		c.cancelPending()
	}
	c.Wake()
}

// cancelPending cancels the connection's pending requests in the loop.
func (c *client) cancelPending() {
	c.mu.Lock()
	var cancelled []*pendingReply
	for _, reply := range c.pending {
		if !reply.ready && reply.loopID > 0 {
			cancelled = append(cancelled, reply)
		}
	}
	c.mu.Unlock()
	for _, reply := range cancelled {
		c.server.loop.Cancel(reply.loopID)
		c.server.ids.remove(reply.clientRequestID)
	}
}
