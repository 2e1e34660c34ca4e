package clientconn

import (
	"io"
	"net"
	"testing"
)

// acceptAs accepts a connection and adds it to the table as conn. It returns the result of Add.
func acceptAs(t *testing.T, table *Table, ln net.Listener, conn *fakeConn) (whileDraining bool) {
	t.Helper()
	client := dial(t, ln)
	defer func() { _ = client.Close() }()
	if _, err := table.Accept(ln); err != nil {
		t.Fatal(err)
	}
	return table.Add(conn)
}

// An accepting table keeps idle connections. A draining table closes them, except new connections that have sent no
// command. A closed table closes all connections and accepts none. Drain and Close wake the connections.
func TestShutdownPhases(t *testing.T) {
	table := NewTable(2, 2, testLogger(t))
	ln := listen(t)
	early := &fakeConn{}
	late := &fakeConn{}
	if acceptAs(t, table, ln, early) || table.ShouldClose(false) {
		t.Error("before Drain, Add reported a drain or ShouldClose(false) returned true")
	}
	table.Drain()
	if !acceptAs(t, table, ln, late) || !table.ShouldClose(false) || table.ShouldClose(true) || early.wakes != 1 {
		t.Error("a draining table must wake and close idle connections, but not new ones without a command")
	}
	table.Remove(early)
	table.Remove(early)
	table.Close()
	if table.Count() != 1 || !table.ShouldClose(true) || late.wakes != 1 {
		t.Error("a closed table must have removed one connection, and must wake and close the other one")
	}
	if _, err := table.Accept(ln); err == nil {
		t.Error("a closed table accepted a connection")
	}
}

// All connections of a full table wait for answers, so none can be evicted. In an earlier version further connections
// waited in the kernel's accept queue past their clients' timeouts. Each of them must be rejected with an answer.
func TestRejectOverLimit(t *testing.T) {
	const newcomers = 50
	const rejection = "busy"
	table := NewTable(2, 2, testLogger(t))
	reject := func(conn net.Conn) {
		if _, err := io.WriteString(conn, rejection); err != nil {
			t.Error(err)
		}
	}
	table.RejectOverLimit(3, reject, func() bool { return false })
	first := &fakeConn{state: Busy}
	second := &fakeConn{state: Busy}
	addConnsWithRequests(table, first, second)
	ln := listen(t)
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, _ := table.Accept(ln)
		accepted <- conn
	}()
	for range newcomers {
		conn := dial(t, ln)
		answer, err := io.ReadAll(conn) // until the table closes the connection
		_ = conn.Close()
		if string(answer) != rejection || err != nil {
			t.Fatalf("read %q, error %v, want %q", answer, err, rejection)
		}
	}
	if n := table.Rejected(); n != newcomers || evictionsOf(first, second) != 0 {
		t.Errorf("%d rejected, %d evicted, want %d and 0", n, evictionsOf(first, second), newcomers)
	}
	table.Remove(first)
	conn := dial(t, ln)
	defer func() { _ = conn.Close() }()
	_ = (<-accepted).Close() // a slot is free for the new connection
	table.Close()
}

// The slot of an evicted connection is released before the connection has ended, as long as an overflow slot is
// available. While the broker is overloaded, a connection with a recent request is not evicted. Otherwise each request
// would cost a connection.
func TestSlotOfEvictedConnectionIsFreeAtOnce(t *testing.T) {
	table := NewTable(3, 3, testLogger(t))
	overloaded := true
	table.RejectOverLimit(1, func(net.Conn) {}, func() bool { return overloaded })
	conns := []*fakeConn{
		{state: Idle, idleFor: minIdleTime - 1},
		{state: Idle, idleFor: minIdleTime - 1},
		{state: Busy},
	}
	addConnsWithRequests(table, conns...)
	if table.acquireSlot() || evictionsOf(conns...) != 0 {
		t.Fatal("a connection with a recent request was evicted during overload")
	}
	table.overflow.Release()
	overloaded = false
	if !table.acquireSlot() || evictionsOf(conns...) != 1 || table.Count() != 3 {
		t.Fatalf("no slot was released: %d connections evicted, want 1", evictionsOf(conns...))
	}
	if table.overflow.TryAcquire() {
		t.Error("an overflow slot is free while an evicted connection has not ended")
	}
	for _, conn := range conns {
		table.Remove(conn)
	}
	if table.limit.InUse() != 1 || table.overflow.InUse() != 0 {
		t.Errorf("%d slots and %d overflow slots in use, want 1 and 0", table.limit.InUse(), table.overflow.InUse())
	}
}
