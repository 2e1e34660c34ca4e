package resp

import (
	"bufio"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"junctionwharf/admission"
	"junctionwharf/broker"
	"junctionwharf/internal/logging"
	"junctionwharf/scheduler"
)

// oneWindow is the length of an admission window in microseconds. It is longer than any test, even on a slow machine,
// because the Retry-After time grows from window to window with the number of rejected requests.
const oneWindow = int64(time.Hour / time.Microsecond)

// newAdmittingServer returns a server for up to maxConnections connections, and its address. Its admission control
// admits up to maxOpen open requests. Its loop never runs, so admitted requests stay open.
func newAdmittingServer(t *testing.T, maxConnections, maxOpen int) (*Server, string) {
	t.Helper()
	settings := scheduler.Settings{
		Brokers:      1,
		Classes:      []scheduler.Class{{Name: "read", LatencyObjective: 150 * time.Millisecond}},
		Capabilities: scheduler.Capabilities{RetryAfter: true, MaxRetryAfter: time.Second},
	}
	state, err := broker.NewState(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	controller := admission.New(admission.Settings{MaxOpen: maxOpen, Window: oneWindow}, settings)
	loop := broker.NewLoop(state, broker.NewClock(), nil, broker.Dependencies{Admission: controller})
	limits := testLimits
	limits.RetryAfter = 150_000
	server := NewServer(loop, limits, maxConnections, maxConnections, 1<<20, testLogger(t))
	return server, serve(t, server)
}

// A request that admission control rejects must be answered at once, after the pending answers to earlier requests, and
// with a Retry-After time. Its connection must stay open.
func TestAdmissionRejects(t *testing.T) {
	server, address := newAdmittingServer(t, 8, 1)
	write(t, dial(t, address, waitLimit), readWithID(0))
	eventually(t, waitLimit, "the request is open", func() bool { return server.loop.OpenRequests() == 1 })
	conn := dial(t, address, waitLimit)
	reader := bufio.NewReader(conn)
	for i := range 3 {
		write(t, conn, readWithID(i+1))
		expectLine(t, reader, "-BUSY 150\r\n")
	}
	write(t, conn, pingText+readWithID(4)+pingText+readWithID(5)+pingText)
	for _, want := range []string{pongLine, "-BUSY 150\r\n", pongLine, "-BUSY 150\r\n", pongLine} {
		expectLine(t, reader, want)
	}
	if open, _ := server.RequestIDs(); len(open) > 1 {
		t.Errorf("open IDs are %v, want only the ID of the first request", open)
	}
}

// When a full server evicts a connection, the client must read an end of file and not a reset. Input that arrives
// during the close must not be accepted. A client that has sent part of a request must get a rejection first, so that
// it knows that the request was not accepted.
func TestEvictionIsNoReset(t *testing.T) {
	for _, test := range []struct {
		name     string
		before   string
		greeting string
		crossing string
		want     string
	}{
		{"idle", pingText, pongLine, readWithID(1), ""},
		{"inside a command", readWithID(1)[:30], "", readWithID(1)[30:], "-BUSY 150\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			server, address := newAdmittingServer(t, 1, 10)
			conn := dial(t, address, waitLimit)
			write(t, conn, test.before)
			greeting := make([]byte, len(test.greeting))
			if _, err := io.ReadFull(conn, greeting); err != nil || string(greeting) != test.greeting {
				t.Fatalf("read greeting %q, %v, want %q", greeting, err, test.greeting)
			}
			other := dial(t, address, waitLimit)
			if rest, err := io.ReadAll(conn); err != nil || string(rest) != test.want {
				t.Errorf("read %q, %v, want %q", rest, err, test.want)
			}
			_, _ = io.WriteString(conn, test.crossing) // may fail, since the connection may already be closed
			_ = conn.Close()
			write(t, other, pingText) // this connection is accepted after the first one has ended
			expectLine(t, bufio.NewReader(other), pongLine)
			if server.loop.OpenRequests() > 0 {
				t.Error("a request was accepted on a connection that had ended")
			}
		})
	}
}

// While the processor is overloaded, requests must be rejected unparsed, and these rejections must be counted like
// others. At other times no request may be rejected unparsed.
func TestOverloadRejectsUnread(t *testing.T) {
	settings := scheduler.Settings{
		Brokers: 1,
		Classes: []scheduler.Class{{Name: "w", LatencyObjective: time.Second, Deadline: time.Second}},
	}
	state, err := broker.NewState(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	controller := admission.New(admission.Settings{MaxOpenOverloaded: 1}, settings)
	loop := broker.NewLoop(state, broker.NewClock(), nil, broker.Dependencies{Admission: controller})
	server := NewServer(loop, NewRequestLimits(settings, 0), 4, 4, 1<<20, logging.Discard())
	near, far := net.Pipe()
	c := newClient(server, &inputGuard{Conn: near})
	raw := []byte("*4\r\n$8\r\nBLK.READ\r\n$1\r\nx\r\n$1\r\ni\r\n$7\r\nc=w,t=p\r\n")
	loop.SubmitAdmitted(&broker.Request{Class: "w"}, func(broker.Response) {})
	if c.rejectOverload(raw) {
		t.Error("a request was rejected without scheduling lag")
	}
	for !loop.Overloaded() { // admission control reacts only to a lag that lasts
		loop.RecordSchedulingLag(50_000)
	}
	answered := make(chan string, 1)
	go func() {
		line, _ := bufio.NewReader(far).ReadString('\n')
		answered <- line
	}()
	if !c.rejectOverload(raw) || <-answered != "-BUSY\r\n" {
		t.Error("a request was not rejected with -BUSY under scheduling lag")
	}
	if c.rejectOverload([]byte(pingText)) {
		t.Error("a greeting was rejected")
	}
	expectMetrics(t, loop, map[string]uint64{"door_refused": 1, "busy.w": 1})
}

// An earlier write leaves its deadline on a connection. A rejection that the reader writes after this time must still
// reach the client.
func TestDirectReplyAfterAnOldWriteDeadline(t *testing.T) {
	f := newFixture(t)
	c, peer := f.accept(nil)
	if err := c.socket.SetWriteDeadline(longAgo); err != nil {
		t.Fatal(err)
	}
	if !c.beginDirectReply() || !c.writeDirectReply([]byte(pongLine), false) {
		t.Fatal("the answer was not written")
	}
	expectLine(t, bufio.NewReader(peer), pongLine)
}

// floodConn is the connection of a client that repeats one command without end and reads all answers at once.
type floodConn struct {
	net.Conn
	command string
	sent    int
	answers atomic.Int64
	ended   atomic.Bool
}

func (c *floodConn) Read(p []byte) (int, error) {
	if c.ended.Load() {
		return 0, io.EOF
	}
	n := copy(p, c.command[c.sent:])
	c.sent = (c.sent + n) % len(c.command)
	return n, nil
}

func (c *floodConn) Write(p []byte) (int, error) {
	c.answers.Add(1)
	return len(p), nil
}

func (c *floodConn) SetReadDeadline(time.Time) error  { return nil }
func (c *floodConn) SetWriteDeadline(time.Time) error { return nil }
func (c *floodConn) Close() error                     { return nil }

// Clients that sent large commands again the moment they were rejected kept the only processor for milliseconds at a
// time, since their reads never blocked, and requests of other clients got no answer in time. A reader must yield the
// processor after each rejection.
func TestRejectedFloodYields(t *testing.T) {
	const turns = 200
	f := newFixture(t)
	fillBudget(t, f.server)
	flood := &floodConn{command: largeWrite("flood")}
	c := newClient(f.server, &inputGuard{Conn: flood, detached: true})
	f.server.Add(c)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	defer flood.ended.Store(true)
	go c.read()
	eventually(t, waitLimit, "the first command is rejected", func() bool { return flood.answers.Load() > 0 })
	before := flood.answers.Load()
	for range turns {
		runtime.Gosched()
	}
	if got := flood.answers.Load() - before; got == 0 || got > 4*turns {
		t.Errorf("%d commands were rejected in %d turns of another goroutine, want about one each", got, turns)
	}
}
