package clientconn

import (
	"io"
	"net"
	"testing"
)

// acceptAs accepts a connection and adds it to the table as conn. It returns what Add returned.
func acceptAs(t *testing.T, table *Table, ln net.Listener, conn *fakeConn) (whileDraining bool) {
	t.Helper()
	client := dial(t, ln)
	defer func() { _ = client.Close() }()
	if _, err := table.Accept(ln); err != nil {
		t.Fatal(err)
	}
	return table.Add(conn)
}

// An accepting table keeps idle connections. A draining one ends them, but for newcomers that have had no request,
// and a closed one ends all and accepts nothing.
func TestShutdownPhases(t *testing.T) {
	table := NewTable(2, 2, testLogger(t))
	ln := listen(t)
	early := &fakeConn{}
	late := &fakeConn{}
	if acceptAs(t, table, ln, early) || table.ShouldClose(false) {
		t.Error("an accepting table ends connections")
	}
	table.Drain()
	if !acceptAs(t, table, ln, late) || !table.ShouldClose(false) || table.ShouldClose(true) || early.wakes != 1 {
		t.Error("a draining table does not end the idle ones alone")
	}
	table.Remove(early)
	table.Remove(early)
	table.Close()
	if table.Count() != 1 || !table.ShouldClose(true) || late.wakes != 1 {
		t.Error("a closed table does not end all")
	}
	if _, err := table.Accept(ln); err == nil {
		t.Error("a closed table accepts")
	}
}

// All connections of a full table wait for answers. Further connections once waited in the kernel's accept queue past
// their clients' timeouts; now each is rejected with an answer.
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
		answer, err := io.ReadAll(conn) // to its end
		_ = conn.Close()
		if string(answer) != rejection || err != nil {
			t.Fatalf("%q, %v", answer, err)
		}
	}
	if n := table.Rejected(); n != newcomers || evictionsOf(first, second) != 0 {
		t.Errorf("%d rejected, %d evicted", n, evictionsOf(first, second))
	}
	table.Remove(first)
	conn := dial(t, ln)
	defer func() { _ = conn.Close() }()
	_ = (<-accepted).Close() // there is a slot for it
	table.Close()
}

// An evicted connection takes a while to end. Its slot is free at once, for as many as may be on their way out. While
// the broker is overloaded a connection with a recent request is not evicted: that would cost a connection a request.
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
		t.Fatal("a connection with a recent request was evicted")
	}
	table.overflow.Release()
	overloaded = false
	if !table.acquireSlot() || evictionsOf(conns...) != 1 || table.Count() != 3 {
		t.Fatalf("no slot at once: %d evicted", evictionsOf(conns...))
	}
	if table.overflow.TryAcquire() {
		t.Error("more are on their way out than may be")
	}
	for _, conn := range conns {
		table.Remove(conn)
	}
	if table.limit.InUse() != 1 || table.overflow.InUse() != 0 {
		t.Errorf("%d and %d slots stay taken", table.limit.InUse(), table.overflow.InUse())
	}
}
