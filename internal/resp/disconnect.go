package resp

import (
	"time"

	"junctionwharf/internal/clientconn"
)

// discardInput reads and discards the input after the last command that is handled, until the connection ends. Closing
// the connection with unread input would reset it, and the reset could destroy the answers. If the client closes its
// sending side while requests are pending, the client may have disconnected or may only wait for its answers. Both look
// the same, so discardInput notifies the broker's loop, which answers these requests at once (see
// broker.Loop.ClientHalfClosed).
func (c *client) discardInput() {
	if !c.server.inputDrain.UntilPeerCloses(c.socket) {
		return
	}
	c.mu.Lock()
	c.halfClosed = true
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

// handleInputEnd is called after the last read. It closes the connection and cancels the pending requests, unless
// inputEnded is set. In that case the client may still be connected, and the writer writes the pending answers.
func (c *client) handleInputEnd() {
	c.releaseMemory()
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

// whileWatchingPeer runs wait, which blocks the reader. If the client disconnects in the meantime, whileWatchingPeer
// closes the connection and cancels its requests: they would otherwise be forwarded although no client waits for them.
// The wait does not count against the time that the client has for the command that it is sending.
func (c *client) whileWatchingPeer(wait func()) {
	began := time.Now()
	defer func() { c.input.extendDeadline(time.Since(began)) }()
	clientconn.WhileWatchingPeer(c.socket, wait, c.handlePeerClosed)
}

// handlePeerClosed closes the connection of a client that has disconnected, cancels its requests and ends the wait of
// its reader.
func (c *client) handlePeerClosed() {
	c.peerClosed.Store(true)
	c.mu.Lock()
	c.gone = true
	c.mu.Unlock()
	c.close()
	c.Wake() // the writer ends and wakes a reader that waits for space in pending
	c.signalIdle()
	c.cancelPending()
}

// cancelPending cancels the connection's requests that have no answer yet. Once the loop has handled the cancellation,
// the IDs of requests that were sent to a node are refused for a while, and the others are available again.
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
		c.server.ids.leave(reply.clientRequestID)
	}
	if len(cancelled) > 0 {
		c.server.loop.Do(func() { c.server.settleIDs(cancelled) })
	}
}

// settleIDs ends or abandons the IDs of cancelled requests. The loop's goroutine calls it. A request that was answered
// before its cancellation has no command any more, and its ID was treated like that of any answer.
func (s *Server) settleIDs(cancelled []*pendingReply) {
	for _, reply := range cancelled {
		switch sent := reply.command; {
		case sent == nil:
		case sent.forwarded:
			s.ids.abandon(reply.clientRequestID, reply.repeatable)
		default:
			s.ids.end(reply.clientRequestID)
		}
	}
}
