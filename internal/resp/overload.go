package resp

import (
	"bytes"
	"net"
	"runtime"
	"time"

	"junctionwharf/broker"
)

// maxCountLineBytes is the maximum number of bytes from the start of a command up to and including the dot of "BLK.". A
// command with more bytes up to this dot is always parsed before it is rejected.
const maxCountLineBytes = 16

// The bytes that precede the rest of a request's name, and its class, in a command that is not parsed.
var (
	blockCommandMark = []byte("\r\nBLK.")
	classOptionMark  = []byte("\r\n" + optionClass + "=")
)

// rejectOverload rejects a request without parsing or buffering it if too many requests wait for the broker's
// processor. Such a rejection costs a third of a rejection after parsing. rejectOverload reports whether the rejection
// was written. It does not reject the command if the broker is not overloaded, the command does not look like a
// request, or an earlier answer is pending.
func (c *client) rejectOverload(raw []byte) bool {
	if !c.server.loop.Overloaded() {
		return false
	}
	class, isRequest := classOf(raw)
	if !isRequest || !c.beginDirectReply() {
		return false
	}
	c.server.loop.RejectOverload(class)
	return c.writeDirectReply(c.server.limits.Load().busyLine, true)
}

// classOf returns the class of a request that is not parsed, or an empty string if its first bytes do not contain it.
// isRequest is false for a greeting and for malformed input.
func classOf(raw []byte) (class string, isRequest bool) {
	_, rest, found := bytes.Cut(raw, blockCommandMark)
	if !found || len(raw)-len(rest) > maxCountLineBytes {
		return "", false
	}
	if _, afterMark, found := bytes.Cut(rest, classOptionMark); found {
		name, _, _ := bytes.Cut(afterMark, []byte(","))
		class = string(name)
	}
	return class, true
}

// replyRejection answers a request that admission control rejected, and reports whether to read on. If no other answer
// is pending, the reader writes this answer itself, so that an overloaded broker need not wake the writer.
func (c *client) replyRejection(rejection *broker.Response) bool {
	text := encodeResponse(*rejection)
	if !c.beginDirectReply() {
		return c.pushReady(text, true)
	}
	return c.writeDirectReply(text[0], c.server.loop.SheddingLoad())
}

// beginDirectReply reports whether the reader may write an answer itself: no answer is pending and the writer has not
// ended. If it returns true, the caller must call writeDirectReply.
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

// writeDirectReply writes an answer in the reading goroutine, after beginDirectReply has returned true. It reports
// whether the answer was written.
func (c *client) writeDirectReply(line []byte, overloaded bool) bool {
	c.server.RequestReceived(c, overloaded)
	err := writeAll(c.socket, net.Buffers{line}) // an earlier write has left its deadline on the connection
	c.mu.Lock()
	c.writing = false
	c.directReply = false
	c.lastReplyAt = time.Now()
	c.mu.Unlock()
	runtime.Gosched() // a client that repeats rejected requests at full speed must not delay the others
	if c.server.Draining() {
		c.Wake() // the writer keeps the connection open while this answer is being written
	}
	return err == nil
}
