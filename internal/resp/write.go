package resp

import (
	"net"
	"time"
)

// batch is a sequence of answers that are written together. An answer with a stream, or the last answer of the
// connection, ends a batch.
type batch struct {
	text     net.Buffers
	reserved int     // bytes reserved in the budget
	value    *stream // a long value that is written after text, nil if none
	last     bool    // the connection is closed after this batch
	gone     bool    // the client has disconnected, so nothing is written
}

// write writes answers in the order of their commands until the connection ends. It runs in its own goroutine, which
// releases the connection's slot when it ends.
func (c *client) write() {
	defer c.server.Remove(c)
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
	for len(c.pending) > 0 && c.pending[0].ready && !next.last && next.value == nil {
		reply := c.pending[0]
		c.pending = c.pending[1:]
		next.text = append(next.text, reply.text...)
		next.reserved += reply.reserved
		next.last = reply.last
		next.value = reply.value
	}
	c.writing = len(next.text) > 0
	c.hasSpace.Signal()
	return next
}

// writeBatch writes the answers of a batch and reports whether more can be written.
func (c *client) writeBatch(next batch) bool {
	err := writeAll(c.socket, next.text)
	c.server.budget.Release(next.reserved)
	if next.value != nil {
		if err != nil {
			next.value.abandon()
		} else {
			err = next.value.passTo(c.socket)
		}
	}
	c.mu.Lock()
	c.writing = false
	c.lastReplyAt = time.Now()
	c.mu.Unlock()
	return err == nil
}

// release releases the connection's resources when its writer ends.
func (c *client) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.released = true
	for _, reply := range c.pending {
		c.server.budget.Release(reply.reserved)
		if reply.value != nil {
			reply.value.abandon()
		}
	}
	c.hasSpace.Signal()
}
