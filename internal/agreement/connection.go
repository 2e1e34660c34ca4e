package agreement

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedFrames is the maximum number of frames queued for a peer. Further frames are dropped. Their content is
	// sent again, except for operator calls and replies, whose callers time out. A larger queue would deliver stale
	// renewals and grants after a stall.
	maxQueuedFrames = 256
	// keepaliveInterval is the time between the keepalive frames of a connection.
	keepaliveInterval = time.Second
	// idleTimeout is the time without a frame after which a connection is closed. It spans several keepalives, so that
	// a short stall does not close the connection. A longer timeout would keep children attached for longer to a parent
	// that is cut off.
	idleTimeout = 4 * time.Second
	// writeTimeout is the time limit for writing a frame to a peer.
	writeTimeout = time.Second
)

// peer describes the broker at the other end of a connection, according to its handshake. A hello and a welcome contain
// different fields, so some are set only on connections that the peer dialed or only on those that this broker dialed.
type peer struct {
	name          string
	listenAddress string // on connections that the peer dialed; empty if other brokers cannot attach to the peer
	isVoter       bool   // on connections that the peer dialed
	raftID        uint64
	uninitialized bool
	path          []string // on connections that this broker dialed: brokers from a voter to the peer, both included
}

// connection is an established connection. A peer that stalls delays only its own connection. The reader runs on the
// goroutine that calls readLoop, and the writer on the goroutine that calls writeLoop. close ends both.
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

// send queues a frame, or drops it if the queue is full. It does not block.
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
	_ = c.conn.Close() // an error has no consequence: the connection has ended
}

// writeLoop writes queued frames and keepalives until the connection ends.
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
		_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // on a closed connection, the write fails, too
		n, err := writeFrame(c.conn, f)
		c.traffic.sentBytes.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// readLoop passes received frames to handle until a read or handle fails, closes the connection, and returns the error.
func (c *connection) readLoop(handle func(frame) error) error {
	defer c.close()
	for {
		_ = c.conn.SetReadDeadline(time.Now().Add(idleTimeout)) // on a closed connection, the read fails, too
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
