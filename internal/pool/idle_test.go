package pool

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"junctionwharf/broker"
)

// Exchanges follow each other on one connection.
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

// A node repeats its answer. The second copy must not become the answer to the next request, so a connection has to be
// quiet for a while before it is used again, and one that was not quiet is never used.
func TestConnectionIsReusedOnlyWhenQuiet(t *testing.T) {
	options := testOptions()
	options.ReuseDelay = time.Hour
	node := newTestNode(t)
	p := newUnhedgedPool(options)
	var conns []net.Conn
	for range 2 { // the second exchange does not wait for the delay: it opens a connection of its own
		_, results := start(p, node.address, echo)
		conn := node.accept()
		conns = append(conns, conn)
		node.serve(conn)
		<-results
	}
	node.write(conns[1], echoAnswer)
	for IsQuiet(p.idle[node.address][1].Conn) {
		time.Sleep(time.Millisecond) // it is on its way through the kernel
	}
	p.options.ReuseDelay = 0
	_, results := start(p, node.address, echo)
	node.serve(conns[0])
	if r := <-results; r.Err != nil || len(p.idle[node.address]) != 1 {
		t.Errorf("%+v, %d idle", r, len(p.idle[node.address]))
	}
}

// Nodes are replaced by new ones at new addresses. Nothing is kept for those that are gone.
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
		t.Errorf("%d addresses, %d connections kept", len(p.idle), p.slots.InUse())
	}
}

// A node closes an idle connection. A request sent on it would end as a reset, which is final for a write, so the
// connection must not be used.
func TestConnectionClosedByNodeIsNotUsed(t *testing.T) {
	node := newTestNode(t)
	p := newUnhedgedPool(testOptions())
	_, results := start(p, node.address, echo)
	conn := node.accept()
	node.serve(conn)
	<-results
	_ = conn.Close()
	for len(p.idle[node.address]) > 0 && IsQuiet(p.idle[node.address][0].Conn) {
		time.Sleep(time.Millisecond) // the close is on its way through the kernel
	}
	_, results = start(p, node.address, echo)
	node.serve(node.accept())
	if r := <-results; r.Err != nil {
		t.Fatal(r.Err)
	}
}

// An idle connection is closed before its node's idle timeout, so that no request meets the node's own close.
func TestIdleConnectionExpires(t *testing.T) {
	node := newTestNode(t)
	p := newUnhedgedPool(testOptions())
	_, results := start(p, node.address, echo)
	conn := node.accept()
	node.serve(conn)
	<-results
	p.CloseExpired(time.Now().Add(40 * time.Minute))
	if len(p.idle) != 1 {
		t.Fatal("closed too early")
	}
	p.CloseExpired(time.Now().Add(43 * time.Minute))
	if len(p.idle) != 0 || p.slots.InUse() != 0 {
		t.Errorf("%d addresses idle, %d slots taken", len(p.idle), p.slots.InUse())
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("not closed: %v", err)
	}
}

// All slots are taken. An idle connection to another node gives its slot up, and otherwise an attempt waits until a
// connection ends.
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
