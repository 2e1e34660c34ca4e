package clientconn

import (
	"io"
	"net"
	"testing"
	"time"
)

// Settings are replaced while input of a connection is partly read, partly unread. Input up to that moment must keep
// the settings that it came under, and later input must get the next ones.
func TestInputKeepsItsGeneration(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	peer, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	var generations InputGenerations[string]
	send := func(text string, total int) {
		t.Helper()
		if _, err := io.WriteString(peer, text); err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(5 * time.Second); unreadBytes(conn) < total; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the input did not arrive")
			}
		}
	}
	send("0123456789", 10)
	n, err := io.ReadFull(conn, make([]byte, 4))
	if err != nil {
		t.Fatal(err)
	}
	generations.Received(n)
	generations.Replace(conn, "first")
	send("abcde", 11)
	generations.Replace(conn, "second")
	send("fgh", 14)
	for _, test := range []struct {
		end  int64
		want string
	}{{1, "first"}, {10, "first"}, {11, "second"}, {15, "second"}, {16, "third"}, {18, "third"}} {
		if got := generations.At(test.end, "third"); got != test.want {
			t.Errorf("a command up to byte %d came under the settings %q, want %q", test.end, got, test.want)
		}
	}
	for range 3 * maxUnreadGenerations {
		generations.Replace(conn, "again")
	}
	if kept := len(generations.earlier); kept != maxUnreadGenerations {
		t.Errorf("%d generations are kept, want %d", kept, maxUnreadGenerations)
	}
}
