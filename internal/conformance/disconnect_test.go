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

// heldDials is a broker whose connections to its only node are completed when the test allows it. The node counts the
// bytes that it receives. The test's cleanup ends the broker's loop, the listeners and all waits for a connection.
type heldDials struct {
	*testing.T
	loop    *broker.Loop
	address string
	dialing chan struct{} // receives one value for each connection that waits to be completed
	allowed chan struct{} // closed to complete all connections
	bytes   atomic.Int64  // received by the node
	ended   chan struct{} // receives one value for each connection whose end the node has seen
}

// maxDials is larger than the number of connections in any test, so that no send to a channel of heldDials blocks.
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

// handshake blocks until the test allows connections.
func (h *heldDials) handshake(net.Conn, *bufio.Reader) error {
	h.dialing <- struct{}{}
	<-h.allowed
	return nil
}

// countBytes is the node. It counts the bytes of a connection.
func (h *heldDials) countBytes(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	n, _ := io.Copy(io.Discard, conn)
	h.bytes.Add(n)
	h.ended <- struct{}{}
}

// allow completes all connections. It may be called more than once.
func (h *heldDials) allow() {
	select {
	case <-h.allowed:
	default:
		close(h.allowed)
	}
}

// connect opens a client connection.
func (h *heldDials) connect() *net.TCPConn {
	h.Helper()
	conn, err := net.Dial("tcp", h.address)
	if err != nil {
		h.Fatal(err)
	}
	h.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

// forwardedBytes completes the connections for the cancelled requests and returns the number of bytes that the node has
// received when all connections have ended. The caller has received one value from dialing.
//
// The loop removes a request shortly before it cancels the attempt. A connection that is completed between these two
// events is correctly kept for other requests and would not end during the test. So forwardedBytes first waits for the
// end of the loop's turn that handles the last disconnect.
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
			h.Fatal("a connection to the node stays open although all requests were cancelled")
		}
	}
	return h.bytes.Load()
}

// Clients disconnect in a burst, by an end of file or a reset, while the node connections for their requests are
// incomplete or their requests wait for such connections. When these connections are completed, no byte of a request
// may be forwarded. The last log line gives the count for docs/acceptance.md.
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
	eventually(t, "all requests are admitted", func() bool { return h.loop.OpenRequests() == clients })
	<-h.dialing
	for _, conn := range conns {
		if reset {
			_ = conn.SetLinger(0)
		}
		_ = conn.Close()
	}
	eventually(t, "all requests are cancelled", func() bool { return h.loop.OpenRequests() == 0 })
	if n := h.forwardedBytes(); n > 0 {
		t.Errorf("class %d, reset %v: %d bytes were forwarded, want 0", k, reset, n)
	}
	t.Logf("%d clients disconnected, %d bytes forwarded", clients, h.bytes.Load())
}

// A client disconnects while its next request waits for buffer space, so that the end of file of its connection is not
// read. Its earlier requests must not be forwarded, and they must be cancelled before their deadline, even if
// no buffer space becomes free.
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
			eventually(t, "the client's requests are cancelled", func() bool { return h.loop.OpenRequests() == 0 })
			if elapsed := time.Since(start); elapsed > deadlines[k]/2 {
				t.Errorf("class %d: requests stayed open for %v after the client disconnected", k, elapsed)
			}
			if n := h.forwardedBytes(); n > 0 {
				t.Errorf("class %d: %d bytes were forwarded, want 0", k, n)
			}
		})
	}
}
