package resp

import (
	"bufio"
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
		"*9\r\n", "GET\r\n", "*1\r\n$99999999999999999999\r\n", bulk("NOTHING") + "GET\r\n",
	} {
		got, _ := exchangeText(t, address, pingText+pingText+text)
		if !strings.HasPrefix(got, pongLine+pongLine+errorPrefix) || !strings.HasSuffix(got, lineEnd) {
			t.Errorf("%q: read %q, want two answers to PING and an error", text, got)
		}
	}
}

// A client sends commands that are well formed and cannot be served. Each must get an error, and the commands before
// and behind it must be answered: the server dropped those behind it and closed the connection.
func TestRefusedCommandSwallowsNoOther(t *testing.T) {
	const repeats = 40
	f := newFixture(t)
	f.serveClients()
	for name, refused := range map[string]string{
		"an unknown command": bulk("NOTHING"),
		"wrong parts":        bulk(commandRead, "x", "y", "z"),
		"an unknown class":   strings.Replace(request("u"), "c=read", "c=none", 1),
		"an open id":         request("open"),
		"a large command":    bulk("NOTHING", strings.Repeat("n", maxValueBytes)),
	} {
		t.Run(name, func(t *testing.T) {
			conn := f.dial()
			write(t, conn, request("open"))
			open := f.attempt()
			write(t, conn, refused+pingText+strings.Repeat(refused, repeats)+request("behind"))
			behind := f.attempt()
			open.serve()
			behind.serve()
			reader := bufio.NewReader(conn)
			expectServed := func() {
				t.Helper()
				expectLine(t, reader, "$1\r\n")
				expectLine(t, reader, "v\r\n")
			}
			expectServed()
			for i := range 1 + repeats {
				if line, err := reader.ReadString('\n'); err != nil || !strings.HasPrefix(line, errorPrefix+errMalformed.Error()) {
					t.Fatalf("read %q, error %v, want an error", line, err)
				}
				if i == 0 {
					expectLine(t, reader, pongLine)
				}
			}
			expectServed()
		})
	}
	eventually(t, waitLimit, "no bytes are reserved", func() bool { return f.server.Budget().Reserved() == 0 })
}

// New limits come into force while requests of a class that vanishes wait unread, behind as many as may be pending.
// They must be served by the limits that they came under. A request of that class that arrives later must be refused.
func TestUnreadRequestsKeepTheirLimits(t *testing.T) {
	f := newFixture(t)
	f.serveClients()
	conn := f.dial()
	input := ""
	for i := range maxPipeline + 20 {
		input += request(fmt.Sprint("r", i))
	}
	write(t, conn, input)
	eventually(t, waitLimit, "the maximum number of requests is open", func() bool {
		return f.loop.OpenRequests() == maxPipeline
	})
	eventually(t, waitLimit, "all input has arrived", func() bool {
		arrived := 0
		f.server.Each(func(conn clientconn.Connection) {
			c := conn.(*client)
			arrived = int(c.input.generations.Received(0)) + unreadBytes(t, c.socket)
		})
		return arrived == len(input)
	})
	limits := *f.server.limits.Load()
	limits.Classes = map[string]bool{"other": true}
	limits.Generation = 2
	f.server.SetLimits(limits)
	write(t, conn, request("late"))
	reader := bufio.NewReader(conn)
	for range maxPipeline + 20 {
		attempt := f.attempt()
		if attempt.Request.Generation != 0 {
			t.Fatalf("a request has the generation %d of the later limits", attempt.Request.Generation)
		}
		attempt.serve()
	}
	for range maxPipeline + 20 {
		expectLine(t, reader, "$1\r\n")
		expectLine(t, reader, "v\r\n")
	}
	expectLine(t, reader, "-ERR malformed command: c is missing, unknown or out of range\r\n")
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
	second := dial(t, address, longWaitLimit)
	write(t, second, readText+pingText)
	reader := bufio.NewReader(second)
	expectLine(t, reader, "-ERR malformed command: a request with this id is open\r\n")
	expectLine(t, reader, pongLine)
	if open := server.loop.OpenRequests(); open != 1 {
		t.Errorf("%d requests are open, want 1", open)
	}
	_ = first.Close()
	eventually(t, waitLimit, "the ID is removed", func() bool { return openIDs(server) == 0 })
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
