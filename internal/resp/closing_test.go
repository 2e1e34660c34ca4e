package resp

import (
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// Requests stand in the kernel's accept queue when the server is closed: their connections have not been accepted
// yet. By the protocol they count as taken, so they get their answers. A connection made later is refused.
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
			t.Errorf("connection %d: %q, %v", i, got, err)
		}
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", f.listener.Addr().String()); err == nil {
		t.Error("it still listens")
	}
}

// A connection is evicted after an answer that its client has not read yet, and other requests cross the end. The
// answer is not lost to a reset, and the requests are rejected, not forwarded.
func TestEvictionKeepsTheAnswer(t *testing.T) {
	f := newFixture(t)
	c, peer := f.accept(nil)
	c.hasRequest = true
	write(t, c.socket, servedValue)
	if !c.Evict() {
		t.Fatal("it does not end")
	}
	write(t, peer, request("x")+request("y"))
	f.expectInput(c)
	c.start()
	f.expectNoClients()
	if got, err := io.ReadAll(peer); string(got) != servedValue+"-BUSY\r\n-BUSY\r\n" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	if n := len(f.transport.attempts) + f.loop.OpenRequests(); n > 0 {
		t.Errorf("%d requests were taken", n)
	}
}

// A request is read at the very moment at which its connection is to end: only the reader knows. If the broker
// drains the request is served, and if the connection was evicted it is rejected. Only then the client reads an end of
// file.
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
				t.Fatal("it does not end")
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
				t.Errorf("%q, %v", got, err)
			}
			f.expectNoClients()
		})
	}
}

// A request is being taken, or has come and was not read. Its connection ends neither by the drain nor by an eviction.
func TestConnectionWithRequestStays(t *testing.T) {
	f := newFixture(t)
	f.server.Drain()
	c, peer := f.accept(nil)
	c.awaitingFirst = false
	c.hasRequest = true
	write(t, peer, request("x"))
	f.expectInput(c)
	if c.Evict() || c.closeIfDraining() {
		t.Error("it ends with a request unread")
	}
	c.input.phase.Store(takingCommand)
	_, err := io.ReadFull(c.socket, make([]byte, len(request("x"))))
	if err != nil || c.Evict() || c.closeIfDraining() {
		t.Errorf("it ends while a request is taken (%v)", err)
	}
	c.input.phase.Store(waitingForCommand)
	if !c.closeIfDraining() {
		t.Error("it stays with nothing owed")
	}
}

// A request has begun to come as the idle timeout of its connection is over. It is served.
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
		t.Errorf("%q, %v", got, err)
	}
}

// hangUp ends a client's connection by an end of file or a reset.
func hangUp(t *testing.T, conn *net.TCPConn, reset bool) {
	t.Helper()
	if reset {
		if err := conn.SetLinger(0); err != nil {
			t.Fatal(err)
		}
	}
	_ = conn.Close()
}

// A client leaves while its requests wait, with more after them than the broker reads: noise, which ends the reading;
// more requests than may wait on a connection; a part of one. Its attempts are cancelled, and nothing of it stays. The
// counts that it logs are those of docs/acceptance.md.
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
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				f := newFixture(t)
				f.serveClients()
				conn := f.dial()
				write(t, conn, request("first"))
				first := f.attempt()
				if _, err := io.WriteString(conn, unread); err != nil && unread == "" {
					t.Fatal(err)
				}
				if len(unread) == len(pipelined) {
					eventually(t, longWaitLimit, "all that may wait do", func() bool {
						return f.loop.OpenRequests() == maxPipeline
					})
				}
				hangUp(t, conn, reset)
				left++
				select {
				case <-first.gone:
				case <-time.After(waitLimit):
					forwarded++
					t.Error("its attempt goes on")
				}
				eventually(t, longWaitLimit, "it is forgotten", func() bool {
					return f.loop.OpenRequests() == 0 && len(f.server.OpenRequestIDs()) == 0 && f.server.Count() == 0
				})
			})
		}
	}
	t.Logf("%d clients left, %d requests of theirs went on", left, forwarded)
}

// A client sends much after a malformed command. It is read and discarded, so that no reset overtakes the error and
// the answers before it.
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
		t.Errorf("%q, %v", got, err)
	}
}

// A client sends a malformed command. Behind the error its connection ends at once: a whole request that came while it
// stayed open would count as taken, and never be answered. The least time of a few counts, since machines are busy.
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
		t.Errorf("it stays for %v", least)
	}
}
