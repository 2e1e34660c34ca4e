package conformance

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/logging"
	"junctionwharf/internal/pool"
	"junctionwharf/scheduler"
)

const (
	drainGrace = 800 * time.Millisecond
	slack      = 400 * time.Millisecond // of a loaded machine
	coldUnits  = 12.0
)

type kind int

const (
	read kind = iota
	write
	listing
)

var waits = map[kind]time.Duration{read: 900 * time.Millisecond, write: time.Second, listing: 1500 * time.Millisecond}

func settings() scheduler.Settings {
	class := func(name string, k kind, effect scheduler.Idempotency) scheduler.Class {
		return scheduler.Class{Name: name, LatencyObjective: waits[k] - 100*time.Millisecond, Deadline: waits[k], PriorityWeight: 1, Idempotency: effect}
	}
	return scheduler.Settings{Brokers: 1, MeanUnits: 2, MaxUnits: 8, SlowStartUnits: coldUnits,
		Classes:      []scheduler.Class{class("read", read, scheduler.Idempotent), class("write", write, scheduler.NotIdempotent), class("list", listing, scheduler.Idempotent)},
		Plans:        []scheduler.Plan{{Name: "plan", Rate: 1000, ReservedRate: 1000, Weight: 1, Price: 1}},
		Capabilities: scheduler.Capabilities{MaxAttempts: 3, Cancel: true, RetryAfter: true, MaxRetryAfter: time.Second},
		Rules: scheduler.Rules{AnswerSlack: 50 * time.Millisecond, DrainGrace: drainGrace, WarmUpTime: 10 * time.Second,
			InitialCapacity: 0.2, OverloadWindow: 3 * time.Second, OverloadMultiple: 4}}
}

// unitsOf is the size of a request of a stand-in client: those named c… are large.
func unitsOf(id string) int {
	if strings.HasPrefix(id, "c") {
		return 8
	}
	return 2
}

type front interface {
	Serve(net.Listener) error
	Drain()
	Close()
	Count() int
}

type client interface {
	prepare(t *testing.T, ids ...string)
	send(id string, k kind)
	receive() (verdict, error)
	quiet() error // nothing more comes
	close()
}

type protocol interface {
	name() string
	transport(pool.Options) broker.Transport
	front(*broker.Loop, broker.Transport, *slog.Logger) front
	retune(f front, c client, set scheduler.Settings, class string) // has both follow settings; reads are of that class
	node(net.Conn, string, *world)
	client(*testing.T, string) client
	nuisances() map[string]string // texts that are no command, by what is wrong with them
}

// bench is a broker between a stand-in client and two stand-in nodes of one shard.
type bench struct {
	*testing.T
	protocol
	world   *world
	loop    *broker.Loop
	clock   *broker.Clock
	front   front
	address string
	nodes   []broker.Node
	client  client
}

func newBench(t *testing.T, p protocol) *bench {
	b := &bench{T: t, protocol: p, world: newWorld(), clock: broker.NewClock()}
	state, err := broker.NewState(settings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	via := p.transport(pool.Options{ConnectTimeout: 500 * time.Millisecond, IdleTimeout: 30 * time.Second, MaxConnections: 64,
		Logger: logging.ToFunc(func(line string) { t.Error(line) })})
	b.loop = broker.NewLoop(state, b.clock, via, broker.Dependencies{})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go b.loop.Run(ctx)
	for _, name := range []string{"n1", "n2"} {
		ln := listen(t)
		go accept(ln, func(conn net.Conn) { p.node(conn, name, b.world) })
		b.nodes = append(b.nodes, broker.Node{Endpoint: scheduler.Endpoint{Name: name, Weight: 1}, Address: ln.Addr().String()})
	}
	ln := listen(t)
	b.address = ln.Addr().String()
	b.front = p.front(b.loop, via, logging.ToFunc(func(line string) { t.Log(line) }))
	go func() { _ = b.front.Serve(ln) }()
	b.list(b.nodes...)
	b.client = p.client(t, b.address)
	return b
}

func listen(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// accept hands on each connection that comes.
func accept(ln net.Listener, take func(net.Conn)) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go take(conn)
	}
}

func (b *bench) list(nodes ...broker.Node) {
	b.loop.Post(broker.NodesListed{Kind: scheduler.FullUpdate, Version: 1, Nodes: nodes})
}

// drain tells the broker that one node drains.
func (b *bench) drain(name string) {
	nodes := append([]broker.Node(nil), b.nodes...)
	for i := range nodes {
		if nodes[i].Name == name {
			nodes[i].State = scheduler.Draining
		}
	}
	b.world.mu.Lock()
	b.world.drained[name] = time.Now()
	b.world.mu.Unlock()
	b.list(nodes...)
}

// run sends requests one behind another without waiting, takes all answers and judges all rules.
func (b *bench) run(k kind, ids ...string) []final {
	b.Helper()
	began := time.Now()
	for _, id := range ids {
		b.client.send(id, k)
	}
	var finals []final
	for _, id := range ids {
		v, err := b.client.receive()
		finals = append(finals, final{id: id, write: k == write, verdict: v, wait: waits[k], took: time.Since(began), err: err})
	}
	if err := b.client.quiet(); err != nil {
		b.Error(err)
	}
	b.world.check(b.T, finals)
	return finals
}

func (b *bench) want(finals []final, wants ...verdict) {
	b.Helper()
	for i, f := range finals {
		if f.verdict != wants[i] {
			b.Errorf("%s was %s, want %s", f.id, f.verdict, wants[i])
		}
	}
}

// first plays one behaviour at the first visit of each request and serves the later ones.
func first(do behaviour) func(string, string, int) behaviour {
	return func(_, _ string, visit int) behaviour {
		if visit == 0 {
			return do
		}
		return serve
	}
}

var scenarios = []struct {
	name string
	run  func(*bench)
}{
	{"served", func(b *bench) {
		b.client.prepare(b.T, "r", "w", "dir")
		b.want(b.run(write, "w"), served)
		b.world.play(first(serve))
		b.want(b.run(read, "w"), served)
		b.want(b.run(listing, "dir"), served)
	}},
	{"turned away, then served", func(b *bench) {
		b.client.prepare(b.T, "w")
		b.world.play(first(turnAway))
		b.want(b.run(write, "w"), served)
	}},
	{"a write that ran and lost its answer is never sent again", func(b *bench) {
		b.client.prepare(b.T, "w")
		b.world.play(first(cutAfter))
		b.want(b.run(write, "w"), failed)
		if n := b.world.count("w"); n != 1 {
			b.Errorf("sent %d times", n)
		}
	}},
	{"a write cut mid-transfer has at most one effect", func(b *bench) {
		b.client.prepare(b.T, "w")
		b.world.play(first(cutMid))
		b.run(write, "w") // served or failed: the wires differ in what the broker can know
	}},
	{"a write whose answer is spoilt is never sent again", func(b *bench) {
		b.client.prepare(b.T, "w")
		b.world.play(first(spoil))
		b.want(b.run(write, "w"), failed)
		if n := b.world.count("w"); n != 1 {
			b.Errorf("sent %d times", n)
		}
	}},
	{"a read whose answer is spoilt is sent again", func(b *bench) {
		b.client.prepare(b.T, "r")
		b.world.play(first(spoil))
		b.want(b.run(read, "r"), served)
	}},
	{"a second copy of an answer answers no other request", func(b *bench) {
		ids := []string{"w1", "w2", "w3"}
		b.client.prepare(b.T, ids...)
		b.world.play(first(repeat))
		for _, id := range ids {
			b.want(b.run(write, id), served)
		}
	}},
	{"bad clients end in time and cost the others nothing", func(b *bench) {
		b.client.prepare(b.T, "r1", "r2")
		b.world.play(func(_, id string, _ int) behaviour {
			if id == "hang" {
				return hang
			}
			return serve
		})
		ended := make(chan string)
		texts := b.nuisances()
		for what, text := range texts {
			conn, err := net.Dial("tcp", b.address)
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() { _ = conn.Close() })
			_ = conn.SetDeadline(time.Now().Add(3*time.Second + slack))
			go func() {
				_, _ = io.WriteString(conn, text)
				if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
					ended <- what
					return
				}
				ended <- ""
			}()
		}
		b.want(b.run(read, "r1"), served)
		for range texts {
			if what := <-ended; what != "" {
				b.Errorf("%s: the connection is open after 3 s", what)
			}
		}
		b.want(b.run(read, "r2"), served)
		eventually(b.T, "nothing of them is left", func() bool { return b.loop.OpenRequests() == 0 && b.front.Count() == 1 })
	}},
	{"a read that lost its answer is sent again", func(b *bench) {
		b.client.prepare(b.T, "r")
		b.world.play(first(cutAfter))
		b.want(b.run(read, "r"), served)
	}},
	{"silence ends in an answer before the deadline", func(b *bench) {
		b.client.prepare(b.T, "r", "w")
		b.world.play(func(string, string, int) behaviour { return hang })
		b.want(b.run(write, "w"), failed)
		if f := b.run(read, "r"); f[0].verdict == served {
			b.Error("a silent node served")
		}
	}},
	{"new settings hold for what comes, and requests under way keep their class", func(b *bench) {
		b.client.prepare(b.T, "r", "r1", "r2")
		release := make(chan struct{})
		b.world.play(func(_, id string, _ int) behaviour {
			if id == "r" {
				<-release
			}
			return serve
		})
		b.client.send("r", read)
		eventually(b.T, "the request is taken", func() bool { return b.loop.OpenRequests() == 1 })
		set := settings()
		set.Classes[0].Name = "newer"
		b.loop.Post(broker.SettingsChanged{Settings: set})
		b.retune(b.front, b.client, set, "newer")
		close(release)
		v, err := b.client.receive()
		b.world.check(b.T, []final{{id: "r", verdict: v, err: err, wait: waits[read]}})
		b.want([]final{{id: "r", verdict: v}}, served)
		b.want(b.run(read, "r1"), served)
		counts := map[string]uint64{}
		for _, f := range b.loop.Metrics.Read() {
			counts[f.Name] = f.Value
		}
		if counts["success.newer"] != 1 || counts["success.read"] == 0 {
			b.Errorf("counted %v", counts)
		}
	}},
	{"a node that refuses connections has run nothing", func(b *bench) {
		ids := []string{"w1", "w2", "w3"}
		b.client.prepare(b.T, ids...)
		gone := listen(b.T)
		_ = gone.Close()
		moved := b.nodes[0]
		moved.Address = gone.Addr().String()
		b.list(moved, b.nodes[1])
		b.world.play(first(serve))
		b.want(b.run(write, ids...), served, served, served)
	}},
	{"requests behind one another are all answered", func(b *bench) {
		ids := []string{"a", "b", "c", "e"}
		b.client.prepare(b.T, ids...)
		b.world.play(first(serve))
		b.want(b.run(write, ids...), served, served, served, served)
	}},
	{"an attempt that later ones overtook is ended before the next", func(b *bench) {
		ids := []string{"r", "r1", "r2", "r3", "r4", "r5"}
		b.client.prepare(b.T, ids...)
		b.list(b.nodes[0])
		b.world.play(func(_, id string, visit int) behaviour {
			if id == "r" && visit == 0 {
				return hang
			}
			return serve
		})
		b.want(b.run(read, ids...), served, served, served, served, served, served)
		if n := b.world.count("r"); n != 2 {
			b.Errorf("sent %d times, want 2", n)
		}
	}},
	{"a draining node gets nothing new", func(b *bench) {
		b.client.prepare(b.T, "dir", "r")
		b.world.play(func(node, id string, visit int) behaviour {
			if id == "dir" && visit == 0 {
				return drip
			}
			return serve
		})
		b.client.send("dir", listing)
		b.world.awaitVisits(b.T, "dir", 1)
		b.world.mu.Lock()
		at := b.world.visits[0].node
		b.world.mu.Unlock()
		b.drain(at)
		began := time.Now()
		v, err := b.client.receive()
		b.world.check(b.T, []final{{id: "dir", verdict: v, err: err, wait: waits[listing], took: time.Since(began)}})
		if b.name() == "sftp" && v != served {
			b.Errorf("the listing was %s, want it served by the other node", v)
		}
		b.run(read, "r")
		b.world.mu.Lock()
		defer b.world.mu.Unlock()
		for _, visit := range b.world.visits[1:] {
			if visit.node == at {
				b.Errorf("%s went to the draining node", visit.id)
			}
		}
	}},
	{"a cold node is not pushed over", func(b *bench) {
		var ids []string
		for i := range 16 {
			ids = append(ids, fmt.Sprint("c", i))
		}
		b.client.prepare(b.T, ids...)
		cold := b.nodes[0]
		cold.LastStart = b.clock.Now()
		b.world.play(func(string, string, int) behaviour { return hang }) // an answer would prove capacity
		b.list(cold)
		b.run(read, ids...)
		b.world.mu.Lock()
		defer b.world.mu.Unlock()
		sum := 0.0
		for _, v := range b.world.visits {
			sum += float64(unitsOf(v.id))
		}
		if sum == 0 || sum > coldUnits {
			b.Errorf("a cold node was sent %v units, want some and at most %v", sum, coldUnits)
		}
	}},
	{"a client that leaves frees its requests", func(b *bench) {
		b.client.prepare(b.T, "r")
		b.world.play(func(string, string, int) behaviour { return hang })
		b.client.send("r", read)
		b.world.awaitVisits(b.T, "r", 1)
		b.client.close()
		eventually(b.T, "the request is forgotten", func() bool { return b.loop.OpenRequests() == 0 && b.front.Count() == 0 })
	}},
	{"what was taken before a stop is answered", func(b *bench) {
		b.client.prepare(b.T, "w")
		release := make(chan struct{})
		b.world.play(func(string, string, int) behaviour { <-release; return serve })
		b.client.send("w", write)
		eventually(b.T, "the request is taken", func() bool { return b.loop.OpenRequests() == 1 })
		b.front.Drain()
		close(release)
		v, err := b.client.receive()
		b.world.check(b.T, []final{{id: "w", write: true, verdict: v, err: err, wait: waits[write]}})
		eventually(b.T, "the connection is closed", func() bool { return b.front.Count() == 0 })
		late := b.protocol.client(b.T, b.address) // its request crossed the end of its connection
		b.world.play(first(serve))
		if late.prepare(b.T, "r"); b.name() == "resp" { // to prepare is a file client's first command
			late.send("r", read)
			v, err = late.receive()
			b.world.check(b.T, []final{{id: "r", verdict: v, err: err, wait: waits[read]}})
		}
		b.front.Close()
		eventually(b.T, "all connections are closed", func() bool { return b.front.Count() == 0 })
		if _, err := net.Dial("tcp", b.address); err == nil {
			b.Error("the front still listens")
		}
	}},
}

func eventually(t *testing.T, what string, fits func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !fits(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// TestRules runs each scenario over both wires with the same checks.
func TestRules(t *testing.T) {
	for _, s := range scenarios {
		for _, p := range []protocol{respProtocol{}, sftpProtocol{&files{data: map[string][]byte{}}}} {
			t.Run(strings.ReplaceAll(s.name, " ", "_")+"/"+p.name(), func(t *testing.T) {
				t.Parallel()
				s.run(newBench(t, p))
			})
		}
	}
}
