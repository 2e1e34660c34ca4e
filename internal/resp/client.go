package resp

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"junctionwharf/internal/clientconn"
)

// maxPipeline is the maximum number of requests of one connection that wait for answers. At this number the server
// stops reading from the connection. With a larger value one client could fill the budget of buffered bytes. With a
// smaller value clients that pipeline would wait for round trips.
const maxPipeline = 64

// commandReader reads commands from the input guard.
type commandReader interface {
	ReadCommand() (redcon.Command, error)
}

// client is one client connection. It is served by the goroutines read and write, either of which may end first.
type client struct {
	server *Server
	reader commandReader
	input  *inputGuard   // the connection that redcon's reader reads
	socket net.Conn      // the raw connection, on which net.Buffers writes several buffers in one call
	wake   chan struct{} // makes the writer look for answers
	// peerClosed is set when the client has disconnected and its end of file has not been read yet.
	peerClosed atomic.Bool

	mu            sync.Mutex // guards the fields below; the table's lock is never acquired under it
	pending       []*pendingReply
	hasSpace      *sync.Cond // signaled when pending becomes shorter or released is set
	lastReplyAt   time.Time
	awaitingFirst bool       // accepted while the server drains, no command received yet
	hasRequest    bool       // a request was received
	writing       bool       // an answer is being written
	directReply   bool       // the reader is writing an answer
	closeState    closeState // set by requestClose; the reader resets it or sets closeDone
	inputEnded    bool       // no more input is read; pending answers are written unless gone is set
	gone          bool       // the client has disconnected
	released      bool       // the writer has ended and released all pending replies
}

// pendingReply is an answer that is not written yet. The replies of a connection are in the order of its commands.
type pendingReply struct {
	loopID          uint64 // the loop's ID of the request, 0 if none
	clientRequestID string // the client's ID of the request, empty if none
	ready           bool
	rejection       bool // admission control rejected the request
	last            bool // the connection is closed after this answer
	reserved        int  // bytes reserved in the budget
	text            net.Buffers
	value           *stream // a long value that is written after text, nil if none
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
	// A connection that is handling a command when a drain begins stays open. It checks again for a drain when the
	// reader begins to wait for the next command.
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

// waitsForReply reports whether an answer to the client is pending or being written.
func (c *client) waitsForReply() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owesReply()
}

// owesReply reports whether an answer is pending or being written. The caller must hold c.mu.
func (c *client) owesReply() bool { return len(c.pending) > 0 || c.writing }

// recoverPanic recovers from a panic and closes its connection, so that the panic does not end the process. It must be
// deferred.
func (c *client) recoverPanic() {
	if cause := recover(); cause != nil {
		c.server.logger.Error("panic", "panic", cause)
		c.close()
	}
}

// close closes the socket. The error is ignored, since the reader and the writer encounter the same failure.
func (c *client) close() { _ = c.socket.Close() }
