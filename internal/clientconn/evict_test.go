package clientconn

import (
	"testing"
	"time"
)

// Many silent connections fill the table. They must not displace ordinary clients, including slow writers. The eviction
// order is: connections that have sent only a greeting, connections that have sent nothing, the connections that have
// been idle for longest, and connections that have sent part of their first command. A connection that waits for an
// answer and a new connection are not evicted.
func TestEvictionOrder(t *testing.T) {
	table := NewTable(10, 10, testLogger(t))
	busy := &fakeConn{state: Busy}
	oldRequest := &fakeConn{state: Idle}
	recentRequest := &fakeConn{state: Idle}
	slow := &fakeConn{state: PartialCommand}
	silent := &fakeConn{state: Idle}
	alsoSilent := &fakeConn{state: Idle}
	greeted := &fakeConn{state: Idle}
	newcomer := &fakeConn{state: Idle}
	addConnsWithRequests(table, busy, recentRequest, oldRequest)
	table.RequestReceived(recentRequest, false) // a second request
	addConns(table, slow, silent, alsoSilent, greeted, newcomer)
	table.entries[newcomer].addedAt = time.Now()
	table.GreetingReceived(greeted)
	table.GreetingReceived(oldRequest) // a greeting after a request does not change the order
	all := []*fakeConn{busy, oldRequest, recentRequest, slow, silent, alsoSilent, greeted, newcomer}
	for i, next := range []*fakeConn{greeted, silent, alsoSilent, oldRequest, recentRequest, slow} {
		before := evictionsOf(all...)
		table.evict()
		if next.evictions != 1 || evictionsOf(all...) != before+1 {
			t.Fatalf("step %d: evict did not evict the expected connection alone", i)
		}
	}
	before := evictionsOf(all...)
	table.evict()
	if evictionsOf(all...) != before {
		t.Error("a connection was evicted although none may be")
	}
	if evictionsOf(busy, newcomer) != 0 {
		t.Error("a busy or new connection was evicted")
	}
}

// Clients that send one request and keep their connection must not use up the few connections that they can open. If
// more than maxIdle connections have sent requests, an idle one is evicted, long before the table is full. A connection
// that has sent no request and a connection that waits for an answer are not evicted.
func TestIdleConnectionsAreBounded(t *testing.T) {
	table := NewTable(100, 2, testLogger(t))
	busy := &fakeConn{state: Busy}
	idle := &fakeConn{state: Idle, idleFor: time.Second}
	silent := &fakeConn{state: Idle}
	other := &fakeConn{state: Idle}
	addConns(table, silent)
	addConnsWithRequests(table, busy, idle)
	if idle.evictions != 0 {
		t.Fatal("the idle connection was evicted too early")
	}
	addConnsWithRequests(table, other)
	if idle.evictions != 1 {
		t.Error("the idle connection was not evicted")
	}
	if evictionsOf(busy, silent, other) != 0 {
		t.Errorf("evicted: busy %d, silent %d, other %d, want none", busy.evictions, silent.evictions, other.evictions)
	}
}

// Under load the front of the list consists of busy connections and of connections that were just answered and will
// soon send their next request. Neither kind may be evicted, and each request may check at most two connections. In an
// earlier version each request checked all connections and evicted any idle one. A broker that fell behind then spent
// its time on checks and new connections, and served a tenth of its capacity.
func TestIdleChecksAreBoundedUnderLoad(t *testing.T) {
	table := NewTable(10_000, 10, testLogger(t))
	var conns []*fakeConn
	for i := range 3000 {
		conn := &fakeConn{state: Busy}
		if i%2 == 0 {
			conn.state = Idle
			conn.idleFor = minIdleTime - 1
		}
		conns = append(conns, conn)
	}
	addConnsWithRequests(table, conns...)
	counting := &countingConn{}
	table.limit.TryAcquire()
	table.Add(counting)
	for _, conn := range conns {
		table.RequestReceived(conn, false)
		table.RequestReceived(counting, false)
	}
	if counting.checks > 2*len(conns) {
		t.Errorf("one busy connection was checked %d times, want at most %d", counting.checks, 2*len(conns))
	}
	for i, conn := range conns {
		if conn.evictions > 0 {
			t.Fatalf("connection %d was evicted", i)
		}
	}
	conns[7].state = Idle
	conns[7].idleFor = minIdleTime
	for range len(conns) {
		table.RequestReceived(conns[1], false)
	}
	if conns[7].evictions != 1 {
		t.Error("an idle connection among busy ones was not evicted")
	}
}

// countingConn counts how often the table checks it.
type countingConn struct {
	fakeConn
	checks int
}

func (c *countingConn) State() (State, time.Duration) {
	c.checks++
	return Busy, 0
}
