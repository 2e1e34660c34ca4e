package resp

import (
	"errors"
	"net"
	"os"

	"github.com/tidwall/redcon"

	"junctionwharf/internal/pool"
)

// read reads and handles commands until the connection ends. It runs in its own goroutine.
func (c *client) read() {
	defer c.handleInputEnd()
	defer c.recoverPanic()
	for {
		cmd, err := c.reader.ReadCommand()
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		received := err == nil || errors.Is(err, errNoMemory)
		if received || timedOut {
			ended, readOn := c.closeAsRequested(received)
			if ended {
				return
			}
			if readOn {
				continue
			}
		}
		switch {
		case timedOut && c.mayBeSilent():
		case errors.Is(err, errProtocol) || errors.Is(err, errSlowCommand):
			c.failMalformed(err)
			c.discardInput()
			return
		case !received:
			return
		case !c.handle(cmd, err):
			c.discardInput()
			return
		}
	}
}

// handle handles one command that was received, of which err is nil or errNoMemory, and reports whether to read the
// next one.
func (c *client) handle(cmd redcon.Command, err error) (readOn bool) {
	defer c.input.commandDone()
	defer c.releaseMemory()
	if err != nil {
		return c.rejectWithoutMemory(cmd.Raw)
	}
	return c.take(cmd)
}

// mayBeSilent reports whether a connection stays open after a read timed out. It stays open if its client waits for an
// answer, if the read was interrupted and closeAsRequested did not close the connection, or if the socket has unread
// input. mayBeSilent also returns true if the client has disconnected: the next read then fails.
func (c *client) mayBeSilent() bool {
	return c.waitsForReply() || c.input.wasInterrupted() || !pool.IsQuiet(c.socket)
}

// failMalformed answers input that is not a sequence of commands with an error. The connection is closed after this
// answer, since the start of the next command is not known.
func (c *client) failMalformed(err error) {
	c.server.malformed.record(err)
	c.mu.Lock()
	c.inputEnded = true
	c.mu.Unlock()
	c.push(&pendingReply{ready: true, last: true, text: net.Buffers{errorLine(err)}})
}
