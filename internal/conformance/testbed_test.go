package conformance

import (
	"context"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/logging"
	"junctionwharf/internal/pool"
	"junctionwharf/scheduler"
)

const (
	// drainGrace is how long a draining node may be sent the rest of attempts that began before the drain.
	drainGrace = 800 * time.Millisecond
	// slack is the additional time that each check of a time allows, since the machine may be busy.
	slack = 400 * time.Millisecond
	// slowStartUnits is the number of units that a started node may be sent before it has answered.
	slowStartUnits = 12.0
)

// requestKind is a kind of request that both protocols have.
type requestKind int

const (
	read requestKind = iota
	write
	listing
)

var deadlines = map[requestKind]time.Duration{
	read:    900 * time.Millisecond,
	write:   time.Second,
	listing: 1500 * time.Millisecond,
}

func settings() scheduler.Settings {
	class := func(name string, k requestKind, idempotency scheduler.Idempotency) scheduler.Class {
		return scheduler.Class{
			Name:             name,
			LatencyObjective: deadlines[k] - 100*time.Millisecond,
			Deadline:         deadlines[k],
			PriorityWeight:   1,
			Idempotency:      idempotency,
		}
	}
	return scheduler.Settings{
		Brokers:        1,
		MeanUnits:      2,
		MaxUnits:       8,
		SlowStartUnits: slowStartUnits,
		Classes: []scheduler.Class{
			class("read", read, scheduler.Idempotent),
			class("write", write, scheduler.NotIdempotent),
			class("list", listing, scheduler.Idempotent),
		},
		Plans: []scheduler.Plan{{Name: "plan", Rate: 1000, ReservedRate: 1000, Weight: 1, Price: 1}},
		Capabilities: scheduler.Capabilities{
			MaxAttempts: 3, Cancel: true, RetryAfter: true, MaxRetryAfter: time.Second,
		},
		Rules: scheduler.Rules{
			AnswerSlack:      50 * time.Millisecond,
			DrainGrace:       drainGrace,
			WarmUpTime:       10 * time.Second,
			InitialCapacity:  0.2,
			OverloadWindow:   3 * time.Second,
			OverloadMultiple: 4,
		},
	}
}

// unitsOf returns the size in units of a fake client's request. Requests whose ID begins with c are large.
func unitsOf(id string) int {
	if strings.HasPrefix(id, "c") {
		return 8
	}
	return 2
}

// server is the protocol server under test.
type server interface {
	Serve(net.Listener) error
	Drain()
	Close()
	Count() int
}

// client is a fake client on one connection.
type client interface {
	// prepare opens the files and directories that the requests need.
	prepare(t *testing.T, ids ...string)
	send(id string, k requestKind)
	// sendRefused sends commands that are well framed and cannot be accepted, one of them with the ID of an open
	// request. It returns their number.
	sendRefused(openID string) (count int)
	receive() (outcome, error)
	// expectNoMoreAnswers returns an error if another answer arrives.
	expectNoMoreAnswers() error
	close()
}

// protocol is the protocol-specific part of the suite.
type protocol interface {
	name() string
	transport(pool.Options) broker.Transport
	server(*broker.Loop, broker.Transport, *slog.Logger) server
	// applySettings sets new settings at the server and the client. Reads are then of the given class.
	applySettings(s server, c client, set scheduler.Settings, class string)
	// serveNode serves one connection of a fake node.
	serveNode(conn net.Conn, name string, r *recorder)
	client(*testing.T, string) client
	// malformedInputs returns malformed texts, by a description of what is wrong with them.
	malformedInputs() map[string]string
}

// testbed is a broker between a fake client and two fake nodes of one shard. The test's cleanup cancels the broker's
// loop and closes the listeners, which ends the goroutines.
type testbed struct {
	*testing.T
	protocol protocol
	recorder *recorder
	loop     *broker.Loop
	clock    *broker.Clock
	server   server
	address  string
	nodes    []broker.Node
	client   client
}

func newTestbed(t *testing.T, p protocol) *testbed {
	t.Helper()
	b := &testbed{T: t, protocol: p, recorder: newRecorder(), clock: broker.NewClock()}
	state, err := broker.NewState(settings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	transport := p.transport(pool.Options{
		ConnectTimeout: 500 * time.Millisecond,
		IdleTimeout:    30 * time.Second,
		MaxConnections: 64,
		Logger:         logging.ToFunc(func(line string) { t.Error(line) }),
	})
	b.loop = broker.NewLoop(state, b.clock, transport, broker.Dependencies{})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go b.loop.Run(ctx)
	for _, name := range []string{"n1", "n2"} {
		listener := listen(t)
		go accept(listener, func(conn net.Conn) { p.serveNode(conn, name, b.recorder) })
		b.nodes = append(b.nodes, nodeAt(name, listener))
	}
	listener := listen(t)
	b.address = listener.Addr().String()
	b.server = p.server(b.loop, transport, logging.ToFunc(func(line string) { t.Log(line) }))
	go func() { _ = b.server.Serve(listener) }()
	b.list(b.nodes...)
	b.client = p.client(t, b.address)
	return b
}

func nodeAt(name string, listener net.Listener) broker.Node {
	return broker.Node{
		Endpoint: scheduler.Endpoint{Name: name, Weight: 1},
		Address:  listener.Addr().String(),
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// accept serves each connection in its own goroutine until the listener is closed.
func accept(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// list posts a new endpoint list to the broker.
func (b *testbed) list(nodes ...broker.Node) {
	b.loop.Post(broker.NodesListed{Kind: scheduler.FullUpdate, Version: 1, Nodes: nodes})
}

// drain notifies the broker that a node is draining.
func (b *testbed) drain(name string) {
	nodes := append([]broker.Node(nil), b.nodes...)
	for i := range nodes {
		if nodes[i].Name == name {
			nodes[i].State = scheduler.Draining
		}
	}
	b.recorder.mu.Lock()
	b.recorder.drainedAt[name] = time.Now()
	b.recorder.mu.Unlock()
	b.list(nodes...)
}

// run sends requests without waiting for answers in between, then receives all answers and checks the rules.
func (b *testbed) run(k requestKind, ids ...string) []result {
	b.Helper()
	start := time.Now()
	for _, id := range ids {
		b.client.send(id, k)
	}
	var results []result
	for _, id := range ids {
		results = append(results, b.receive(id, k, start))
	}
	if err := b.client.expectNoMoreAnswers(); err != nil {
		b.Error(err)
	}
	b.recorder.check(b.T, results)
	return results
}

// receive receives the answer to a request that was sent at start.
func (b *testbed) receive(id string, k requestKind, start time.Time) result {
	got, err := b.client.receive()
	return result{
		id:       id,
		write:    k == write,
		outcome:  got,
		deadline: deadlines[k],
		elapsed:  time.Since(start),
		err:      err,
	}
}

// want checks the outcomes of results.
func (b *testbed) want(results []result, outcomes ...outcome) {
	b.Helper()
	for i, r := range results {
		if r.outcome != outcomes[i] {
			b.Errorf("%s was %s, want %s", r.id, r.outcome, outcomes[i])
		}
	}
}

// eventually waits until condition is true, and fails the test after waitLimit.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	end := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(end) {
			t.Fatalf("condition not met in time: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}
