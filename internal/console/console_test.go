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

// dialAndSend connects and sends a text, which may be an incomplete call.
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
		t.Errorf("call %q: %v", text, err)
	}
	return string(answer)
}

// Each connection sends one line, valid or not, and receives exactly one answer.
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
		t.Errorf("check before clients are accepted: answer %q, want a failure with the handler's error", got)
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
			t.Errorf("call %q: answer %q, want %q", c.call, got, c.want)
		}
	}
}

// An agree call may be longer than other calls, up to maxAgreementLineBytes. The Agree handler answers it.
func TestLongAgreeCall(t *testing.T) {
	s := startServer(t, Handlers{
		Check: func() error { return nil },
		Agree: func(call string) []byte { return []byte(call + "\n") },
	})
	proposal := "propose " + strings.Repeat("x", 10*maxLineBytes)
	if got := answerTo(t, s, "agree "+proposal+"\n"); got != proposal+"\nEOT\n" {
		t.Errorf("answer to a long agree call: %d bytes, want %d", len(got), len(proposal)+len("\nEOT\n"))
	}
	// The call has no line end and is as long as the server reads: unread bytes would reset the connection.
	tooLong := "agree " + strings.Repeat("x", maxAgreementLineBytes-len("agree "))
	if got := answerTo(t, s, tooLong); got != "FAILURE the line is too long\n" {
		t.Errorf("answer to a call that is too long: %q, want a failure", got)
	}
}

// Clients open more connections than the server keeps and send incomplete calls. The handler of one more call panics.
// The server closes the oldest connections and still answers a complete call.
func TestHeldConnectionsAreEvicted(t *testing.T) {
	s := startServer(t, Handlers{Check: func() error { return nil }, Vars: func() []byte { panic("fault") }})
	var held []net.Conn
	for range 3 * maxConnections {
		held = append(held, dialAndSend(t, s, "che"))
	}
	if got := answerTo(t, s, "vars\n"); got != "" {
		t.Errorf("answer of a handler that panics: %q, want none", got)
	}
	if got := answerTo(t, s, "check\n"); got != "SUCCESS\n" {
		t.Errorf("answer to check: %q, want SUCCESS", got)
	}
	if _, err := held[0].Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read from the oldest connection: error %v, want a closed connection", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) > maxConnections {
		t.Errorf("%d connections are open, want at most %d", len(s.open), maxConnections)
	}
}
