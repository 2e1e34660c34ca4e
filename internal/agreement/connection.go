package agreement

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedFrames bounds what waits for a peer. Beyond, frames are dropped: all that they say is said again. A
	// larger queue would deliver stale renewals and grants after a stall.
	maxQueuedFrames = 256
	// keepaliveInterval is how often a quiet connection shows that its end is alive.
	keepaliveInterval = time.Second
	// idleTimeout is how long a connection lives without a frame: a few lost keepalives. Longer would leave children
	// attached to a parent that is cut off.
	idleTimeout = 4 * time.Second
	// writeTimeout is how long a peer may take to accept a frame.
	writeTimeout = time.Second
)

// peer is what a connection's other end has said of itself.
type peer struct {
	name          string
	listenAddress string // empty if nobody can attach there
	isVoter       bool
	raftID        uint64
	uninitialized bool
	path          []string // the names from a voter to it, including it
}

// connection is an established connection. A peer that stalls costs this connection alone. Its reader runs on the
// goroutine that calls readLoop, its writer on the one that calls writeLoop; close ends both.
type connection struct {
	peer
	conn    net.Conn
	in      *bufio.Reader
	queue   chan frame
	ended   chan struct{}
	closed  atomic.Bool
	traffic *trafficCounters
}

func newConnection(conn net.Conn, in *bufio.Reader, p peer, traffic *trafficCounters) *connection {
	return &connection{
		peer:    p,
		conn:    conn,
		in:      in,
		queue:   make(chan frame, maxQueuedFrames),
		ended:   make(chan struct{}),
		traffic: traffic,
	}
}

// send queues a frame, or drops it if the queue is full. It never blocks.
func (c *connection) send(f frame) {
	select {
	case c.queue <- f:
	default:
		c.traffic.droppedFrames.Add(1)
	}
}

// close ends the connection. It may be called more than once, from any goroutine.
func (c *connection) close() {
	if c.closed.Swap(true) {
		return
	}
	close(c.ended)
	_ = c.conn.Close() // whatever is wrong with it, it is over
}

// writeLoop sends what is queued, and keepalives, until the connection ends.
func (c *connection) writeLoop() {
	defer c.close()
	keepalive := time.NewTicker(keepaliveInterval)
	defer keepalive.Stop()
	for {
		var f frame
		select {
		case <-c.ended:
			return
		case <-keepalive.C:
		case f = <-c.queue:
		}
		_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails on a closed connection, as the write will
		n, err := writeFrame(c.conn, f)
		c.traffic.sentBytes.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// readLoop hands on the frames that arrive until the connection ends, and returns why it did.
func (c *connection) readLoop(handle func(frame) error) error {
	defer c.close()
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(idleTimeout)) // fails on a closed connection, as the read will
		f, n, err := readFrame(c.in, maxFrameBytes)
		c.traffic.receivedBytes.Add(int64(n))
		if err == nil {
			err = handle(f)
		}
		if err != nil {
			return err
		}
	}
}
