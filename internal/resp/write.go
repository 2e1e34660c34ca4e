package resp

import (
	"net"
	"time"
)

// batch is a number of answers that are written together, up to one whose value is a stream or to the last.
type batch struct {
	text     net.Buffers
	reserved int     // bytes of the budget
	value    *stream // the value that follows text, nil for none
	last     bool    // the connection ends after it
	gone     bool    // the client has left, nothing is written
}

// write writes answers in the order of their commands until the connection ends. It runs in a goroutine of its own and
// gives back the connection's slot.
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

// takeBatch takes the answers that are ready and next in order.
func (c *client) takeBatch() (next batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone {
		return batch{gone: true}
	}
	if c.directReply { // by the reader, which takes no further command meanwhile
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

// writeBatch writes answers and reports whether more can be written.
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

// release gives back what the connection holds when its writer ends.
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
