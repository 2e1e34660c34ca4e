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

// newStalledServer returns a server and its address. The server's loop never runs, so requests stay open.
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

// A client sends malformed input. It must get an error after its other answers, and its connection must end.
func TestMalformedInputEndsTheConnection(t *testing.T) {
	server := NewServer(nil, RequestLimits{}, 4, 4, 1<<20, testLogger(t))
	address := serve(t, server)
	for _, text := range []string{
		"*9\r\n", "GET\r\n", bulk("NOTHING"), "*1\r\n$99999999999999999999\r\n", bulk(commandRead, "x", "y", "z"),
	} {
		got, _ := exchangeText(t, address, pingText+pingText+text)
		if !strings.HasPrefix(got, pongLine+pongLine+errorPrefix) || !strings.HasSuffix(got, lineEnd) {
			t.Errorf("%q: read %q, want two answers to PING and an error", text, got)
		}
	}
}

// The connection of a client that sends nothing, or half a command, must end within three seconds; the test allows 0.2
// s more. After half a command the client must get an error first.
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
				t.Errorf("read %q, want prefix %q; the connection ended after %v, want at most 3.2s", got, want, took)
			}
		})
	}
}

// A request on another connection has the ID of an open request. It must get an error. When the client of the open
// request has disconnected, the ID must be removed.
func TestRequestIDMayBeOpenOnlyOnce(t *testing.T) {
	server, address := newStalledServer(t)
	first := dial(t, address, longWaitLimit)
	write(t, first, readText)
	eventually(t, waitLimit, "the request is open", func() bool { return server.loop.OpenRequests() > 0 })
	if got, _ := exchangeText(t, address, readText); !strings.HasPrefix(got, errorPrefix) {
		t.Errorf("read %q, want an error", got)
	}
	if open := server.loop.OpenRequests(); open != 1 {
		t.Errorf("%d requests are open, want 1", open)
	}
	_ = first.Close()
	eventually(t, waitLimit, "the ID is removed", func() bool { return len(server.OpenRequestIDs()) == 0 })
}

// A full server must evict a connection without requests for each further client. It must not deadlock with connections
// that check at the same time whether they should close.
func TestFullServerMakesRoom(t *testing.T) {
	server := NewServer(nil, RequestLimits{}, 2, 2, 1<<20, testLogger(t))
	address := serve(t, server)
	for i := range 100 {
		conn := dial(t, address, longWaitLimit)
		write(t, conn, pingText)
		got := make([]byte, len(pongLine))
		if _, err := io.ReadFull(conn, got); err != nil || string(got) != pongLine {
			t.Fatalf("client %d: read %q, %v, want +PONG", i, got, err)
		}
	}
}

// blockingConn is a connection whose State blocks, so that the table keeps its lock.
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

// A connection asks the table whether it should close while the table checks connections under its own lock. The
// connection must not hold its lock during this call, since the table may be waiting for that lock.
func TestNoLockIsHeldWhileAskingTheTable(t *testing.T) {
	server := NewServer(nil, RequestLimits{}, 0, 1, 1, logging.Discard())
	blocking := &blockingConn{asked: make(chan struct{}), release: make(chan struct{})}
	server.Add(blocking)
	server.RequestReceived(blocking, false)
	go func() { _, _ = server.Accept(nil) }() // without a free slot Accept checks connections and accepts none
	<-blocking.asked
	c := &client{server: server}
	go c.closeIfDraining()
	for range 200 {
		time.Sleep(100 * time.Microsecond)
		if !c.mu.TryLock() {
			t.Fatal("the connection holds its lock while it calls the table")
		}
		c.mu.Unlock()
	}
}
