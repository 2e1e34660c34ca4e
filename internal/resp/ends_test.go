package resp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"junctionwharf/broker"
	"junctionwharf/internal/logging"
	"junctionwharf/internal/pool"
	"junctionwharf/scheduler"
)

// ending is a front over loopback sockets whose requests are answered, or not, as the test says.
type ending struct {
	*testing.T
	front *Server
	loop  *broker.Loop
	ln    net.Listener
	via   *held
}

// held is a transport whose attempts wait for the test.
type held struct {
	sent chan *attempt
}

type attempt struct {
	broker.Attempt
	done func(broker.Result)
	gone chan struct{} // closed when it is stopped or abandoned
	once sync.Once
}

func (h *held) Start(a broker.Attempt, done func(broker.Result)) broker.Handle {
	out := &attempt{Attempt: a, done: done, gone: make(chan struct{})}
	h.sent <- out
	return out
}

func (h *held) Probe(string, func(broker.Result)) {}
func (h *held) CloseIdle(string)                  {}

func (a *attempt) Stop() broker.Progress {
	a.once.Do(func() { close(a.gone) })
	return broker.NotConnected
}

func (a *attempt) StopSending() {}

func (a *attempt) CancelUnlessWritten() {
	a.once.Do(func() { close(a.gone) })
	go a.done(broker.Result{Err: &broker.AttemptError{Progress: broker.NotConnected, Err: errors.New("abandoned")}})
}

func (a *attempt) serve(value string) {
	a.done(broker.Result{Value: []byte(value), Load: scheduler.NoLoadReport})
}

func newEnding(t *testing.T) *ending {
	set := scheduler.Settings{Brokers: 1, MeanUnits: 2, MaxUnits: 8,
		Classes:      []scheduler.Class{{Name: "read", LatencyObjective: 5 * time.Second, Deadline: 10 * time.Second, PriorityWeight: 1}},
		Plans:        []scheduler.Plan{{Name: "plan", Rate: 1e6, ReservedRate: 1e6, Weight: 1, Price: 1}},
		Capabilities: scheduler.Capabilities{MaxAttempts: 3}}
	state, err := broker.NewState(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	e := &ending{T: t, via: &held{sent: make(chan *attempt, 256)}}
	e.loop = broker.NewLoop(state, broker.NewClock(), e.via, broker.Dependencies{})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go e.loop.Run(ctx)
	e.loop.Post(broker.NodesListed{Kind: scheduler.FullUpdate, Version: 1, Nodes: []broker.Node{{Endpoint: scheduler.Endpoint{Name: "n", Weight: 1}, Address: "192.0.2.1:1"}}})
	e.front = NewServer(e.loop, NewRequestLimits(set, 0), 200, 200, 1<<20, logging.ToFunc(func(line string) { t.Log(line) }))
	if e.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { e.ln.Close() })
	return e
}

func (e *ending) dial() *net.TCPConn {
	e.Helper()
	conn, err := net.Dial("tcp", e.ln.Addr().String())
	if err != nil {
		e.Fatal(err)
	}
	e.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn.(*net.TCPConn)
}

// askFor is a command that reads.
func askFor(id string) string {
	return bulk("BLK.READ", "7f3a9c21e0b4d655", id, "c=read,t=plan,d=9000,volume=00000003b4d60021,units=1,shard=0,hosts=1")
}

func (e *ending) next() *attempt {
	e.Helper()
	select {
	case a := <-e.via.sent:
		return a
	case <-time.After(10 * time.Second):
		e.Fatal("nothing was sent")
		return nil
	}
}

func (e *ending) until(what string, fits func() bool) {
	e.Helper()
	for end := time.Now().Add(10 * time.Second); !fits(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			e.Fatalf("never: %s", what)
		}
	}
}

// Requests stand in the kernel's queue when the front is closed: nobody has accepted their connections yet. They are taken, by the
// protocol, and get their answers; a connection made later is refused.
func TestCloseTakesTheQueue(t *testing.T) {
	e := newEnding(t)
	var conns []*net.TCPConn
	for i := range 40 {
		conn := e.dial()
		io.WriteString(conn, askFor(fmt.Sprint("q", i)))
		conns = append(conns, conn)
	}
	e.front.Drain()
	e.front.Close()
	served := make(chan error, 1)
	go func() { served <- e.front.Serve(e.ln) }()
	for range conns {
		e.next().serve("v")
	}
	for i, conn := range conns {
		if got, err := io.ReadAll(conn); string(got) != "$1\r\nv\r\n" || err != nil {
			t.Errorf("connection %d: %q, %v", i, got, err)
		}
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", e.ln.Addr().String()); err == nil {
		t.Error("it still listens")
	}
}

// parsed is what redcon hands over, with a first error of the test's.
type parsed struct {
	redcon.DetachedConn
	in    *redcon.Reader
	first error
}

func (p *parsed) ReadCommand() (redcon.Command, error) {
	if err := p.first; err != nil {
		p.first = nil
		return redcon.Command{}, err
	}
	return p.in.ReadCommand()
}

// accept returns a client of the front whose goroutines do not run yet, and its peer.
func (e *ending) accept(first error) (*client, *net.TCPConn) {
	e.Helper()
	peer := e.dial()
	conn, err := e.ln.Accept()
	if err != nil {
		e.Fatal(err)
	}
	g := &guard{Conn: conn, attached: true}
	c := newClient(e.front, &parsed{in: redcon.NewReader(g), first: first}, g)
	c.fresh = e.front.Add(c)
	g.phase.Store(resting)
	return c, peer
}

// arrived waits until what a peer wrote stands unread in a client's socket.
func (e *ending) arrived(c *client) {
	e.Helper()
	e.until("it has come", func() bool { return !pool.IsQuiet(c.guard.Conn) })
}

// The place of a connection is wanted behind an answer that its client has not read yet, and other requests cross the end. The answer
// is not lost to a reset, and the requests are refused, not sent on.
func TestEndSparesTheAnswer(t *testing.T) {
	e := newEnding(t)
	c, peer := e.accept(nil)
	c.asked = true
	io.WriteString(c.guard.Conn, "$1\r\nv\r\n")
	if !c.Evict() {
		t.Fatal("it does not end")
	}
	io.WriteString(peer, askFor("x")+askFor("y"))
	e.arrived(c)
	go c.write()
	go c.read()
	e.until("it has left", func() bool { return e.front.Count() == 0 })
	if got, err := io.ReadAll(peer); string(got) != "$1\r\nv\r\n-BUSY\r\n-BUSY\r\n" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	if n := len(e.via.sent) + e.loop.OpenRequests(); n > 0 {
		t.Errorf("%d requests were taken", n)
	}
}

// A request is read at the very moment at which its connection is to end: nobody but who reads can tell. Where the broker drains it is
// served, and where the place was given to another it is refused; only then the client reads an end of file.
func TestRequestReadAtTheEnd(t *testing.T) {
	for _, end := range []struct {
		how  leave
		want string
	}{{gently, "$1\r\nv\r\n"}, {evicted, "-BUSY\r\n"}} {
		e := newEnding(t)
		c, peer := e.accept(nil)
		c.asked = true
		if !c.part(end.how) {
			t.Fatal("it does not end")
		}
		c.guard.rest() // as if the read had ended just before it was woken
		io.WriteString(peer, askFor("x"))
		e.arrived(c)
		e.front.Drain()
		go c.write()
		go c.read()
		if end.how != evicted {
			e.next().serve("v")
		}
		if got, err := io.ReadAll(peer); string(got) != end.want || err != nil {
			t.Errorf("%d: %q, %v", end.how, got, err)
		}
		e.until("it has left", func() bool { return e.front.Count() == 0 })
	}
}

// A request has been read and is being taken, or has come and was not read: the connection does not end by the drain or for its
// place.
func TestRequestMeetsTheEnd(t *testing.T) {
	e := newEnding(t)
	e.front.Drain()
	c, peer := e.accept(nil)
	c.fresh, c.asked = false, true
	io.WriteString(peer, askFor("x"))
	e.arrived(c)
	if c.Evict() || c.endIfIdle() {
		t.Error("it ends with a request unread")
	}
	c.guard.phase.Store(working)
	if _, err := io.ReadFull(c.guard.Conn, make([]byte, len(askFor("x")))); err != nil || c.Evict() || c.endIfIdle() {
		t.Errorf("it ends while a request is taken (%v)", err)
	}
	c.guard.phase.Store(resting)
	if !c.endIfIdle() {
		t.Error("it stays with nothing owed")
	}
}

// A request has begun to come as the time of an idle connection is up. It is served.
func TestRequestMeetsTheIdleTime(t *testing.T) {
	e := newEnding(t)
	c, peer := e.accept(os.ErrDeadlineExceeded)
	c.asked = true
	text := askFor("x")
	io.WriteString(peer, text[:20])
	e.arrived(c)
	go c.write()
	go c.read()
	io.WriteString(peer, text[20:])
	e.next().serve("v")
	got := make([]byte, 7)
	if _, err := io.ReadFull(peer, got); err != nil || string(got) != "$1\r\nv\r\n" {
		t.Errorf("%q, %v", got, err)
	}
}

// hangUp ends a client's connection by an end of file or a reset.
func hangUp(conn *net.TCPConn, reset bool) {
	if reset {
		conn.SetLinger(0)
	}
	conn.Close()
}

// A client leaves while its requests wait, with more behind them than the broker reads: noise, which ends the reading; more requests
// than may wait on a connection; a part of one. Its attempts are abandoned, and nothing of it stays. The counts are those of the
// page of acceptance: leavers, and requests of theirs that were not given up.
func TestLeaversWithBytesBehind(t *testing.T) {
	many := ""
	for i := range maxPipeline + 40 {
		many += askFor(fmt.Sprint("m", i))
	}
	leavers, kept := 0, 0
	for name, behind := range map[string]string{"nothing": "", "a part": askFor("p")[:30], "noise": "nonsense", "much noise": string(make([]byte, 1<<20)),
		"many": many, "many and noise": many + "nonsense", "a class that is unknown": bulk("BLK.READ", "7f3a9c21e0b4d655", "u", "c=none,d=1")} {
		for _, reset := range []bool{false, true} {
			e := newEnding(t)
			go e.front.Serve(e.ln)
			conn := e.dial()
			io.WriteString(conn, askFor("first"))
			first := e.next()
			if _, err := io.WriteString(conn, behind); err != nil && behind == "" {
				t.Fatal(err)
			}
			if len(behind) == len(many) {
				e.until("all that may wait do", func() bool { return e.loop.OpenRequests() == maxPipeline })
			}
			hangUp(conn, reset)
			leavers++
			select {
			case <-first.gone:
			case <-time.After(5 * time.Second):
				kept++
				t.Errorf("%s, reset %v: its attempt goes on", name, reset)
			}
			e.until("it is forgotten", func() bool {
				e.front.mu.Lock()
				defer e.front.mu.Unlock()
				return e.loop.OpenRequests() == 0 && len(e.front.open) == 0 && e.front.Count() == 0
			})
		}
	}
	t.Logf("%d leavers, %d sent on", leavers, kept)
}

// What is behind a malformed command is read and dropped, so that no reset overtakes the error and the answers before it.
func TestErrorBeforeMuchNoise(t *testing.T) {
	e := newEnding(t)
	go e.front.Serve(e.ln)
	conn := e.dial()
	io.WriteString(conn, askFor("x"))
	a := e.next()
	if _, err := io.WriteString(conn, "nonsense"+string(make([]byte, 8<<20))); err != nil {
		t.Fatal(err)
	}
	a.serve("v")
	if got, err := io.ReadAll(conn); err != nil || string(got) != "$1\r\nv\r\n-ERR Protocol error: want arrays of bulk strings\r\n" {
		t.Errorf("%q, %v", got, err)
	}
}

// Behind the error for a malformed command the connection ends at once: a whole request that came while it stayed open would be taken,
// and never answered. The least time of a few counts, since machines are busy.
func TestErrorEndsAtOnce(t *testing.T) {
	e := newEnding(t)
	go e.front.Serve(e.ln)
	least := time.Hour
	for range 5 {
		conn := e.dial()
		io.WriteString(conn, "nonsense")
		if _, err := io.ReadFull(conn, make([]byte, 5)); err != nil {
			t.Fatal(err)
		}
		said := time.Now()
		if _, err := io.ReadAll(conn); err != nil {
			t.Error(err)
		}
		least = min(least, time.Since(said))
	}
	if least > lingerTime/2 {
		t.Errorf("it stays for %v", least)
	}
}
