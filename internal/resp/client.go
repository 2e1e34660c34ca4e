package resp

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"junctionwharf/internal/clientconn"
)

// maxPipeline bounds the requests of one connection that wait for answers; beyond it nothing is read. Higher, one
// client could fill the budget of buffered bytes; lower, clients that pipeline would wait for round trips.
const maxPipeline = 64

// commandReader reads commands from the input guard.
type commandReader interface {
	ReadCommand() (redcon.Command, error)
}

// client is one client connection. Its goroutines are read and write; either may end first.
type client struct {
	server *Server
	reader commandReader
	input  *inputGuard   // the connection as the reader sees it
	socket net.Conn      // the connection itself; a write to it gathers buffers, which one to a wrapper would not
	wake   chan struct{} // makes the writer look for answers
	// peerClosed is set when the client has gone, though its end of file is not read yet.
	peerClosed atomic.Bool

	mu            sync.Mutex // guards what follows; the table's lock is never taken under it
	pending       []*pendingReply
	hasSpace      *sync.Cond // signalled when pending becomes shorter, or released is set
	lastReplyAt   time.Time
	awaitingFirst bool       // it came while the server drains and has had no request
	hasRequest    bool       // a request came
	writing       bool       // an answer is being written
	directReply   bool       // by the reader
	closeState    closeState // set by whoever wants it to end, and when it has
	inputEnded    bool       // nothing more is read; what is owed is still written unless gone is set
	gone          bool       // the client has left
	released      bool       // the writer has ended and released all pending replies
}

// pendingReply is an answer that is owed. The replies of a connection stand in the order of the commands.
type pendingReply struct {
	loopID          uint64 // of the request in the loop, 0 for none
	clientRequestID string // the client's id for it, empty for none
	ready           bool
	rejection       bool // by admission control
	last            bool // the connection ends after it
	reserved        int  // bytes of the budget
	text            net.Buffers
	value           *stream // the value that follows text, nil for none
}

func newClient(server *Server, reader commandReader, input *inputGuard) *client {
	c := &client{
		server: server,
		reader: reader,
		input:  input,
		socket: input.Conn,
		wake:   make(chan struct{}, 1),
	}
	c.hasSpace = sync.NewCond(&c.mu)
	if server.loop != nil {
		input.onCommand = c.rejectOverload
	}
	// A connection that was taking a command when the drain began has not ended: it checks again once it waits.
	input.onWait = func() {
		if server.Draining() {
			c.Wake()
		}
	}
	return c
}

// Wake implements clientconn.Connection.
func (c *client) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// State implements clientconn.Connection.
func (c *client) State() (clientconn.State, time.Duration) {
	c.mu.Lock()
	owes := c.owesReply()
	lastReplyAt := c.lastReplyAt
	c.mu.Unlock()
	if owes {
		return clientconn.Busy, 0
	}
	switch c.input.phase.Load() {
	case waitingForCommand:
		return clientconn.Idle, time.Since(lastReplyAt)
	case insideCommand:
		return clientconn.PartialCommand, 0
	}
	return clientconn.Busy, 0
}

// waitsForReply reports whether the client waits for an answer or takes one.
func (c *client) waitsForReply() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owesReply()
}

// owesReply reports whether an answer is owed or being written; the caller holds c.mu.
func (c *client) owesReply() bool { return len(c.pending) > 0 || c.writing }

// recoverPanic ends the connection on which a panic was met: it must not end the process. It is deferred.
func (c *client) recoverPanic() {
	if cause := recover(); cause != nil {
		c.server.logger.Error("panic", "panic", cause)
		c.close()
	}
}

// close closes the socket. Its error is ignored: the reader and the writer meet the same fault.
func (c *client) close() { _ = c.socket.Close() }
