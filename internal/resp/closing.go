package resp

import (
	"net"
	"time"

	"junctionwharf/internal/clientconn"
	"junctionwharf/internal/pool"
)

// closeState is whether a connection is to end. A higher one replaces a lower one.
type closeState int

const (
	notClosing   closeState = iota
	closeIfIdle             // it is to end unless a request comes
	closeEvicted            // it is to end: its slot was given away
	closeDone               // the reader has ended it
)

const (
	// maxDiscardedBytes bounds what is read and discarded after the last command that counts. Lower, a reset could
	// overtake an error that follows a large value; higher, a client could keep the broker reading.
	maxDiscardedBytes = 16 << 20
	// lingerChecks is how many times the input of an ended connection is checked during inputGrace.
	lingerChecks = 10
)

// Evict implements clientconn.Connection.
func (c *client) Evict() bool { return c.requestClose(closeEvicted) }

// requestClose asks the connection to end unless an answer is owed or a request has come, and reports whether it
// will. It only wakes the goroutine that reads, since no other can tell that nothing has been read at this moment. A
// connection that has sent no request and is evicted is closed at once, since others wait for its slot.
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

// closeAsRequested ends the connection if it was asked to end and nothing has come. Only the goroutine that reads
// calls it; commandRead says that it has just read a command. It reports whether the connection has ended, and
// otherwise whether the reader goes on with its next read: the command, if there was one, was answered here.
//
// A request may cross the end. If it has been read, or stands unread, it is taken, or rejected where the slot
// belongs to another connection. Only a connection without input is closed, both ways at once: closed with unread
// input, the reset could overtake the answers before; closed one way first, a request that comes meanwhile would
// count as taken.
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
		c.input.interrupt() // to check again after this command
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

// writeBusy rejects the command that has been read. No answer is owed, so that the socket has room for a line; if it
// fails the next read does so, too.
func (c *client) writeBusy() {
	_ = writeAll(c.socket, net.Buffers{c.server.limits.Load().busyLine})
}

// closeIfDraining asks an idle connection to end if the table says so. The reader ends it, and wakes the writer then.
func (c *client) closeIfDraining() bool {
	c.mu.Lock()
	idle := len(c.pending) == 0 && !c.directReply
	awaitingFirst := c.awaitingFirst
	c.mu.Unlock() // the table calls its connections under its own lock
	return idle && c.server.ShouldClose(awaitingFirst) && c.requestClose(closeIfIdle)
}

// discardInput reads and discards what comes after the last command that counts: closing the connection with unread
// input would be a reset, which overtakes the answers. It returns when the connection ends, or past a bound. If the
// client ends its side while its requests wait, it has gone or waits for its answers only: these are given at once.
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

// linger waits, not for long, until the reader has discarded what came after a malformed command, so that the close is
// no reset. It ends as soon as that is done: a whole request that came on the open connection meanwhile would count as
// taken.
func (c *client) linger() {
	for end := time.Now().Add(inputGrace); !pool.IsQuiet(c.socket) && time.Now().Before(end); {
		time.Sleep(inputGrace / lingerChecks)
	}
}

// handleInputEnd follows the last read: unless the input was ended on purpose, the client has gone.
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

// cancelPending cancels in the loop the requests whose answers are owed here.
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
