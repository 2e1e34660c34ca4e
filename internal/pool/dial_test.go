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

// handshakeByNode makes a connection come up only when the node sends a byte on it (see welcome). So the test decides
// which of several connections comes up, whatever the order in which the pool's goroutines run.
func handshakeByNode(options *Options) {
	options.Handshake = func(_ net.Conn, reader *bufio.Reader) error {
		_, err := reader.ReadByte()
		return err
	}
}

// welcome lets a connection come up that was made with handshakeByNode.
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

// A connection comes up late. The hedge serves the attempt, and the late connection is kept and serves the next one.
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
	node.serve(first) // the most recently used
	if r := <-results; r.Err != nil {
		t.Error(r.Err)
	}
	if p.slots.InUse() != 2 {
		t.Errorf("%d slots are taken", p.slots.InUse())
	}
}

// While a dial and its hedge are late, another attempt gives its connection back. That serves the attempt that waits,
// and the late connections are kept.
func TestReturnedConnectionServesWhileDialling(t *testing.T) {
	options := testOptions()
	options.MaxConnections = 3
	handshakeByNode(&options)
	node := newTestNode(t)
	p := New(options)
	p.dialTimes.hedgeTokens = 0 // on a busy machine the first attempt's own hedge would come before the second attempt
	_, firstResults := start(p, node.address, echo)
	conn := node.accept()
	node.welcome(conn)
	node.expectRequest(conn) // the first attempt has its connection and makes no hedge any more
	p.mu.Lock()
	p.dialTimes.hedgeTokens = maxHedgeTokens
	p.mu.Unlock()
	_, secondResults := start(p, node.address, echo)
	late := []net.Conn{node.accept(), node.accept()}
	node.write(conn, echoAnswer)
	node.serve(conn) // of the second attempt
	for _, results := range []chan broker.Result{firstResults, secondResults} {
		if r := <-results; r.Err != nil || r.Value != echoAnswer {
			t.Errorf("%+v", r)
		}
	}
	for _, conn := range late {
		node.welcome(conn)
	}
	expectIdle(t, p, node.address, 3)
	if p.slots.InUse() != 3 {
		t.Errorf("%d slots are taken", p.slots.InUse())
	}
}

// Where connections never come up, hedges are few, take no slot that is wanted, and leave none taken.
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
				t.Error("an attempt was served without a connection")
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
		t.Errorf("%d addresses are kept without a waiting attempt", len(p.idleChanged))
	}
	if dials > attempts+attempts/2 {
		t.Errorf("%d dials for %d attempts", dials, attempts)
	}
}

// An attempt is gone by the time that its dial and its hedge both come up. Neither connection stays up for nobody: one
// of them was once kept where the other had ended.
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
	d.mu.Lock() // nothing notices that it has gone before both are up
	cancelAttempt()
	close(connected)
	runtime.Gosched()
	d.mu.Unlock()
	result := <-d.results
	// The dial may end just before a handshake returns, which then counts as failed: nobody waits for it either.
	ended := errors.Is(result.err, context.Canceled) || errors.Is(result.err, errHandshake)
	if result.conn != nil || !ended {
		t.Errorf("%+v", result)
	}
	expectNoSlots(t, p)
}

// The same crossing without a race: both connections are up, handshakes and all, when the attempt ends, and only then
// they are delivered. The attempt's own error is the result, and neither connection stays.
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
		t.Errorf("%+v", result)
	}
	if p.HasIdle(node.address) {
		t.Error("a connection was kept")
	}
	expectNoSlots(t, p)
}

// An attempt ends while its dial and the hedge are both on their way to a node that says nothing. Both end with it:
// else each such attempt would hold two connections up to the connect timeout, and a few of them the whole pool.
func TestAttemptEndsItsHedgedDial(t *testing.T) {
	for name, end := range map[string]func(broker.Handle){
		"stop": func(h broker.Handle) {
			if progress := h.Stop(); progress != broker.NotConnected {
				t.Errorf("stopped %v", progress)
			}
		},
		"cancel unless written": broker.Handle.CancelUnlessWritten,
	} {
		t.Run(name, func(t *testing.T) {
			options := testOptions()
			options.ConnectTimeout = time.Hour // only the attempt's end can end the dials
			handshakeByNode(&options)
			node := newTestNode(t)
			p := New(options)
			handle, results := start(p, node.address, echo)
			conns := []net.Conn{node.accept(), node.accept()}
			if p.slots.InUse() != 2 {
				t.Errorf("%d slots are taken", p.slots.InUse())
			}
			end(handle)
			for _, conn := range conns {
				node.expectEnd(conn)
			}
			expectNoSlots(t, p)
			if name == "cancel unless written" {
				expectProgress(t, results, broker.NotConnected)
			} else if len(results) > 0 {
				t.Errorf("a result after Stop: %+v", <-results)
			}
			_, results = start(p, node.address, echo)
			conn := node.accept()
			node.welcome(conn)
			node.serve(conn)
			expectAnswer(t, results)
		})
	}
}
