package pool

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"testing"

	"junctionwharf/broker"
	"junctionwharf/internal/logging"
)

// In each subtest an exchange fails at another point. Its error must report the progress, since the node can have
// executed only a fully written request. All subtests share a pool of two connections. If two failed exchanges kept
// their slots, the third would wait forever.
func TestErrorReportsProgress(t *testing.T) {
	p := newUnhedgedPool(testOptions())
	t.Run("not connected", func(t *testing.T) {
		unused, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		_ = unused.Close()
		_, results := start(p, unused.Addr().String(), echo)
		expectProgress(t, results, broker.NotConnected)
		expectNoSlots(t, p)
	})
	t.Run("answer lost", func(t *testing.T) {
		node := newTestNode(t)
		_, results := start(p, node.address, echo)
		conn := node.accept()
		node.expectRequest(conn)
		_ = conn.Close()
		expectProgress(t, results, broker.FullyWritten)
		expectNoSlots(t, p)
	})
	t.Run("before the message that the node executes", func(t *testing.T) {
		node := newTestNode(t)
		_, results := start(p, node.address, func(e *Exchange) (broker.Result, error) {
			if err := e.Send(net.Buffers{[]byte(echoRequest)}, 0); err != nil {
				return broker.Result{}, err
			}
			_, err := e.Reader.ReadString('\n')
			return broker.Result{}, err
		})
		conn := node.accept()
		node.expectRequest(conn)
		_ = conn.Close()
		expectProgress(t, results, broker.PartiallyWritten)
		expectNoSlots(t, p)
	})
}

// When Stop returns, the exchange must have stopped sending. Stop must return the progress, and no result may follow.
func TestStopEndsSending(t *testing.T) {
	node := newTestNode(t)
	p := newUnhedgedPool(testOptions())
	handle, results := start(p, node.address, echo)
	conn := node.accept()
	node.expectRequest(conn)
	if progress := handle.Stop(); progress != broker.FullyWritten {
		t.Errorf("Stop returned progress %v, want %v", progress, broker.FullyWritten)
	}
	node.expectEnd(conn)
	for executableAfter, want := range map[int]broker.Progress{
		largeMessage: broker.PartiallyWritten,
		0:            broker.PartiallyWritten,
		1:            broker.FullyWritten,
	} {
		handle, _ = start(p, node.address, sendLarge(executableAfter))
		node.expectBytes(node.accept(), 1)
		if progress := handle.Stop(); progress != want {
			t.Errorf("Stop during a write (executable after %d bytes): %v, want %v", executableAfter, progress, want)
		}
	}
	select {
	case r := <-results:
		t.Errorf("received a result after Stop: %+v", r)
	default:
	}
}

// expectBytes reads count bytes of a message.
func (n *testNode) expectBytes(conn net.Conn, count int) {
	n.Helper()
	if _, err := io.ReadFull(conn, make([]byte, count)); err != nil {
		n.Fatal(err)
	}
}

// After StopSending, an exchange must still receive the answer to a fully written message, but must not be able to send
// another message.
func TestStopSendingKeepsTheAnswer(t *testing.T) {
	node := newTestNode(t)
	p := newUnhedgedPool(testOptions())
	handle, results := start(p, node.address, func(e *Exchange) (broker.Result, error) {
		r, err := echo(e)
		if err == nil && !errors.Is(e.Send(net.Buffers{[]byte("more\n")}, 0), errSendingStopped) {
			t.Error("a message was sent after StopSending")
		}
		return r, err
	})
	conn := node.accept()
	node.expectRequest(conn)
	handle.StopSending()
	node.write(conn, echoAnswer)
	if r := <-results; r.Err != nil {
		t.Errorf("result %+v, want the answer of the node", r)
	}
	node.expectEnd(conn)
}

// StopSending must not abort a write in progress, since the node may already have received the whole message.
func TestStopSendingDuringWrite(t *testing.T) {
	node := newTestNode(t)
	p := newUnhedgedPool(testOptions())
	large := sendLarge(largeMessage)
	handle, results := start(p, node.address, func(e *Exchange) (broker.Result, error) {
		if _, err := large(e); err != nil {
			return broker.Result{}, err
		}
		line, err := e.Reader.ReadString('\n')
		return broker.Result{Value: line}, err
	})
	conn := node.accept()
	node.expectBytes(conn, 1)
	handle.StopSending()
	node.expectBytes(conn, largeMessage-1)
	node.write(conn, echoAnswer)
	expectAnswer(t, results)
}

// The client of an attempt has disconnected. The request must not be sent if it is unsent, and must be cut off if it is
// being sent. If it is fully written, the answer must still be received. All subtests share a pool of two connections,
// which must stay usable.
func TestCancelUnlessWritten(t *testing.T) {
	options := testOptions()
	connected := make(chan struct{})
	passHandshakes := sync.OnceFunc(func() { close(connected) })
	options.Handshake = func(net.Conn, *bufio.Reader) error {
		<-connected
		return nil
	}
	p := newUnhedgedPool(options)
	t.Run("while dialing", func(t *testing.T) {
		cancelWhileDialing(t, p, passHandshakes)
		expectNoSlots(t, p)
	})
	t.Run("during a write", func(t *testing.T) {
		passHandshakes()
		cancelDuringWrite(t, p)
		expectNoSlots(t, p)
	})
	t.Run("fully written", func(t *testing.T) {
		passHandshakes()
		cancelWhenWritten(t, p)
	})
}

func cancelWhileDialing(t *testing.T, p *Pool, passHandshakes func()) {
	t.Helper()
	node := newTestNode(t)
	handle, results := start(p, node.address, echo)
	conn := node.accept()
	handle.CancelUnlessWritten()
	passHandshakes()
	expectProgress(t, results, broker.NotConnected)
	node.expectEnd(conn)
}

func cancelDuringWrite(t *testing.T, p *Pool) {
	t.Helper()
	node := newTestNode(t)
	handle, results := start(p, node.address, sendLarge(largeMessage))
	conn := node.accept()
	node.expectBytes(conn, 1)
	handle.CancelUnlessWritten()
	expectProgress(t, results, broker.PartiallyWritten)
	if count, err := io.Copy(io.Discard, conn); count >= largeMessage-1 {
		t.Errorf("the node received the whole message, want only a part (read error %v)", err)
	}
}

func cancelWhenWritten(t *testing.T, p *Pool) {
	t.Helper()
	node := newTestNode(t)
	results := make(chan broker.Result, 1)
	written := make(chan struct{}) // the node may have the whole message before the pool has recorded the write
	handle := p.Start(node.address, echo, 0, func() { close(written) }, func(r broker.Result) { results <- r })
	conn := node.accept()
	node.expectRequest(conn)
	<-written
	handle.(*Exchange).currentProgress() // waits until the pool has recorded the progress
	handle.CancelUnlessWritten()
	node.write(conn, echoAnswer)
	expectAnswer(t, results)
}

// A panic in an exchange must end only its own attempt. The error must report that the request was fully written, since
// the node may have executed it.
func TestPanicEndsOneExchange(t *testing.T) {
	options := testOptions()
	lines := make(chan string, 1)
	options.Logger = logging.ToFunc(func(line string) { lines <- line })
	node := newTestNode(t)
	p := newUnhedgedPool(options)
	_, results := start(p, node.address, func(e *Exchange) (broker.Result, error) {
		if err := e.Send(net.Buffers{[]byte(echoRequest)}, len(echoRequest)); err != nil {
			return broker.Result{}, err
		}
		panic("fault")
	})
	expectProgress(t, results, broker.FullyWritten)
	if line := <-lines; line != "panic front=nodes panic=fault" {
		t.Errorf("logged %q, want the panic of the exchange", line)
	}
	if p.slots.InUse() != 0 {
		t.Error("the exchange that panicked still has its slot")
	}
}
