package resp

import (
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// Requests are in the kernel's accept queue when the server is closed: their connections have not been accepted yet.
// According to the protocol these requests must be answered. Later connections must be refused.
func TestCloseServesTheAcceptQueue(t *testing.T) {
	f := newFixture(t)
	var conns []*net.TCPConn
	for i := range 40 {
		conn := f.dial()
		write(t, conn, request(fmt.Sprint("q", i)))
		conns = append(conns, conn)
	}
	f.server.Drain()
	f.server.Close()
	served := make(chan error, 1)
	go func() { served <- f.server.Serve(f.listener) }()
	for range conns {
		f.attempt().serve()
	}
	for i, conn := range conns {
		if got, err := io.ReadAll(conn); string(got) != servedValue || err != nil {
			t.Errorf("connection %d: read %q, error %v, want the answer and no error", i, got, err)
		}
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", f.listener.Addr().String()); err == nil {
		t.Error("the server still listens after Close")
	}
}

// A connection is evicted although its client has not read the last answer yet, and further requests arrive during the
// close. Closing the connection with unread input would reset it, which could destroy the answer. The client must get
// the answer, and the requests must be rejected and not forwarded.
func TestEvictionKeepsTheAnswer(t *testing.T) {
	f := newFixture(t)
	c, peer := f.accept(nil)
	c.hasRequest = true
	write(t, c.socket, servedValue)
	if !c.Evict() {
		t.Fatal("the idle connection was not evicted")
	}
	write(t, peer, request("x")+request("y"))
	f.expectInput(c)
	c.start()
	f.expectNoClients()
	if got, err := io.ReadAll(peer); string(got) != servedValue+"-BUSY\r\n-BUSY\r\n" || err != nil {
		t.Errorf("the client read %q, error %v, want the answer, two rejections and no error", got, err)
	}
	if n := len(f.transport.attempts) + f.loop.OpenRequests(); n > 0 {
		t.Errorf("%d attempts and open requests after the eviction, want none", n)
	}
}

// A request is read at the moment at which its connection is to be closed, which only the reader can notice. If the
// broker drains, the request must be served. If the connection was evicted, the request must be rejected. The client
// must get this answer before the end of file.
func TestRequestReadWhileClosing(t *testing.T) {
	for _, test := range []struct {
		name  string
		state closeState
		want  string
	}{
		{"drained", closeIfIdle, servedValue},
		{"evicted", closeEvicted, "-BUSY\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			c, peer := f.accept(nil)
			c.hasRequest = true
			if !c.requestClose(test.state) {
				t.Fatal("requestClose refused to close an idle connection")
			}
			c.input.clearInterrupt() // as if the read had ended just before it was interrupted
			write(t, peer, request("x"))
			f.expectInput(c)
			f.server.Drain()
			c.start()
			if test.state != closeEvicted {
				f.attempt().serve()
			}
			if got, err := io.ReadAll(peer); string(got) != test.want || err != nil {
				t.Errorf("the client read %q, error %v, want %q and no error", got, err, test.want)
			}
			f.expectNoClients()
		})
	}
}

// A connection with an unread request, or with a request that is being read, must not be closed by a drain or an
// eviction. A drain must close the connection when it waits for the next command.
func TestConnectionWithRequestStays(t *testing.T) {
	f := newFixture(t)
	f.server.Drain()
	c, peer := f.accept(nil)
	c.awaitingFirst = false
	c.hasRequest = true
	write(t, peer, request("x"))
	f.expectInput(c)
	if c.Evict() || c.closeIfDraining() {
		t.Error("a connection with an unread request was closed")
	}
	c.input.phase.Store(takingCommand)
	_, err := io.ReadFull(c.socket, make([]byte, len(request("x"))))
	if err != nil || c.Evict() || c.closeIfDraining() {
		t.Errorf("a connection was closed while its request was being read, or the read failed (error %v)", err)
	}
	c.input.phase.Store(waitingForCommand)
	if !c.closeIfDraining() {
		t.Error("a draining server kept a connection without pending answers open")
	}
}

// The first bytes of a request arrive just when the idle timeout of the connection expires. The request must be served.
func TestRequestAtTheIdleTimeout(t *testing.T) {
	f := newFixture(t)
	c, peer := f.accept(os.ErrDeadlineExceeded)
	c.hasRequest = true
	text := request("x")
	write(t, peer, text[:20])
	f.expectInput(c)
	c.start()
	write(t, peer, text[20:])
	f.attempt().serve()
	got := make([]byte, len(servedValue))
	if _, err := io.ReadFull(peer, got); err != nil || string(got) != servedValue {
		t.Errorf("read %q, %v, want %q", got, err, servedValue)
	}
}

// hangUp closes a client's connection with an end of file or a reset.
func hangUp(t *testing.T, conn *net.TCPConn, reset bool) {
	t.Helper()
	if reset {
		if err := conn.SetLinger(0); err != nil {
			t.Fatal(err)
		}
	}
	_ = conn.Close()
}

// A client disconnects while at least one of its requests is pending. Further input has arrived that the broker may not
// have read: part of a request, malformed input, after which no command is handled, or more requests than may be
// pending on a connection. The client's first attempt must be cancelled, and no state of the client may remain, also
// while the server stops, with or without a successor.
// docs/acceptance.md gives the counts that this test logs.
func TestClientLeavesWithUnreadInput(t *testing.T) {
	pipelined := ""
	for i := range maxPipeline + 40 {
		pipelined += request(fmt.Sprint("m", i))
	}
	left := 0
	forwarded := 0
	for name, unread := range map[string]string{
		"nothing":          "",
		"a part":           request("p")[:30],
		"noise":            "nonsense",
		"much noise":       string(make([]byte, 1<<20)),
		"many":             pipelined,
		"many and noise":   pipelined + "nonsense",
		"an unknown class": bulk(commandRead, testKey, "u", "c=none,d=1"),
	} {
		for _, how := range []struct{ reset, stopping bool }{{false, false}, {true, false}, {false, true}, {true, true}} {
			t.Run(fmt.Sprintf("%s, reset %v, stopping %v", name, how.reset, how.stopping), func(t *testing.T) {
				f := newFixture(t)
				f.serveClients()
				conn := f.dial()
				write(t, conn, request("first"))
				first := f.attempt()
				if how.stopping { // as during a handover
					f.server.Drain()
					f.server.Close()
				}
				if _, err := io.WriteString(conn, unread); err != nil && unread == "" {
					t.Fatal(err)
				}
				if len(unread) == len(pipelined) {
					eventually(t, longWaitLimit, "the maximum number of requests is open", func() bool {
						return f.loop.OpenRequests() == maxPipeline
					})
				}
				hangUp(t, conn, how.reset)
				left++
				select {
				case <-first.gone:
				case <-time.After(waitLimit):
					forwarded++
					t.Error("the attempt was not cancelled after the client disconnected")
				}
				eventually(t, longWaitLimit, "nothing of the client remains", func() bool {
					return f.loop.OpenRequests() == 0 && openIDs(f.server) == 0 && f.server.Count() == 0
				})
			})
		}
	}
	t.Logf("%d clients disconnected, %d of their requests were forwarded nevertheless", left, forwarded)
}

// Clients that had sent a request and over 16 MiB of input that is not handled closed their connections, and the broker
// forwarded the request later: it no longer looked at the connection. The attempt must be cancelled, and no state of
// the client may remain.
func TestClientLeavesAfterMuchUnhandledInput(t *testing.T) {
	for _, size := range []int{17500 << 10, 40 << 20} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d bytes, reset %v", size, reset), func(t *testing.T) {
				f := newFixture(t)
				f.serveClients()
				conn := f.dial()
				write(t, conn, request("first"))
				first := f.attempt()
				write(t, conn, "nonsense"+string(make([]byte, size)))
				select {
				case <-first.gone:
					t.Fatal("the attempt was cancelled although the client is still connected")
				default:
				}
				hangUp(t, conn, reset)
				select {
				case <-first.gone:
				case <-time.After(waitLimit):
					t.Fatal("the attempt was not cancelled after the client disconnected")
				}
				eventually(t, longWaitLimit, "nothing of the client remains", func() bool {
					return f.loop.OpenRequests() == 0 && f.server.Count() == 0
				})
			})
		}
	}
}

// A client sends much input after a malformed command. The server must read and discard this input. Otherwise the close
// would reset the connection, and the reset could overtake the error and earlier answers.
func TestErrorComesBeforeMuchNoise(t *testing.T) {
	f := newFixture(t)
	f.serveClients()
	conn := f.dial()
	write(t, conn, request("x"))
	attempt := f.attempt()
	write(t, conn, "nonsense"+string(make([]byte, 8<<20)))
	attempt.serve()
	want := servedValue + "-ERR Protocol error: want arrays of bulk strings\r\n"
	if got, err := io.ReadAll(conn); err != nil || string(got) != want {
		t.Errorf("read %q, %v, want %q", got, err, want)
	}
}

// After the error for a malformed command the connection must be closed at once. Otherwise a whole request could arrive
// on the open connection and be discarded without an answer. The test takes the minimum of five times, since the
// machine may be busy.
func TestErrorEndsTheConnectionAtOnce(t *testing.T) {
	f := newFixture(t)
	f.serveClients()
	least := time.Hour
	for range 5 {
		conn := f.dial()
		write(t, conn, "nonsense")
		if _, err := io.ReadFull(conn, make([]byte, len(errorPrefix))); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		if _, err := io.ReadAll(conn); err != nil {
			t.Error(err)
		}
		least = min(least, time.Since(began))
	}
	if least > maxLingerTime/2 {
		t.Errorf("the connection stayed open for at least %v after the error, want maxLingerTime/2 or less", least)
	}
}
