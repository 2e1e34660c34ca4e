package conformance

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/logging"
	"junctionwharf/internal/pool"
	"junctionwharf/internal/resp"
	"junctionwharf/scheduler"
)

// heldDials is a broker whose connections to its one node come up when the test says, and a node that counts the bytes
// it is sent. The test's cleanup ends the broker's loop, the listeners and whatever still waits for a connection.
type heldDials struct {
	*testing.T
	loop    *broker.Loop
	address string
	dialing chan struct{} // one for each connection that waits to come up
	allowed chan struct{} // closed to let them come up
	bytes   atomic.Int64  // that the node has read
	ended   chan struct{} // one for each connection that the node has seen the end of
}

// maxDials is more connections than a test here causes, so that no send to a channel of heldDials ever blocks.
const maxDials = 64

func newHeldDials(t *testing.T, bufferBytes int) *heldDials {
	t.Helper()
	h := &heldDials{
		T:       t,
		dialing: make(chan struct{}, maxDials),
		allowed: make(chan struct{}),
		ended:   make(chan struct{}, maxDials),
	}
	state, err := broker.NewState(settings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	nodes := pool.New(pool.Options{
		ConnectTimeout: 10 * time.Second,
		IdleTimeout:    30 * time.Second,
		MaxConnections: 64,
		Logger:         logging.Discard(),
		Handshake:      h.handshake,
	})
	h.loop = broker.NewLoop(state, broker.NewClock(), resp.NewTransport(nodes), broker.Dependencies{})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go h.loop.Run(ctx)
	t.Cleanup(h.allow)
	node := listen(t)
	go accept(node, h.countBytes)
	h.loop.Post(broker.NodesListed{
		Kind: scheduler.FullUpdate, Version: 1, Nodes: []broker.Node{nodeAt("n", node)},
	})
	listener := listen(t)
	h.address = listener.Addr().String()
	server := resp.NewServer(h.loop, resp.NewRequestLimits(settings(), 0), 64, 64, bufferBytes, logging.Discard())
	go func() { _ = server.Serve(listener) }()
	return h
}

// handshake holds a connection until the test allows connections.
func (h *heldDials) handshake(net.Conn, *bufio.Reader) error {
	h.dialing <- struct{}{}
	<-h.allowed
	return nil
}

// countBytes is the node.
func (h *heldDials) countBytes(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	n, _ := io.Copy(io.Discard, conn)
	h.bytes.Add(n)
	h.ended <- struct{}{}
}

// allow lets all connections come up, if it was not done yet.
func (h *heldDials) allow() {
	select {
	case <-h.allowed:
	default:
		close(h.allowed)
	}
}

// connect opens a client's connection.
func (h *heldDials) connect() *net.TCPConn {
	h.Helper()
	conn, err := net.Dial("tcp", h.address)
	if err != nil {
		h.Fatal(err)
	}
	h.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

// forwardedBytes lets the connections come up for the requests that were cancelled, of which one was taken from
// dialing, and returns the bytes that the node has read by the end of all. A request stops to count as open before its
// attempt is cancelled: a connection that came up between the two would rightly be kept for others and never end here.
// So the turn that heard of the last disconnect must be over.
func (h *heldDials) forwardedBytes() int64 {
	h.Helper()
	turnOver := make(chan struct{})
	h.loop.Do(func() { close(turnOver) })
	<-turnOver
	connections := 1 + len(h.dialing)
	h.allow()
	for range connections {
		select {
		case <-h.ended:
		case <-time.After(5 * time.Second):
			h.Fatal("a connection stays up for nobody")
		}
	}
	return h.bytes.Load()
}

// A burst of clients disconnects, by end of file and by reset, while the connections for their requests come up or the
// requests wait behind these. When the connections are up not one byte of any request is forwarded. The last line of
// the log is the count for the page of acceptance.
func TestRequestsOfDisconnectedClientsAreNotForwarded(t *testing.T) {
	for _, k := range []requestKind{read, write} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("class=%d,reset=%v", k, reset), func(t *testing.T) {
				disconnectBurst(t, k, reset)
			})
		}
	}
}

func disconnectBurst(t *testing.T, k requestKind, reset bool) {
	t.Helper()
	const clients = 20
	h := newHeldDials(t, 1<<20)
	var conns []*net.TCPConn
	for i := range clients {
		conn := h.connect()
		newRESPClient(conn).send(fmt.Sprint("l", i), k)
		conns = append(conns, conn)
	}
	eventually(t, "all are admitted", func() bool { return h.loop.OpenRequests() == clients })
	<-h.dialing
	for _, conn := range conns {
		if reset {
			_ = conn.SetLinger(0)
		}
		_ = conn.Close()
	}
	eventually(t, "all are cancelled", func() bool { return h.loop.OpenRequests() == 0 })
	if n := h.forwardedBytes(); n > 0 {
		t.Errorf("class %d, reset %v: %d bytes were forwarded", k, reset, n)
	}
	t.Logf("%d clients disconnected, %d bytes forwarded", clients, h.bytes.Load())
}

// A client disconnects whose next request waits for buffer space, so that nobody reads its end of file. What it asked
// for before is not forwarded either; nor does it wait for its deadline, or for buffer space.
func TestClientDisconnectsBehindFullBuffer(t *testing.T) {
	for _, k := range []requestKind{read, write} {
		t.Run(fmt.Sprintf("class=%d", k), func(t *testing.T) {
			h := newHeldDials(t, 350) // bytes: two requests fit, four are sent
			conn := h.connect()
			c := newRESPClient(conn)
			for i := range 4 {
				c.send(fmt.Sprint("l", i), k)
			}
			eventually(t, "the buffer is full", func() bool { return h.loop.OpenRequests() == 2 })
			<-h.dialing
			start := time.Now()
			_ = conn.Close()
			eventually(t, "its requests are cancelled", func() bool { return h.loop.OpenRequests() == 0 })
			if elapsed := time.Since(start); elapsed > deadlines[k]/2 {
				t.Errorf("class %d: its requests were open for %v", k, elapsed)
			}
			if n := h.forwardedBytes(); n > 0 {
				t.Errorf("class %d: %d bytes were forwarded", k, n)
			}
		})
	}
}
