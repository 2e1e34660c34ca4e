package resp

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"junctionwharf/admission"
	"junctionwharf/broker"
	"junctionwharf/internal/logging"
	"junctionwharf/scheduler"
)

// oneWindow has admission control stay in its first window however slow the machine is: the Retry-After time grows from
// window to window with what is rejected. In microseconds.
const oneWindow = int64(time.Hour / time.Microsecond)

// newAdmittingServer serves up to maxConnections with an admission control that lets maxOpen requests wait, and a loop
// that never runs.
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

// Admission control rejects a request. It is answered at once, in its turn after what is owed, with a time to come
// back, and its connection goes on.
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
	if open := server.OpenRequestIDs(); len(open) > 1 {
		t.Errorf("ids of rejected requests stay open: %v", open)
	}
}

// A full server evicts a connection. That is an end of file, not a reset, and nothing that crosses it is taken. A
// client that has sent a part of a request gets its rejection first, so that it knows that the request was never
// taken.
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
				t.Fatalf("%q, %v", greeting, err)
			}
			other := dial(t, address, waitLimit)
			if rest, err := io.ReadAll(conn); err != nil || string(rest) != test.want {
				t.Errorf("%q, %v", rest, err)
			}
			_, _ = io.WriteString(conn, test.crossing) // it may meet the end
			_ = conn.Close()
			write(t, other, pingText) // it is accepted once the first has ended
			expectLine(t, bufio.NewReader(other), pongLine)
			if server.loop.OpenRequests() > 0 {
				t.Error("a request was taken on a connection that had ended")
			}
		})
	}
}

// While the processor is the bottleneck a request is rejected unread, and counted like other rejections. None is
// rejected so while it is not.
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
	c := newClient(server, nil, &inputGuard{Conn: near})
	raw := []byte("*4\r\n$8\r\nBLK.READ\r\n$1\r\nx\r\n$1\r\ni\r\n$7\r\nc=w,t=p\r\n")
	loop.SubmitAdmitted(&broker.Request{Class: "w"}, func(broker.Response) {})
	if c.rejectOverload(raw) {
		t.Error("rejected without scheduling lag")
	}
	for !loop.Overloaded() { // admission control believes in a lag that lasts
		loop.RecordSchedulingLag(50_000)
	}
	answered := make(chan string, 1)
	go func() {
		line, _ := bufio.NewReader(far).ReadString('\n')
		answered <- line
	}()
	if !c.rejectOverload(raw) || <-answered != "-BUSY\r\n" {
		t.Error("not rejected")
	}
	if c.rejectOverload([]byte(pingText)) {
		t.Error("a greeting was rejected")
	}
	for _, metric := range loop.Metrics.Read() {
		if (metric.Name == "door_refused" || metric.Name == "busy.w") && metric.Value != 1 {
			t.Errorf("%s is %d", metric.Name, metric.Value)
		}
	}
}
