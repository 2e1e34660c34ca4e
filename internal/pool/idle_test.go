package pool

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"junctionwharf/broker"
)

// Consecutive exchanges use the same connection.
func TestConnectionIsReused(t *testing.T) {
	node := newTestNode(t)
	p := newUnhedgedPool(testOptions())
	_, results := start(p, node.address, echo)
	conn := node.accept()
	for range 3 {
		node.serve(conn)
		expectAnswer(t, results)
		_, results = start(p, node.address, echo)
	}
	node.serve(conn)
	<-results
	if len(node.conns) > 0 {
		t.Error("a second connection was opened")
	}
}

// A node sends its answer twice. The second copy must not be read as the answer to the next request. Therefore a
// connection may be reused only after it has been idle for ReuseDelay, and never if it received data in that time.
func TestConnectionIsReusedOnlyWhenQuiet(t *testing.T) {
	options := testOptions()
	options.ReuseDelay = time.Hour
	node := newTestNode(t)
	p := newUnhedgedPool(options)
	var conns []net.Conn
	for range 2 { // each opens its own connection, since none has been idle for ReuseDelay
		_, results := start(p, node.address, echo)
		conn := node.accept()
		conns = append(conns, conn)
		node.serve(conn)
		<-results
	}
	node.write(conns[1], echoAnswer)
	for IsQuiet(p.idle[node.address][1].Conn) {
		time.Sleep(time.Millisecond) // the kernel has not delivered the second copy yet
	}
	p.options.ReuseDelay = 0
	_, results := start(p, node.address, echo)
	node.serve(conns[0])
	if r := <-results; r.Err != nil || len(p.idle[node.address]) != 1 {
		t.Errorf("result %+v, %d idle connections, want no error and 1", r, len(p.idle[node.address]))
	}
}

// Nodes are replaced by new nodes at new addresses. The pool must not keep entries for the addresses of removed nodes.
func TestReplacedNodesAreForgotten(t *testing.T) {
	p := newUnhedgedPool(testOptions())
	for range 50 {
		node := newTestNode(t)
		_, results := start(p, node.address, echo)
		conn := node.accept()
		node.serve(conn)
		<-results
		_ = conn.Close()
		for idleCount(p, node.address) > 0 {
			p.CloseExpired(time.Now())
		}
	}
	if len(p.idle) != 0 || p.slots.InUse() != 0 {
		t.Errorf("%d addresses and %d slots are kept, want none", len(p.idle), p.slots.InUse())
	}
}

// A node closes an idle connection. A request sent on it would end as a reset, which is final for a write, so the
// connection must not be reused.
func TestConnectionClosedByNodeIsNotUsed(t *testing.T) {
	node := newTestNode(t)
	p := newUnhedgedPool(testOptions())
	_, results := start(p, node.address, echo)
	conn := node.accept()
	node.serve(conn)
	<-results
	_ = conn.Close()
	for len(p.idle[node.address]) > 0 && IsQuiet(p.idle[node.address][0].Conn) {
		time.Sleep(time.Millisecond) // the kernel has not delivered the close yet
	}
	_, results = start(p, node.address, echo)
	node.serve(node.accept())
	if r := <-results; r.Err != nil {
		t.Fatal(r.Err)
	}
}

// The pool must close an idle connection after 70% of the node's idle timeout of one hour, so that the node does not
// close it during a request.
func TestIdleConnectionExpires(t *testing.T) {
	node := newTestNode(t)
	p := newUnhedgedPool(testOptions())
	_, results := start(p, node.address, echo)
	conn := node.accept()
	node.serve(conn)
	<-results
	p.CloseExpired(time.Now().Add(40 * time.Minute))
	if len(p.idle) != 1 {
		t.Fatal("the idle connection was closed too early")
	}
	p.CloseExpired(time.Now().Add(43 * time.Minute))
	if len(p.idle) != 0 || p.slots.InUse() != 0 {
		t.Errorf("%d addresses with idle connections and %d slots in use, want none", len(p.idle), p.slots.InUse())
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the node read %v, want EOF", err)
	}
}

// All slots are in use. If a connection to another node is idle, it must be closed to release its slot. Otherwise an
// attempt must wait until a connection ends.
func TestFullPoolMakesRoom(t *testing.T) {
	a := newTestNode(t)
	b := newTestNode(t)
	p := newUnhedgedPool(testOptions())
	_, first := start(p, a.address, echo)
	a.serve(a.accept())
	<-first
	var handles []broker.Handle
	for range 2 {
		handle, _ := start(p, b.address, echo)
		handles = append(handles, handle)
		b.accept()
	}
	_, results := start(p, b.address, echo)
	handles[0].Stop()
	b.serve(b.accept())
	if r := <-results; r.Err != nil {
		t.Error(r.Err)
	}
}
