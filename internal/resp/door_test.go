package resp

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"junctionwharf/admission"
	"junctionwharf/broker"
	"junctionwharf/internal/logs"
	"junctionwharf/logic"
)

// doorServer serves a front whose door lets so many requests wait, and whose loop is never turned.
func doorServer(t *testing.T, most int) (*Front, net.Conn) {
	t.Helper()
	set := logic.Settings{Hosts: 1, Classes: []logic.Class{{Name: "read", Aim: 150 * time.Millisecond}},
		Bounds: logic.Bounds{RetryAfter: true, MaxRetryAfter: time.Second}}
	state, err := broker.NewState(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	loop := broker.NewLoop(state, broker.NewClock(), nil, broker.Outside{Door: admission.New(admission.Settings{MostOpen: most}, set)})
	terms := testTerms
	terms.After = 150_000
	f := NewFront(loop, terms, 8, 8, 1<<20, logs.Func(func(line string) { t.Log(line) }))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go f.Serve(ln)
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	return f, conn
}

func ask(id int) string { return bulk("BLK.READ", "7f3a9c21e0b4d655", fmt.Sprint("id", id), listText) }

// What the door refuses is answered at once, in its turn behind what is owed, with a time to come back; the connection goes on.
func TestDoorRefuses(t *testing.T) {
	f, first := doorServer(t, 1)
	io.WriteString(first, ask(0))
	for end := time.Now().Add(5 * time.Second); f.loop.Open() < 1 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	conn, err := net.Dial("tcp", first.RemoteAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	in := bufio.NewReader(conn)
	expect := func(want string) {
		t.Helper()
		if line, err := in.ReadString('\n'); err != nil || line != want {
			t.Fatalf("%q, %v", line, err)
		}
	}
	for i := range 3 {
		io.WriteString(conn, ask(i+1))
		expect("-BUSY 150\r\n")
	}
	io.WriteString(conn, pingText+ask(4)+pingText+ask(5)+pingText)
	for _, want := range []string{"+PONG\r\n", "-BUSY 150\r\n", "+PONG\r\n", "-BUSY 150\r\n", "+PONG\r\n"} {
		expect(want)
	}
	if open := f.Open(); len(open) > 1 {
		t.Errorf("ids of refused requests stay open: %v", open)
	}
}

// The end of an idle connection is an end of file for its client, never a reset, whatever crosses it; one that has sent a part
// of a request gets its refusal. One whose request has come and was not read yet is not idle.
func TestEndIsNoReset(t *testing.T) {
	find := func(f *Front) *client {
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if g := f.Guests(); len(g) == 1 {
				return g[0].(*client)
			}
		}
		t.Fatal("no guest")
		return nil
	}
	settle := func(c *client, phase int32) {
		for end := time.Now().Add(5 * time.Second); c.guard.phase.Load() != phase; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the connection does not come to rest")
			}
		}
	}
	for name, c := range map[string]struct{ before, crossing, want string }{
		"idle":     {pingText, "", ""},
		"crossing": {pingText, ask(1), ""},
		"half way": {pingText + ask(1)[:30], ask(1)[30:], "-BUSY 150\r\n"},
	} {
		f, conn := doorServer(t, 10)
		io.WriteString(conn, c.before)
		in := bufio.NewReader(conn)
		if line, err := in.ReadString('\n'); err != nil || line != "+PONG\r\n" {
			t.Fatalf("%s: %q, %v", name, line, err)
		}
		guest := find(f)
		if strings.Contains(c.before, "BLK") {
			settle(guest, halfWay)
		} else {
			settle(guest, resting)
		}
		if !guest.End() {
			t.Fatalf("%s: not ended", name)
		}
		io.WriteString(conn, c.crossing)
		rest, err := io.ReadAll(in)
		if err != nil || string(rest) != c.want {
			t.Errorf("%s: %q, %v", name, rest, err)
		}
		if errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%s: a reset", name)
		}
		if f.loop.Open() > 0 {
			t.Errorf("%s: a request was taken on a connection that had ended", name)
		}
	}
}
