package pool

import (
	"bufio"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/logging"
)

// peer is a stand-in node that hands its connections to the test.
type peer struct {
	*testing.T
	address string
	conns   chan net.Conn
}

func newPeer(t *testing.T) *peer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	p := &peer{T: t, address: ln.Addr().String(), conns: make(chan net.Conn, 16)}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			p.conns <- conn
		}
	}()
	return p
}

func (p *peer) next() net.Conn {
	p.Helper()
	select {
	case conn := <-p.conns:
		p.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		return conn
	case <-time.After(5 * time.Second):
		p.Fatal("no connection came")
		return nil
	}
}

// echo sends a line and reads one.
func echo(s *Session) (broker.Result, error) {
	if err := s.Send(net.Buffers{[]byte("li"), []byte("ne\n")}, 5); err != nil {
		return broker.Result{}, err
	}
	line, err := s.In.ReadString('\n')
	return broker.Result{Value: line}, err
}

func start(p *Pool, address string, x Exchange) (broker.Handle, chan broker.Result) {
	results := make(chan broker.Result, 2)
	return p.Start(address, x, 0, nil, func(r broker.Result) { results <- r }), results
}

func options() Options {
	return Options{ConnectTimeout: 2 * time.Second, IdleTimeout: time.Hour, MaxConnections: 2, Logger: logging.Discard()}
}

func (p *peer) serve(conn net.Conn) {
	p.Helper()
	p.expectLine(conn)
	io.WriteString(conn, "answer\n")
}

// expectLine reads the line that echo sends.
func (p *peer) expectLine(conn net.Conn) {
	p.Helper()
	if line, err := bufio.NewReader(conn).ReadString('\n'); err != nil || line != "line\n" {
		p.Fatalf("%q, %v", line, err)
	}
}

func TestReuse(t *testing.T) {
	node, p := newPeer(t), New(options())
	_, results := start(p, node.address, echo)
	conn := node.next()
	for range 3 {
		node.serve(conn)
		if r := <-results; r.Err != nil || r.Value != "answer\n" {
			t.Fatalf("%+v", r)
		}
		_, results = start(p, node.address, echo)
	}
	node.serve(conn)
	<-results
	if len(node.conns) > 0 {
		t.Error("a second connection was opened")
	}
}

// What a node sends behind an answer must not become the next request's: a connection has to be silent for a while
// before it is used again, and one that was not is never used.
func TestSettle(t *testing.T) {
	opt := options()
	opt.ReuseDelay = time.Hour
	node, p := newPeer(t), New(opt)
	var conns []net.Conn
	for range 2 { // the second exchange does not wait: it opens a connection of its own
		_, results := start(p, node.address, echo)
		conns = append(conns, node.next())
		node.serve(conns[len(conns)-1])
		<-results
	}
	io.WriteString(conns[1], "answer\n") // a second copy
	for Silent(p.idle[node.address][1].Conn) {
		time.Sleep(time.Millisecond) // it is on its way through the kernel
	}
	p.opt.ReuseDelay = 0
	_, results := start(p, node.address, echo)
	node.serve(conns[0])
	if r := <-results; r.Err != nil || len(p.idle[node.address]) != 1 {
		t.Errorf("%+v, %d idle", r, len(p.idle[node.address]))
	}
}

// Nodes are replaced by new ones at new addresses: nothing is kept for those that are gone.
func TestManyNodes(t *testing.T) {
	p := New(options())
	for range 50 {
		node := newPeer(t)
		_, results := start(p, node.address, echo)
		conn := node.next()
		node.serve(conn)
		<-results
		conn.Close()
		for !p.empty(node.address) {
			p.CloseExpired(time.Now())
		}
	}
	if len(p.idle) != 0 || p.slots.Held() != 0 {
		t.Errorf("%d addresses, %d connections kept", len(p.idle), p.slots.Held())
	}
}

func (p *Pool) empty(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address]) == 0
}

// A connection that the node has closed must not be used: for a write the reset would be final.
func TestClosedIdleIsNotUsed(t *testing.T) {
	node, p := newPeer(t), New(options())
	_, results := start(p, node.address, echo)
	conn := node.next()
	node.serve(conn)
	<-results
	conn.Close()
	for len(p.idle[node.address]) > 0 && Silent(p.idle[node.address][0].Conn) {
		time.Sleep(time.Millisecond) // the close is on its way through the kernel
	}
	_, results = start(p, node.address, echo)
	node.serve(node.next())
	if r := <-results; r.Err != nil {
		t.Fatal(r.Err)
	}
}

// A connection near the idle limit is retired before the node closes it.
func TestRetire(t *testing.T) {
	node, p := newPeer(t), New(options())
	_, results := start(p, node.address, echo)
	conn := node.next()
	node.serve(conn)
	<-results
	p.CloseExpired(time.Now().Add(40 * time.Minute))
	if len(p.idle) != 1 {
		t.Fatal("retired too early")
	}
	p.CloseExpired(time.Now().Add(43 * time.Minute))
	if len(p.idle) != 0 || p.slots.Held() != 0 {
		t.Errorf("%d addresses idle, %d slots taken", len(p.idle), p.slots.Held())
	}
	if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("not closed: %v", err)
	}
}

func TestProgress(t *testing.T) {
	node, p := newPeer(t), New(options())
	closed := newPeer(t)
	unused, _ := net.Listen("tcp", "127.0.0.1:0")
	unused.Close()
	progress := func(results chan broker.Result) broker.Progress {
		r := <-results
		if r.Err == nil || r.Err.Unwrap() == nil {
			t.Fatalf("%+v", r)
		}
		return r.Err.Progress
	}
	if _, results := start(p, unused.Addr().String(), echo); progress(results) != broker.NotConnected {
		t.Error("a refused connection is not NotConnected")
	}
	_, results := start(p, closed.address, echo)
	conn := closed.next()
	bufio.NewReader(conn).ReadString('\n')
	conn.Close()
	if progress(results) != broker.FullyWritten {
		t.Error("a lost answer is not WrittenWhole")
	}
	_, results = start(p, node.address, func(s *Session) (broker.Result, error) {
		if err := s.Send(net.Buffers{[]byte("open\n")}, 0); err != nil {
			return broker.Result{}, err
		}
		_, err := s.In.ReadString('\n')
		return broker.Result{}, err
	})
	conn = node.next()
	bufio.NewReader(conn).ReadString('\n')
	conn.Close()
	if progress(results) != broker.PartiallyWritten {
		t.Error("an exchange cut before its deciding message is not PartlyWritten")
	}
}

// Stop must end the sending before it returns, and no result may follow.
func TestStop(t *testing.T) {
	node, p := newPeer(t), New(options())
	h, results := start(p, node.address, echo)
	conn := node.next()
	bufio.NewReader(conn).ReadString('\n')
	if at := h.Stop(); at != broker.FullyWritten {
		t.Errorf("stopped %v", at)
	}
	if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the connection is open: %v", err)
	}
	big := make([]byte, 64<<20) // more than the sockets hold
	for deciding, want := range map[int]broker.Progress{len(big): broker.PartiallyWritten, 0: broker.PartiallyWritten, 1: broker.FullyWritten} {
		h, _ = start(p, node.address, func(s *Session) (broker.Result, error) {
			return broker.Result{}, s.Send(net.Buffers{big}, deciding)
		})
		conn = node.next()
		io.ReadFull(conn, make([]byte, 1))
		if at := h.Stop(); at != want {
			t.Errorf("stopped %v in the middle of a write that %d bytes decide", at, deciding)
		}
	}
	select {
	case r := <-results:
		t.Errorf("a result after Stop: %+v", r)
	default:
	}
}

// StopSending lets a whole message have its answer, and bars the next.
func TestHalt(t *testing.T) {
	node, p := newPeer(t), New(options())
	h, results := start(p, node.address, func(s *Session) (broker.Result, error) {
		r, err := echo(s)
		if err == nil && !errors.Is(s.Send(net.Buffers{[]byte("more\n")}, 0), errHalted) {
			t.Error("it may still send")
		}
		return r, err
	})
	conn := node.next()
	line, _ := bufio.NewReader(conn).ReadString('\n')
	h.StopSending()
	io.WriteString(conn, "answer\n")
	if r := <-results; r.Err != nil || line != "line\n" {
		t.Errorf("%+v", r)
	}
	if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the connection is kept: %v", err)
	}
}

// StopSending leaves a write that is under way: it may be whole already.
func TestHaltDuringWrite(t *testing.T) {
	node, p := newPeer(t), New(options())
	big := make([]byte, 64<<20)
	h, results := start(p, node.address, func(s *Session) (broker.Result, error) {
		if err := s.Send(net.Buffers{big}, len(big)); err != nil {
			return broker.Result{}, err
		}
		line, err := s.In.ReadString('\n')
		return broker.Result{Value: line}, err
	})
	conn := node.next()
	io.ReadFull(conn, make([]byte, 1))
	h.StopSending()
	if _, err := io.ReadFull(conn, make([]byte, len(big)-1)); err != nil {
		t.Fatal(err)
	}
	io.WriteString(conn, "answer\n")
	if r := <-results; r.Err != nil || r.Value != "answer\n" {
		t.Errorf("%+v", r.Err)
	}
}

// An attempt is abandoned while its connection comes up, in the middle of a write, or when it was written whole: only then its
// node hears of it, and the answer still comes.
func TestAbandon(t *testing.T) {
	opt, up := options(), make(chan struct{})
	opt.Handshake = func(conn net.Conn, _ *bufio.Reader) error {
		<-up
		return nil
	}
	node, p := newPeer(t), New(opt)
	h, results := start(p, node.address, echo)
	conn := node.next()
	h.CancelUnlessWritten()
	close(up)
	if r := <-results; r.Err == nil || r.Err.Progress != broker.NotConnected {
		t.Errorf("%+v", r)
	}
	if n, err := conn.Read(make([]byte, 1)); n > 0 || err != io.EOF {
		t.Errorf("%d bytes were sent on: %v", n, err)
	}

	big := make([]byte, 64<<20)
	h, results = start(p, node.address, func(s *Session) (broker.Result, error) { return broker.Result{}, s.Send(net.Buffers{big}, len(big)) })
	conn = node.next()
	io.ReadFull(conn, make([]byte, 1))
	h.CancelUnlessWritten()
	if r := <-results; r.Err == nil || r.Err.Progress != broker.PartiallyWritten {
		t.Errorf("%+v", r)
	}
	if n, err := io.Copy(io.Discard, conn); n >= int64(len(big)-1) {
		t.Errorf("the message came whole: %v", err)
	}

	written := make(chan struct{}) // the node may have the whole before the writer knows of it
	h = p.Start(node.address, echo, 0, func() { close(written) }, func(r broker.Result) { results <- r })
	conn = node.next()
	line, _ := bufio.NewReader(conn).ReadString('\n')
	<-written
	h.(*Session).progress() // behind the writer's own note
	h.CancelUnlessWritten()
	io.WriteString(conn, "answer\n")
	if r := <-results; r.Err != nil || line != "line\n" || r.Value != "answer\n" {
		t.Errorf("%q: %+v", line, r)
	}
}

// A panic in an exchange ends its attempt, which may have run, and nothing else.
func TestPanic(t *testing.T) {
	opt, lines := options(), make(chan string, 1)
	opt.Logger = logging.ToFunc(func(line string) { lines <- line })
	node, p := newPeer(t), New(opt)
	_, results := start(p, node.address, func(s *Session) (broker.Result, error) {
		s.Send(net.Buffers{[]byte("line\n")}, 5)
		panic("fault")
	})
	if r := <-results; r.Err == nil || r.Err.Progress != broker.FullyWritten || <-lines != "panic front=nodes panic=fault" {
		t.Errorf("%+v", r)
	}
	if p.slots.Held() != 0 {
		t.Error("the connection is kept")
	}
}

// A full table makes room by closing what is idle elsewhere, and otherwise waits for a connection to end.
func TestFull(t *testing.T) {
	a, b, p := newPeer(t), newPeer(t), New(options())
	_, first := start(p, a.address, echo)
	a.serve(a.next())
	<-first
	var handles []broker.Handle
	for range 2 {
		h, _ := start(p, b.address, echo)
		handles = append(handles, h)
		b.next()
	}
	_, results := start(p, b.address, echo)
	handles[0].Stop()
	b.serve(b.next())
	if r := <-results; r.Err != nil {
		t.Error(r.Err)
	}
}
