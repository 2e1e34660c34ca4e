package pool

import (
	"bufio"
	"context"
	"errors"
	"net"
	"runtime"
	"testing"
	"time"

	"junctionwharf/broker"
)

// handshakeByNode makes each handshake wait for a byte from the node (see welcome). The test thereby decides which of
// several connections is established first, independently of goroutine scheduling.
func handshakeByNode(options *Options) {
	options.Handshake = func(_ net.Conn, reader *bufio.Reader) error {
		_, err := reader.ReadByte()
		return err
	}
}

// welcome completes the handshake of a connection to a pool with handshakeByNode.
func (n *testNode) welcome(conn net.Conn) {
	n.Helper()
	n.write(conn, "\x00")
}

// expectIdle waits until the wanted number of connections is idle.
func expectIdle(t *testing.T, p *Pool, address string, want int) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); ; time.Sleep(time.Millisecond) {
		idle := idleCount(p, address)
		if idle == want {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d connections are idle, want %d", idle, want)
		}
	}
}

// The connection of the first dial attempt is late. The hedge must serve the attempt, and the late connection must be
// kept and serve the next attempt.
func TestHedgeServesWhereTheFirstDialIsLate(t *testing.T) {
	options := testOptions()
	handshakeByNode(&options)
	node := newTestNode(t)
	p := New(options)
	_, results := start(p, node.address, echo)
	first := node.accept()
	second := node.accept()
	node.welcome(second)
	node.serve(second)
	expectAnswer(t, results)
	node.welcome(first)
	expectIdle(t, p, node.address, 2)
	_, results = start(p, node.address, echo)
	node.serve(first) // became idle last, so it is reused first
	if r := <-results; r.Err != nil {
		t.Error(r.Err)
	}
	if p.slots.InUse() != 2 {
		t.Errorf("%d slots are in use, want 2", p.slots.InUse())
	}
}

// While the two dial attempts of an attempt are late, another attempt returns its connection to the pool. That
// connection must serve the waiting attempt, and the late connections must be kept.
func TestReturnedConnectionServesWhileDialing(t *testing.T) {
	options := testOptions()
	options.MaxConnections = 3
	handshakeByNode(&options)
	node := newTestNode(t)
	p := New(options)
	p.dialTimes.hedgeTokens = 0 // the first attempt must not be hedged, which could happen on a busy machine
	_, firstResults := start(p, node.address, echo)
	conn := node.accept()
	node.welcome(conn)
	node.expectRequest(conn) // the first attempt has its connection and is no longer hedged
	p.mu.Lock()
	p.dialTimes.hedgeTokens = maxHedgeTokens
	p.mu.Unlock()
	_, secondResults := start(p, node.address, echo)
	late := []net.Conn{node.accept(), node.accept()}
	node.write(conn, echoAnswer)
	node.serve(conn) // the request of the second attempt
	for _, results := range []chan broker.Result{firstResults, secondResults} {
		if r := <-results; r.Err != nil || r.Value != echoAnswer {
			t.Errorf("result %+v, want the answer of the node", r)
		}
	}
	for _, conn := range late {
		node.welcome(conn)
	}
	expectIdle(t, p, node.address, 3)
	if p.slots.InUse() != 3 {
		t.Errorf("%d slots are in use, want 3", p.slots.InUse())
	}
}

// If no connection is established, there may be at most one hedge per two dials. After the attempts have ended, the
// pool must keep no notification channel for their address.
func TestHedgesAreBounded(t *testing.T) {
	const attempts = 20
	options := testOptions()
	options.ConnectTimeout = 30 * time.Millisecond
	options.MaxConnections = 100
	handshakeByNode(&options)
	node := newTestNode(t)
	p := New(options)
	p.dialTimes.hedgeTokens = 0
	var pending []chan broker.Result
	for range attempts {
		_, results := start(p, node.address, echo)
		pending = append(pending, results)
	}
	dials := 0
	for ended := 0; ended < attempts; {
		select {
		case <-node.conns:
			dials++
		case r := <-pending[ended]:
			if r.Err == nil {
				t.Error("an attempt succeeded without a connection")
			}
			ended++
		}
	}
	for len(node.conns) > 0 {
		<-node.conns
		dials++
	}
	p.CloseExpired(time.Now())
	if len(p.idleChanged) > 0 {
		t.Errorf("notification channels of %d addresses are kept after all attempts ended", len(p.idleChanged))
	}
	if dials > attempts+attempts/2 {
		t.Errorf("%d connections for %d attempts, want at most 3 connections per 2 attempts", dials, attempts)
	}
}

// An attempt ends while both dial attempts for it succeed. The pool must keep neither connection. An earlier version
// closed one of them but kept the other.
func TestNoConnectionIsKeptForAnEndedAttempt(t *testing.T) {
	options := testOptions()
	connected := make(chan struct{})
	dialled := make(chan struct{}, 2)
	options.Handshake = func(net.Conn, *bufio.Reader) error {
		dialled <- struct{}{}
		<-connected
		return nil
	}
	node := newTestNode(t)
	p := New(options)
	attempt, cancelAttempt := context.WithCancel(context.Background())
	d := p.startDial(attempt, node.address)
	<-dialled
	<-dialled
	d.mu.Lock() // delays the dial's reaction to the end of the attempt until both connections are established
	cancelAttempt()
	close(connected)
	runtime.Gosched()
	d.mu.Unlock()
	result := <-d.results
	// The dial may be canceled just before a handshake returns. The dial attempt then fails with errHandshake.
	ended := errors.Is(result.err, context.Canceled) || errors.Is(result.err, errHandshake)
	if result.conn != nil || !ended {
		t.Errorf("result %+v, want the error of the ended attempt and no connection", result)
	}
	expectNoSlots(t, p)
}

// As in the previous test, an attempt ends while its dial succeeds, but without a race: both connections are
// established before the attempt ends, and are delivered afterwards. The result must be the error of the attempt's
// context, and neither connection may be kept.
func TestDeliveryToAnEndedAttempt(t *testing.T) {
	node := newTestNode(t)
	p := New(testOptions())
	attempt, cancelAttempt := context.WithCancel(context.Background())
	d := &dial{pool: p, address: node.address, waiter: attempt, results: make(chan dialResult, 1)}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	defer d.cancel()
	var connections []*connection
	for range 2 {
		if err := p.acquireSlot(d.ctx); err != nil {
			t.Fatal(err)
		}
		conn, err := p.connect(d.ctx, d.address)
		if err != nil {
			t.Fatal(err)
		}
		connections = append(connections, conn)
	}
	cancelAttempt()
	for _, conn := range connections {
		d.deliver(conn)
	}
	if result := <-d.results; result.conn != nil || !errors.Is(result.err, context.Canceled) {
		t.Errorf("result %+v, want context.Canceled and no connection", result)
	}
	if p.HasIdle(node.address) {
		t.Error("a connection was kept")
	}
	expectNoSlots(t, p)
}

// An attempt ends while both of its dial attempts wait for a handshake with a silent node. Both must end with the
// attempt. Otherwise each such attempt would occupy two connections until the connect timeout, and a few of them would
// occupy the whole pool.
func TestAttemptEndsItsHedgedDial(t *testing.T) {
	for name, end := range map[string]func(broker.Handle){
		"stop": func(h broker.Handle) {
			if progress := h.Stop(); progress != broker.NotConnected {
				t.Errorf("Stop returned progress %v, want %v", progress, broker.NotConnected)
			}
		},
		"cancel unless written": broker.Handle.CancelUnlessWritten,
	} {
		t.Run(name, func(t *testing.T) {
			options := testOptions()
			options.ConnectTimeout = time.Hour // only the end of the attempt can end the dial attempts
			handshakeByNode(&options)
			node := newTestNode(t)
			p := New(options)
			handle, results := start(p, node.address, echo)
			conns := []net.Conn{node.accept(), node.accept()}
			if p.slots.InUse() != 2 {
				t.Errorf("%d slots are in use, want 2", p.slots.InUse())
			}
			end(handle)
			for _, conn := range conns {
				node.expectEnd(conn)
			}
			expectNoSlots(t, p)
			if name == "cancel unless written" {
				expectProgress(t, results, broker.NotConnected)
			} else if len(results) > 0 {
				t.Errorf("received a result after Stop: %+v", <-results)
			}
			_, results = start(p, node.address, echo)
			conn := node.accept()
			node.welcome(conn)
			node.serve(conn)
			expectAnswer(t, results)
		})
	}
}
