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

// leaverWorld is a broker whose connections to its one node come up when the test says, and a node that counts the bytes it is sent.
type leaverWorld struct {
	*testing.T
	loop    *broker.Loop
	address string
	coming  chan struct{} // one for each connection that waits to come up
	up      chan struct{} // closed to let them
	bytes   atomic.Int64
	ended   chan struct{} // one for each connection that the node has seen the end of
}

func newLeaverWorld(t *testing.T, budget int) *leaverWorld {
	w := &leaverWorld{T: t, coming: make(chan struct{}, 64), up: make(chan struct{}), ended: make(chan struct{}, 64)}
	state, err := broker.NewState(settings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	nodes := pool.New(pool.Options{ConnectTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second, MaxConnections: 64, Logger: logging.Discard(),
		Handshake: func(net.Conn, *bufio.Reader) error {
			w.coming <- struct{}{}
			<-w.up
			return nil
		}})
	w.loop = broker.NewLoop(state, broker.NewClock(), resp.NewTransport(nodes), broker.Dependencies{})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go w.loop.Run(ctx)
	node := listen(t)
	go accept(node, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		n, _ := io.Copy(io.Discard, conn)
		w.bytes.Add(n)
		w.ended <- struct{}{}
	})
	t.Cleanup(func() { // whatever failed, nothing waits any more
		select {
		case <-w.up:
		default:
			close(w.up)
		}
	})
	w.loop.Post(broker.NodesListed{Kind: scheduler.FullUpdate, Version: 1, Nodes: []broker.Node{{Endpoint: scheduler.Endpoint{Name: "n", Weight: 1}, Address: node.Addr().String()}}})
	ln := listen(t)
	w.address = ln.Addr().String()
	f := resp.NewServer(w.loop, resp.NewRequestLimits(settings(), 0), 64, 64, budget, logging.Discard())
	go func() { _ = f.Serve(ln) }()
	return w
}

// sentOn lets the connections come up for those that have left, of which one was taken from coming, and returns the bytes that the node
// has got by the end of all. Requests no longer count as open before what was out for them is abandoned: a connection that came up between
// the two would rightly be kept for others, and never end here.
func (w *leaverWorld) sentOn() int64 {
	w.Helper()
	turned := make(chan struct{})
	w.loop.Do(func() { close(turned) }) // behind the turn that heard of the last
	<-turned
	came := 1 + len(w.coming)
	close(w.up)
	for range came {
		select {
		case <-w.ended:
		case <-time.After(5 * time.Second):
			w.Fatal("a connection stays up for nobody")
		}
	}
	return w.bytes.Load()
}

// A burst of clients leaves, by end of file and by reset, while the connections for their requests come up or they are held behind
// these. When the connections are up not one byte of any is sent on. The last line of the log is the count for the page of acceptance.
func TestLeaversAreNotSentOn(t *testing.T) {
	for _, k := range []kind{read, write} {
		for _, reset := range []bool{false, true} {
			w := newLeaverWorld(t, 1<<20)
			const clients = 20
			var conns []*net.TCPConn
			for i := range clients {
				conn, err := net.Dial("tcp", w.address)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = conn.Close() }()
				c := &respClient{conn: conn, in: bufio.NewReader(conn), reads: "read"}
				c.send(fmt.Sprint("l", i), k)
				conns = append(conns, conn.(*net.TCPConn))
			}
			eventually(t, "all are taken", func() bool { return w.loop.OpenRequests() == clients })
			<-w.coming
			for _, conn := range conns {
				if reset {
					_ = conn.SetLinger(0)
				}
				_ = conn.Close()
			}
			eventually(t, "all have left", func() bool { return w.loop.OpenRequests() == 0 })
			if n := w.sentOn(); n > 0 {
				t.Errorf("class %d, reset %v: %d bytes were sent on", k, reset, n)
			}
			t.Logf("%d leavers, %d bytes sent on", clients, w.bytes.Load())
		}
	}
}

// A client leaves whose next request is held up by a full budget, so that nobody reads its end of file. What it asked for before is not
// sent on either; nor does it wait for its deadline, or for the budget.
func TestLeaverBehindAFullBudget(t *testing.T) {
	for _, k := range []kind{read, write} {
		w := newLeaverWorld(t, 350)
		conn, err := net.Dial("tcp", w.address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		c := &respClient{conn: conn, in: bufio.NewReader(conn), reads: "read"}
		for i := range 4 {
			c.send(fmt.Sprint("l", i), k)
		}
		eventually(t, "the budget is full", func() bool { return w.loop.OpenRequests() == 2 })
		<-w.coming
		began := time.Now()
		_ = conn.Close()
		eventually(t, "it has left", func() bool { return w.loop.OpenRequests() == 0 })
		if took := time.Since(began); took > waits[k]/2 {
			t.Errorf("class %d: its requests were open for %v", k, took)
		}
		if n := w.sentOn(); n > 0 {
			t.Errorf("class %d: %d bytes were sent on", k, n)
		}
	}
}
