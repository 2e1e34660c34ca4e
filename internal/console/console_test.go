package console

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"junctionwharf/internal/logging"
)

func startServer(t *testing.T, handlers Handlers) *Server {
	t.Helper()
	s, err := Listen("127.0.0.1:0", handlers, logging.ToFunc(func(line string) { t.Log(line) }))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	go s.Serve()
	return s
}

// dialAndSend connects and sends a text, which may be less than a call.
func dialAndSend(t *testing.T, s *Server, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

func answerTo(t *testing.T, s *Server, text string) string {
	t.Helper()
	answer, err := io.ReadAll(dialAndSend(t, s, text))
	if err != nil {
		t.Errorf("%q: %v", text, err)
	}
	return string(answer)
}

// Each connection carries one line and gets one answer, whatever the line.
func TestEachLineGetsOneAnswer(t *testing.T) {
	var accepting atomic.Bool
	s := startServer(t, Handlers{
		Check: func() error {
			if !accepting.Load() {
				return errors.New("starting")
			}
			return nil
		},
		Vars: func() []byte { return []byte("edge_balancer.inflight:2|g\n") },
	})
	if got := answerTo(t, s, "check\n"); got != "FAILURE starting\n" {
		t.Errorf("%q", got)
	}
	accepting.Store(true)
	for _, c := range []struct{ call, want string }{
		{"check\n", "SUCCESS\n"},
		{"check\r\n", "SUCCESS\n"},
		{"vars\n", "edge_balancer.inflight:2|g\nEOT\n"},
		{"\n", "FAILURE unknown call: check or vars\n"},
		{"drop all\n", "FAILURE unknown call: check or vars\n"},
		{strings.Repeat("x", maxLineBytes), "FAILURE the line is too long\n"},
	} {
		if got := answerTo(t, s, c.call); got != c.want {
			t.Errorf("%q: %q, want %q", c.call, got, c.want)
		}
	}
}

// An agree call may be longer than others, up to a bound; its answer is that of the replicated configuration.
func TestLongAgreeCall(t *testing.T) {
	s := startServer(t, Handlers{
		Check: func() error { return nil },
		Agree: func(call string) []byte { return []byte(call + "\n") },
	})
	proposal := "propose " + strings.Repeat("x", 10*maxLineBytes)
	if got := answerTo(t, s, "agree "+proposal+"\n"); got != proposal+"\nEOT\n" {
		t.Errorf("%d bytes, want %d", len(got), len(proposal)+len("\nEOT\n"))
	}
	// Without an end of the line, so that the server has read all of it: unread bytes would reset the connection.
	tooLong := "agree " + strings.Repeat("x", maxAgreementLineBytes-len("agree "))
	if got := answerTo(t, s, tooLong); got != "FAILURE the line is too long\n" {
		t.Errorf("%q", got)
	}
}

// Callers hold more connections than the server keeps, without a whole call, and one call panics. The oldest
// connections are closed, and a whole call is answered all the same.
func TestHeldConnectionsAreEvicted(t *testing.T) {
	s := startServer(t, Handlers{Check: func() error { return nil }, Vars: func() []byte { panic("fault") }})
	var held []net.Conn
	for range 3 * maxConnections {
		held = append(held, dialAndSend(t, s, "che"))
	}
	if got := answerTo(t, s, "vars\n"); got != "" {
		t.Errorf("%q", got)
	}
	if got := answerTo(t, s, "check\n"); got != "SUCCESS\n" {
		t.Errorf("%q", got)
	}
	if _, err := held[0].Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the oldest: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) > maxConnections {
		t.Errorf("%d are held", len(s.open))
	}
}
