package resp

import (
	"net"
	"time"

	"junctionwharf/internal/pool"
)

// maxBatchBytes is the size in bytes at which a batch takes no further answers. The memory of all answers in a batch is
// released together, so with a larger value, clients that read slowly would occupy memory for longer. With a smaller
// value, short answers would need more system calls.
const maxBatchBytes = maxValueBytes

// batch is a sequence of answers that are written together. An answer with a stream, or the last answer of the
// connection, ends a batch.
type batch struct {
	replies []*pendingReply
	text    net.Buffers
	size    int     // bytes of text
	value   *stream // a long value that is written after text, nil if none
	last    bool    // the connection is closed after this batch
	gone    bool    // the client has disconnected, so nothing is written
}

// add adds an answer to the batch.
func (b *batch) add(reply *pendingReply) {
	b.replies = append(b.replies, reply)
	b.text = append(b.text, reply.text...)
	b.size += pool.MessageSize(reply.text)
	b.value = reply.value
	b.last = reply.last
}

// full reports whether the batch takes no further answers.
func (b *batch) full() bool { return b.last || b.value != nil || b.size >= maxBatchBytes }

// write writes answers in the order of their commands until the connection ends. It runs in its own goroutine, which
// releases the connection's slot when it ends.
func (c *client) write() {
	defer c.server.Remove(c)
	defer c.cancelPending() // no answer can be written any more
	defer c.release()
	defer c.close()
	defer c.recoverPanic()
	for range c.wake {
		for {
			next := c.takeBatch()
			if next.gone {
				return
			}
			if len(next.text) == 0 {
				break
			}
			if !c.writeBatch(next) {
				return
			}
			if next.last {
				c.linger()
				return
			}
		}
		c.closeIfDraining()
	}
}

// takeBatch removes the answers that can be written next from pending and returns them. The batch is empty if the first
// pending answer is not ready or the reader is writing an answer.
func (c *client) takeBatch() (next batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone {
		return batch{gone: true}
	}
	if c.directReply { // the reader handles no further command until its answer is written
		return batch{}
	}
	for len(c.pending) > 0 && c.pending[0].ready && !next.full() {
		next.add(c.pending[0])
		c.pending[0] = nil // the array behind the slice must not keep the answer
		c.pending = c.pending[1:]
	}
	c.writing = len(next.text) > 0
	c.hasSpace.Signal()
	return next
}

// writeBatch writes the answers of a batch and reports whether more can be written.
func (c *client) writeBatch(next batch) bool {
	defer next.release()
	c.endIDs(next.replies, false)
	err := writeAll(c.socket, next.text)
	if next.value != nil {
		if err != nil {
			next.value.abandon()
		} else {
			err = next.value.passTo(c.socket)
		}
	}
	switch {
	case err != nil:
		c.server.abandonIDs(next.replies)
	case next.value != nil:
		c.endIDs(next.replies, true)
	}
	c.mu.Lock()
	c.writing = false
	c.lastReplyAt = time.Now()
	if !c.owesReply() {
		c.signalIdle()
	}
	c.mu.Unlock()
	return err == nil
}

// endIDs makes the IDs of requests available again whose answers are written, unless the client may have disconnected.
// It considers either the answers with a stream or the buffered ones. For the latter it is called just before the
// write, since a client may send the ID again as soon as it has the answer.
func (c *client) endIDs(replies []*pendingReply, streams bool) {
	c.mu.Lock()
	halfClosed := c.halfClosed
	c.mu.Unlock()
	for _, reply := range replies {
		switch {
		case !reply.holdsID || (reply.value != nil) != streams:
		case halfClosed:
			c.server.ids.abandon(reply.clientRequestID, reply.repeatable)
		default:
			c.server.ids.end(reply.clientRequestID)
		}
	}
}

// abandonIDs refuses the IDs of requests that may have run and whose answers could not be written.
func (s *Server) abandonIDs(replies []*pendingReply) {
	for _, reply := range replies {
		if reply.holdsID {
			s.ids.abandon(reply.clientRequestID, reply.repeatable)
		}
	}
}

// release releases the memory of the answers.
func (b *batch) release() {
	for _, reply := range b.replies {
		reply.endMemory()
	}
}

// release releases the connection's resources when its writer ends.
func (c *client) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.released = true
	c.server.abandonIDs(c.pending)
	for _, reply := range c.pending {
		reply.endMemory()
		if reply.value != nil {
			reply.value.abandon()
		}
	}
	c.hasSpace.Signal()
	c.signalIdle()
}
