package pool

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net"
	"testing"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/logging"
)

// waitLimit is how long a test waits for an expected event before it fails.
const waitLimit = 5 * time.Second

// largeMessage is a message size in bytes that exceeds the socket buffers of a loopback connection, so a write blocks.
const largeMessage = 64 << 20

const (
	echoRequest = "line\n"
	echoAnswer  = "answer\n"
)

// testNode is a node that passes its accepted connections to the test.
type testNode struct {
	*testing.T
	address string
	conns   chan net.Conn
}

func newTestNode(t *testing.T) *testNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	node := &testNode{T: t, address: listener.Addr().String(), conns: make(chan net.Conn, 16)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			node.conns <- conn
		}
	}()
	return node
}

// accept returns the node's next connection.
func (n *testNode) accept() net.Conn {
	n.Helper()
	select {
	case conn := <-n.conns:
		n.Cleanup(func() { _ = conn.Close() })
		if err := conn.SetDeadline(time.Now().Add(waitLimit)); err != nil {
			n.Fatal(err)
		}
		return conn
	case <-time.After(waitLimit):
		n.Fatal("the node received no connection")
		return nil
	}
}

// write sends text on one of the node's connections.
func (n *testNode) write(conn net.Conn, text string) {
	n.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		n.Fatal(err)
	}
}

// expectRequest reads the request of echo.
func (n *testNode) expectRequest(conn net.Conn) {
	n.Helper()
	if line, err := bufio.NewReader(conn).ReadString('\n'); err != nil || line != echoRequest {
		n.Fatalf("read %q, error %v, want the request %q", line, err, echoRequest)
	}
}

// serve reads one request of echo and answers it.
func (n *testNode) serve(conn net.Conn) {
	n.Helper()
	n.expectRequest(conn)
	n.write(conn, echoAnswer)
}

// expectEnd checks that the pool closes a connection without sending any more bytes.
func (n *testNode) expectEnd(conn net.Conn) {
	n.Helper()
	if count, err := conn.Read(make([]byte, 1)); count > 0 || !errors.Is(err, io.EOF) {
		n.Errorf("read %d bytes, error %v, want 0 bytes and EOF", count, err)
	}
}

// echo sends a line in two parts and reads the answer line.
func echo(e *Exchange) (broker.Result, error) {
	if err := e.Send(net.Buffers{[]byte("li"), []byte("ne\n")}, len(echoRequest)); err != nil {
		return broker.Result{}, err
	}
	line, err := e.Reader.ReadString('\n')
	return broker.Result{Value: line}, err
}

// sendLarge returns an exchange that sends a message of largeMessage bytes, which blocks until the node reads it.
func sendLarge(executableAfter int) ExchangeFunc {
	message := make([]byte, largeMessage)
	return func(e *Exchange) (broker.Result, error) {
		return broker.Result{}, e.Send(net.Buffers{message}, executableAfter)
	}
}

// start starts an exchange and returns its handle and a channel that receives its results.
func start(p *Pool, address string, call ExchangeFunc) (broker.Handle, chan broker.Result) {
	results := make(chan broker.Result, 2)
	handle := p.Start(address, call, 0, nil, func(r broker.Result) { results <- r })
	return handle, results
}

// expectAnswer checks that an exchange of echo received its answer.
func expectAnswer(t *testing.T, results <-chan broker.Result) {
	t.Helper()
	if r := <-results; r.Err != nil || r.Value != echoAnswer {
		t.Fatalf("result %+v, want the answer %q", r, echoAnswer)
	}
}

// expectProgress checks that an exchange failed with the wanted progress, and that its error wraps a cause.
func expectProgress(t *testing.T, results <-chan broker.Result, want broker.Progress) {
	t.Helper()
	r := <-results
	var failed *broker.AttemptError
	if r.Err == nil || !errors.As(error(r.Err), &failed) || failed.Unwrap() == nil {
		t.Fatalf("result %+v, want an error that wraps its cause", r)
	}
	if failed.Progress != want {
		t.Errorf("progress %v (%v), want %v", failed.Progress, failed, want)
	}
}

func testOptions() Options {
	return Options{
		ConnectTimeout: 2 * time.Second,
		IdleTimeout:    time.Hour,
		MaxConnections: 2,
		Logger:         logging.Discard(),
	}
}

// newUnhedgedPool returns a pool that never hedges a dial. On a busy machine a dial can take longer than minHedgeDelay.
// With hedging, the second connection might then serve the attempt, and a test that waits for the request on the first
// one would time out.
func newUnhedgedPool(options Options) *Pool {
	p := New(options)
	p.dialTimes.hedgeTokens = math.Inf(-1)
	return p
}

// idleCount returns the number of idle connections to address.
func idleCount(p *Pool, address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address])
}

// expectNoSlots waits until no slot of the pool is in use.
func expectNoSlots(t *testing.T, p *Pool) {
	t.Helper()
	eventually(t, "no slot is in use", func() bool { return p.slots.InUse() == 0 })
}

// eventually waits until a condition is true.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}
