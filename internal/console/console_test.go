package console

import (
	"errors"
	"io"
	"junctionwharf/internal/logging"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

func open(t *testing.T, calls Handlers) *Server {
	d, err := Listen("127.0.0.1:0", calls, logging.ToFunc(func(line string) { t.Log(line) }))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Close() })
	go d.Serve()
	return d
}

func dial(t *testing.T, d *Server, text string) net.Conn {
	conn, err := net.Dial("tcp", d.ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(conn, text)
	return conn
}

func ask(t *testing.T, d *Server, text string) string {
	got, err := io.ReadAll(dial(t, d, text))
	if err != nil {
		t.Errorf("%q: %v", text, err)
	}
	return string(got)
}

// Each connection carries one line and gets one answer, whatever the line.
func TestCalls(t *testing.T) {
	var taking atomic.Bool
	d := open(t, Handlers{Check: func() error {
		if !taking.Load() {
			return errors.New("starting")
		}
		return nil
	}, Vars: func() []byte { return []byte("edge_balancer.inflight:2|g\n") }})
	if got := ask(t, d, "check\n"); got != "FAILURE starting\n" {
		t.Errorf("%q", got)
	}
	taking.Store(true)
	for call, want := range map[string]string{"check\n": "SUCCESS\n", "check\r\n": "SUCCESS\n", "vars\n": "edge_balancer.inflight:2|g\nEOT\n",
		"\n": "FAILURE unknown call: check or vars\n", "drop all\n": "FAILURE unknown call: check or vars\n"} {
		if got := ask(t, d, call); got != want {
			t.Errorf("%q: %q, want %q", call, got, want)
		}
	}
	if got := ask(t, d, strings.Repeat("x", lineBytes)); got != "FAILURE the line is too long\n" {
		t.Errorf("a long line: %q", got)
	}
}

// Guards against callers that hold connections without a whole call: the oldest of them give way, and a fault in one
// call harms no other.
func TestHeldConnections(t *testing.T) {
	d := open(t, Handlers{Check: func() error { return nil }, Vars: func() []byte { panic("fault") }})
	var held []net.Conn
	for range 3 * most {
		held = append(held, dial(t, d, "che"))
	}
	if got := ask(t, d, "vars\n"); got != "" {
		t.Errorf("%q", got)
	}
	if got := ask(t, d, "check\n"); got != "SUCCESS\n" {
		t.Errorf("%q", got)
	}
	if _, err := held[0].Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the oldest: %v", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.waiting) > most {
		t.Errorf("%d are held", len(d.waiting))
	}
}
