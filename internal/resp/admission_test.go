package resp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"junctionwharf/admission"
	"junctionwharf/broker"
	"junctionwharf/internal/logging"
	"junctionwharf/scheduler"
)

// oneWindow has admission control stay in its first window however slow the machine is: the time to come back grows from window to window
// with what is refused.
const oneWindow = int64(time.Hour / time.Microsecond)

// admissionServer serves a front with room for so many connections, whose admission control lets so many requests wait, and whose loop is never turned.
func admissionServer(t *testing.T, room, most int) (*Server, net.Conn) {
	t.Helper()
	set := scheduler.Settings{Brokers: 1, Classes: []scheduler.Class{{Name: "read", LatencyObjective: 150 * time.Millisecond}},
		Capabilities: scheduler.Capabilities{RetryAfter: true, MaxRetryAfter: time.Second}}
	state, err := broker.NewState(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	loop := broker.NewLoop(state, broker.NewClock(), nil, broker.Dependencies{Admission: admission.New(admission.Settings{MaxOpen: most, Window: oneWindow}, set)})
	terms := testTerms
	terms.After = 150_000
	f := NewServer(loop, terms, room, room, 1<<20, logging.ToFunc(func(line string) { t.Log(line) }))
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

// What admission control refuses is answered at once, in its turn behind what is owed, with a time to come back; the connection goes on.
func TestAdmissionRefuses(t *testing.T) {
	f, first := admissionServer(t, 8, 1)
	io.WriteString(first, ask(0))
	for end := time.Now().Add(5 * time.Second); f.loop.OpenRequests() < 1 && time.Now().Before(end); time.Sleep(time.Millisecond) {
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
	if open := f.OpenRequestIDs(); len(open) > 1 {
		t.Errorf("ids of refused requests stay open: %v", open)
	}
}

// A full front ends an idle connection by an end of file, not by a reset, and takes nothing that crosses it; one that has sent a
// part of a request gets its refusal first, so that its client knows that it was never taken.
func TestEndIsNoReset(t *testing.T) {
	for name, c := range map[string]struct{ before, greeting, crossing, want string }{
		"idle":     {pingText, "+PONG\r\n", ask(1), ""},
		"half way": {ask(1)[:30], "", ask(1)[30:], "-BUSY 150\r\n"},
	} {
		f, conn := admissionServer(t, 1, 10)
		io.WriteString(conn, c.before)
		in := bufio.NewReader(conn)
		greeting := make([]byte, len(c.greeting))
		if _, err := io.ReadFull(in, greeting); err != nil || string(greeting) != c.greeting {
			t.Fatalf("%s: %q, %v", name, greeting, err)
		}
		other, err := net.Dial("tcp", conn.RemoteAddr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer other.Close()
		if rest, err := io.ReadAll(in); err != nil || string(rest) != c.want {
			t.Errorf("%s: %q, %v", name, rest, err)
		}
		io.WriteString(conn, c.crossing)
		conn.Close()
		other.SetDeadline(time.Now().Add(5 * time.Second))
		io.WriteString(other, pingText) // it comes in once the first has ended
		if line, err := bufio.NewReader(other).ReadString('\n'); err != nil || line != "+PONG\r\n" {
			t.Errorf("%s: %q, %v", name, line, err)
		}
		if f.loop.OpenRequests() > 0 {
			t.Errorf("%s: a request was taken on a connection that had ended", name)
		}
	}
}
