package resp

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/clientconn"
	"junctionwharf/internal/logging"
	"junctionwharf/scheduler"
)

// newStalledServer serves clients with a loop that never runs, so that requests wait.
func newStalledServer(t *testing.T) (*Server, string) {
	t.Helper()
	state, err := broker.NewState(scheduler.Settings{
		Brokers: 1,
		Classes: []scheduler.Class{{Name: "read", LatencyObjective: time.Second}},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	loop := broker.NewLoop(state, broker.NewClock(), nil, broker.Dependencies{})
	server := NewServer(loop, testLimits, 8, 8, 1<<20, testLogger(t))
	return server, serve(t, server)
}

// A client sends nonsense. It gets an error after its other answers, and its connection ends.
func TestMalformedInputEndsTheConnection(t *testing.T) {
	server := NewServer(nil, RequestLimits{}, 4, 4, 1<<20, testLogger(t))
	address := serve(t, server)
	for _, text := range []string{
		"*9\r\n", "GET\r\n", bulk("NOTHING"), "*1\r\n$99999999999999999999\r\n", bulk(commandRead, "x", "y", "z"),
	} {
		got, _ := exchangeText(t, address, pingText+pingText+text)
		if !strings.HasPrefix(got, pongLine+pongLine+errorPrefix) || !strings.HasSuffix(got, lineEnd) {
			t.Errorf("%q: %q", text, got)
		}
	}
}

// A client sends nothing, or half a command. Its connection ends within three seconds, in the latter case with an
// error. A client that waits for its answer may be silent for longer than that.
func TestSlowClientsAreEnded(t *testing.T) {
	_, address := newStalledServer(t)
	for text, want := range map[string]string{
		"":                  "",
		"*4\r\n$8\r\nBLK":   "-ERR Protocol error",
		pingText + "*4\r\n": "+PONG\r\n-ERR Protocol error",
	} {
		t.Run(fmt.Sprintf("%q", text), func(t *testing.T) {
			t.Parallel()
			got, took := exchangeText(t, address, text)
			if !strings.HasPrefix(got, want) || (got == "") != (want == "") || took > 3200*time.Millisecond {
				t.Errorf("%q after %v", got, took)
			}
		})
	}
}

// A request comes with the id of an open one, on whatever connection. It is an error, and once the open request has
// ended nothing is kept of its id.
func TestRequestIDMayBeOpenOnlyOnce(t *testing.T) {
	server, address := newStalledServer(t)
	first := dial(t, address, longWaitLimit)
	write(t, first, readText)
	eventually(t, waitLimit, "the request is open", func() bool { return server.loop.OpenRequests() > 0 })
	if got, _ := exchangeText(t, address, readText); !strings.HasPrefix(got, errorPrefix) {
		t.Errorf("%q", got)
	}
	if open := server.loop.OpenRequests(); open != 1 {
		t.Errorf("%d requests are open", open)
	}
	_ = first.Close()
	eventually(t, waitLimit, "no id is kept", func() bool { return len(server.OpenRequestIDs()) == 0 })
}

// A full server closes a connection without requests to make room for the next client. The table asks for an idle one
// while others check whether to go on.
func TestFullServerMakesRoom(t *testing.T) {
	server := NewServer(nil, RequestLimits{}, 2, 2, 1<<20, testLogger(t))
	address := serve(t, server)
	for i := range 100 {
		conn := dial(t, address, longWaitLimit)
		write(t, conn, pingText)
		got := make([]byte, len(pongLine))
		if _, err := io.ReadFull(conn, got); err != nil || string(got) != pongLine {
			t.Fatalf("client %d: %q, %v", i, got, err)
		}
	}
}

// blockingConn is a connection that keeps the table's lock while the table asks for its state.
type blockingConn struct {
	asked   chan struct{}
	release chan struct{}
}

func (b *blockingConn) Wake()       {}
func (b *blockingConn) Evict() bool { return true }
func (b *blockingConn) State() (clientconn.State, time.Duration) {
	b.asked <- struct{}{}
	<-b.release
	return clientconn.Busy, 0
}

// A connection asks the table whether it should end while the table holds its lock to check connections. The connection
// must not hold its own lock meanwhile: the table may be waiting for it.
func TestNoLockIsHeldWhileAskingTheTable(t *testing.T) {
	server := NewServer(nil, RequestLimits{}, 0, 1, 1, logging.Discard())
	blocking := &blockingConn{asked: make(chan struct{}), release: make(chan struct{})}
	server.Add(blocking)
	server.RequestReceived(blocking, false)
	go func() { _, _ = server.Accept(nil) }() // there is no slot: it checks connections, and never comes to accept
	<-blocking.asked
	c := &client{server: server}
	go c.closeIfDraining()
	for range 200 {
		time.Sleep(100 * time.Microsecond)
		if !c.mu.TryLock() {
			t.Fatal("the connection's lock is held")
		}
		c.mu.Unlock()
	}
}
