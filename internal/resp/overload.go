package resp

import (
	"bytes"
	"time"

	"junctionwharf/broker"
)

// maxCountLineBytes bounds the bytes between the begin of a command and the dot of BLK. in a command that is rejected
// unread.
const maxCountLineBytes = 16

// The bytes by which a request that is rejected unread shows its class.
var (
	blockCommandMark = []byte("\r\nBLK.")
	classOptionMark  = []byte("\r\n" + optionClass + "=")
)

// rejectOverload rejects a request as it came if too many requests wait for the broker's processor. It is neither
// parsed nor buffered, which costs a third of a rejection after its parsing. It reports whether it did.
func (c *client) rejectOverload(raw []byte) bool {
	if !c.server.loop.Overloaded() {
		return false
	}
	_, rest, found := bytes.Cut(raw, blockCommandMark)
	if !found || len(raw)-len(rest) > maxCountLineBytes {
		return false // a greeting, or something malformed
	}
	if !c.beginDirectReply() {
		return false
	}
	class := ""
	if _, afterMark, found := bytes.Cut(rest, classOptionMark); found {
		name, _, _ := bytes.Cut(afterMark, []byte(","))
		class = string(name)
	}
	c.server.loop.RejectOverload(class)
	return c.writeDirectReply(c.server.limits.Load().busyLine, true)
}

// replyRejection answers a request that admission control rejects. If no other answer is owed the reader writes it: a
// broker that has too much to do is spared the way through the writer. It reports whether to read on.
func (c *client) replyRejection(rejection *broker.Response) bool {
	text := encodeResponse(*rejection)
	if !c.beginDirectReply() {
		return c.push(&pendingReply{ready: true, rejection: true, text: text})
	}
	return c.writeDirectReply(text[0], c.server.loop.SheddingLoad())
}

// beginDirectReply reports whether no answer is owed, so that the reader may write one itself. Then it must do so, with
// writeDirectReply.
func (c *client) beginDirectReply() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owesReply() || c.released {
		return false
	}
	c.writing = true
	c.directReply = true
	c.awaitingFirst = false
	c.hasRequest = true
	return true
}

// writeDirectReply writes an answer from the reader and reports whether to read on.
func (c *client) writeDirectReply(line []byte, overloaded bool) bool {
	c.server.RequestReceived(c, overloaded)
	_, err := c.socket.Write(line)
	c.mu.Lock()
	c.writing = false
	c.directReply = false
	c.lastReplyAt = time.Now()
	c.mu.Unlock()
	if c.server.Draining() {
		c.Wake() // its last check met this answer under way
	}
	return err == nil
}
