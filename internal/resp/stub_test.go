package resp

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"junctionwharf/broker"
	"junctionwharf/internal/pool"
	"junctionwharf/scheduler"
)

// heldTransport is a transport whose attempts the test answers.
type heldTransport struct {
	attempts chan *heldAttempt
	// marksForwarded makes Start record, as Transport does, that the command was sent to a node.
	marksForwarded bool
}

// heldAttempt is an attempt that waits until the test answers it.
type heldAttempt struct {
	broker.Attempt
	onResult func(broker.Result)
	gone     chan struct{} // closed when the attempt is stopped or cancelled
	once     sync.Once     // guards the close of gone
}

func (h *heldTransport) Start(a broker.Attempt, onResult func(broker.Result)) broker.Handle {
	if h.marksForwarded {
		a.Request.Message.(*command).forwarded = true
	}
	attempt := &heldAttempt{Attempt: a, onResult: onResult, gone: make(chan struct{})}
	h.attempts <- attempt
	return attempt
}

func (h *heldTransport) CheckHealth(string, func(broker.Result)) {}
func (h *heldTransport) CloseIdle(string)                        {}

func (a *heldAttempt) Stop() broker.Progress {
	a.once.Do(func() { close(a.gone) })
	return broker.NotConnected
}

func (a *heldAttempt) StopSending() {}

func (a *heldAttempt) CancelUnlessWritten() {
	a.once.Do(func() { close(a.gone) })
	cancelled := &broker.AttemptError{Progress: broker.NotConnected, Err: errors.New("cancelled")}
	go a.onResult(broker.Result{Err: cancelled})
}

// serve answers the attempt with the value v.
func (a *heldAttempt) serve() {
	a.onResult(broker.Result{Value: []byte("v"), Load: scheduler.NoLoadReport})
}

// fixture is a server on loopback sockets, with a transport whose attempts the test answers.
type fixture struct {
	*testing.T
	server    *Server
	loop      *broker.Loop
	listener  net.Listener
	transport *heldTransport
}

// servedValue is the encoded answer to a request whose attempt was answered by heldAttempt.serve.
const servedValue = "$1\r\nv\r\n"

func newFixture(t *testing.T) *fixture {
	t.Helper()
	settings := scheduler.Settings{
		Brokers:   1,
		MeanUnits: 2,
		MaxUnits:  8,
		Classes: []scheduler.Class{
			{Name: "read", LatencyObjective: 5 * time.Second, Deadline: 10 * time.Second, PriorityWeight: 1},
			{
				Name: "write", LatencyObjective: 5 * time.Second, Deadline: 10 * time.Second, PriorityWeight: 1,
				Idempotency: scheduler.NotIdempotent,
			},
		},
		Plans:        []scheduler.Plan{{Name: "plan", Rate: 1e6, ReservedRate: 1e6, Weight: 1, Price: 1}},
		Capabilities: scheduler.Capabilities{MaxAttempts: 3},
	}
	state, err := broker.NewState(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{T: t, transport: &heldTransport{attempts: make(chan *heldAttempt, 256)}}
	f.loop = broker.NewLoop(state, broker.NewClock(), f.transport, broker.Dependencies{})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.loop.Run(ctx)
	node := broker.Node{Endpoint: scheduler.Endpoint{Name: "n", Weight: 1}, Address: "192.0.2.1:1"}
	f.loop.Post(broker.NodesListed{Kind: scheduler.FullUpdate, Version: 1, Nodes: []broker.Node{node}})
	f.server = NewServer(f.loop, NewRequestLimits(settings, 0), 200, 200, 1<<20, testLogger(t))
	f.listener = listen(t)
	return f
}

// serveClients serves clients on the fixture's listener until the test ends.
func (f *fixture) serveClients() {
	go func() { _ = f.server.Serve(f.listener) }() // returns when the listener is closed
}

func (f *fixture) dial() *net.TCPConn {
	f.Helper()
	return dial(f.T, f.listener.Addr().String(), longWaitLimit)
}

// request encodes a read that is within the fixture's limits.
func request(id string) string {
	return bulk(commandRead, testKey, id, "c=read,t=plan,d=9000,volume=00000003b4d60021,units=1,shard=0,hosts=1")
}

// writeRequest encodes a write that must not run twice.
func writeRequest(id string) string {
	const options = "c=write,t=plan,d=9000,volume=00000003b4d60021,units=1,shard=0,hosts=1"
	return bulk(commandWrite, testKey, id, options, "body")
}

// attempt returns the next attempt that the loop starts.
func (f *fixture) attempt() *heldAttempt {
	f.Helper()
	select {
	case attempt := <-f.transport.attempts:
		return attempt
	case <-time.After(longWaitLimit):
		f.Fatal("the loop started no attempt")
		return nil
	}
}

// failFirst is a command reader whose first read fails.
type failFirst struct {
	commandSource
	err error
}

func (r *failFirst) ReadCommand() (redcon.Command, error) {
	if err := r.err; err != nil {
		r.err = nil
		return redcon.Command{}, err
	}
	return r.commandSource.ReadCommand()
}

// accept returns a client of the server, whose goroutines do not run yet, and its peer. If firstError is not nil, the
// client's first read of a command fails with it.
func (f *fixture) accept(firstError error) (*client, *net.TCPConn) {
	f.Helper()
	peer := f.dial()
	conn, err := f.listener.Accept()
	if err != nil {
		f.Fatal(err)
	}
	guard := &inputGuard{Conn: conn, detached: true}
	c := newClient(f.server, guard)
	c.reader = &failFirst{c.reader, firstError}
	c.awaitingFirst = f.server.Add(c)
	guard.phase.Store(waitingForCommand)
	return c, peer
}

// start runs a client's goroutines.
func (c *client) start() {
	go c.write()
	go c.read()
}

// expectInput waits until a client's socket has unread input.
func (f *fixture) expectInput(c *client) {
	f.Helper()
	eventually(f.T, longWaitLimit, "input has arrived", func() bool { return !pool.IsQuiet(c.socket) })
}

// expectNoClients waits until all connections have ended.
func (f *fixture) expectNoClients() {
	f.Helper()
	eventually(f.T, longWaitLimit, "all connections have ended", func() bool { return f.server.Count() == 0 })
}
