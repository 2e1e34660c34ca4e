package sftp

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"junctionwharf/internal/logging"
	"junctionwharf/internal/pool"
)

// A connection whose place is wanted, or whose broker drains, stays while a command waits, has come in part, or stands unread; once it
// is to end, a command that was being read is not taken.
func TestLeaveTakesNothingAlong(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	peer, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	plan := testPlan(t)
	s := newSession(NewServer(nil, nil, plan, 4, logging.Discard()), conn)
	s.ops = []*pending{{}}
	if s.Evict() {
		t.Error("it ends while a command waits")
	}
	s.ops = nil
	s.reading(true)
	if s.leave() {
		t.Error("it ends in the middle of a command")
	}
	s.reading(false)
	io.WriteString(peer, "x")
	for end := time.Now().Add(5 * time.Second); pool.IsQuiet(conn) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if s.Evict() {
		t.Error("it ends with bytes unread")
	}
	io.ReadFull(conn, make([]byte, 1)) // a command is read now
	if !s.Evict() {
		t.Error("it stays")
	}
	if err := s.submit(1, &operation{command: Stat, path: "/d/f"}, pass(1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("a command is taken: %v", err)
	}
}
