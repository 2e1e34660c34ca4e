package resp

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"junctionwharf/internal/clientconn"
)

// maxPipeline is the maximum number of pending answers of one connection. At this number the reader waits before it
// queues another answer. With a larger value one client could fill the budget of buffered bytes. With a smaller value
// clients that pipeline would wait for round trips.
const maxPipeline = 64

// client is one client connection. Two goroutines, read and write, serve it. Either of them may end first.
type client struct {
	server *Server
	reader commandSource
	memory *requestMemory // of the command that is being read; used only by the reading goroutine
	input  *inputGuard
	socket net.Conn      // the raw connection, on which net.Buffers writes several buffers in one call
	wake   chan struct{} // makes the writer check for answers that are ready
	// idle receives a value when no answer is pending any longer, or the connection ends. It ends a wait for memory.
	idle chan struct{}
	// peerClosed is set when whileWatchingPeer finds that the client has disconnected.
	peerClosed atomic.Bool

	mu            sync.Mutex // guards the fields below; the table's lock is never acquired under it
	pending       []*pendingReply
	hasSpace      *sync.Cond // signaled when pending becomes shorter or released is set
	lastReplyAt   time.Time
	awaitingFirst bool       // accepted while the server drains, no command received yet
	hasRequest    bool       // a request was received
	writing       bool       // the writer or the reader is writing an answer
	directReply   bool       // the reader, not the writer, is writing an answer
	closeState    closeState // set by requestClose; the reader resets it or sets closeDone
	inputEnded    bool       // no further command is handled; pending answers are written unless gone is set
	halfClosed    bool       // the client has closed its sending side, and may have disconnected
	gone          bool       // the client has disconnected
	released      bool       // the writer has ended and released all pending replies
}

// pendingReply is an answer that is not written yet. client.pending contains the answers in the order of the commands.
type pendingReply struct {
	loopID          uint64   // the loop's ID of the request, 0 if none
	clientRequestID string   // the client's ID of the request, empty if none
	repeatable      bool     // the request may run twice
	command         *command // that was submitted, nil if none or once answered
	ready           bool
	rejection       bool           // admission control rejected the request
	last            bool           // the connection is closed after this answer is written
	memory          *requestMemory // nil for an answer to malformed input
	text            net.Buffers
	value           *stream // a long value that is written after text, nil if none
	// holdsID says that the request may have run, so that its ID is open until the answer is written.
	holdsID bool
}

func newClient(server *Server, input *inputGuard) *client {
	c := &client{
		server: server,
		input:  input,
		socket: input.Conn,
		wake:   make(chan struct{}, 1),
		idle:   make(chan struct{}, 1),
	}
	c.hasSpace = sync.NewCond(&c.mu)
	reader := newCommandReader(input)
	reader.reserve = func(size int) bool { return c.reserve(size, 0) }
	if server.loop != nil {
		reader.onCommand = c.rejectOverload
	}
	c.reader = reader
	// A drain does not close a connection that is handling a command. Such a connection checks for a drain again when
	// its reader begins to wait for the next command.
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

// signalIdle ends a wait of the reader for memory.
func (c *client) signalIdle() {
	select {
	case c.idle <- struct{}{}:
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

// recoverPanic recovers from a panic of the calling goroutine and closes the connection, so that the panic does not end
// the process. It must be deferred.
func (c *client) recoverPanic() {
	if cause := recover(); cause != nil {
		c.server.logger.Error("panic", "panic", cause)
		c.close()
	}
}

// close closes the socket. It ignores the error, since the reader and the writer detect the same failure.
func (c *client) close() { _ = c.socket.Close() }
