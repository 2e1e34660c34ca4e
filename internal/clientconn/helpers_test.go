package clientconn

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"junctionwharf/internal/logging"
)

// waitToBlock is how long a test waits before it concludes that a call blocks.
const waitToBlock = 20 * time.Millisecond

// fakeConn is a connection whose state the test sets.
type fakeConn struct {
	wakes     int
	evictions int
	state     State
	idleFor   time.Duration
	hasInput  bool // Evict returns false, as if data had been received
}

func (c *fakeConn) Wake()                         { c.wakes++ }
func (c *fakeConn) State() (State, time.Duration) { return c.state, c.idleFor }
func (c *fakeConn) Evict() bool                   { c.evictions++; return !c.hasInput }

// evictionsOf returns the total number of evictions of conns.
func evictionsOf(conns ...*fakeConn) int {
	sum := 0
	for _, conn := range conns {
		sum += conn.evictions
	}
	return sum
}

// addConns adds connections that were accepted a second ago and have sent nothing.
func addConns(table *Table, conns ...*fakeConn) {
	for _, conn := range conns {
		table.limit.TryAcquire()
		table.Add(conn)
		table.entries[conn].addedAt = time.Now().Add(-time.Second)
	}
}

// addConnsWithRequests adds connections that were accepted a second ago and have sent one request each, in this order.
func addConnsWithRequests(table *Table, conns ...*fakeConn) {
	for _, conn := range conns {
		addConns(table, conn)
		table.RequestReceived(conn, false)
	}
}

func testLogger(t *testing.T) *slog.Logger {
	t.Helper()
	return logging.ToFunc(func(line string) { t.Log(line) })
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

func dial(t *testing.T, ln net.Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return conn
}
