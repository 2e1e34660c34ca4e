package pool

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"junctionwharf/broker"
)

// greetByNode makes a new connection come up only when the node sends a byte on it (see welcome). So the test decides
// which of several connections comes up, whatever the order in which the pool's goroutines run.
func greetByNode(opt *Options) {
	opt.Handshake = func(_ net.Conn, in *bufio.Reader) error {
		_, err := in.ReadByte()
		return err
	}
}

// welcome lets a connection come up that was made with greetByNode.
func (p *peer) welcome(conn net.Conn) {
	p.Helper()
	if _, err := conn.Write([]byte{0}); err != nil {
		p.Fatal(err)
	}
}

// awaitIdle waits until so many connections to an address are idle.
func awaitIdle(t *testing.T, p *Pool, address string, want int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		p.mu.Lock()
		idle := len(p.idle[address])
		p.mu.Unlock()
		if idle == want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d connections are idle, want %d", idle, want)
		}
	}
}

// A connection comes up late: the second try serves the attempt, and what comes up then is kept and serves the next.
func TestSecondTry(t *testing.T) {
	opt := options()
	greetByNode(&opt)
	node, p := newPeer(t), New(opt)
	_, results := start(p, node.address, echo)
	first, second := node.next(), node.next()
	node.welcome(second)
	node.serve(second)
	if r := <-results; r.Err != nil || r.Value != "answer\n" {
		t.Fatalf("%+v", r)
	}
	node.welcome(first)
	awaitIdle(t, p, node.address, 2)
	_, results = start(p, node.address, echo)
	node.serve(first) // the latest used
	if r := <-results; r.Err != nil {
		t.Error(r.Err)
	}
	if p.slots.Held() != 2 {
		t.Errorf("%d places are taken", p.slots.Held())
	}
}

// While both tries are late, a connection that its user gives back serves; what comes up later is kept.
func TestGivenBackServes(t *testing.T) {
	opt := options()
	opt.MaxConnections = 3
	greetByNode(&opt)
	node, p := newPeer(t), New(opt)
	p.usual.tries = 0 // on a busy machine the user's own second try would come first and be taken for the other's
	_, user := start(p, node.address, echo)
	conn := node.next()
	node.welcome(conn)
	node.expectLine(conn) // the user has its connection and makes no further try
	p.mu.Lock()
	p.usual.tries = secondMost
	p.mu.Unlock()
	_, waits := start(p, node.address, echo)
	late := []net.Conn{node.next(), node.next()}
	io.WriteString(conn, "answer\n")
	node.serve(conn) // the one that waits has it now
	for _, results := range []chan broker.Result{user, waits} {
		if r := <-results; r.Err != nil || r.Value != "answer\n" {
			t.Errorf("%+v", r)
		}
	}
	for _, conn := range late {
		node.welcome(conn)
	}
	awaitIdle(t, p, node.address, 3)
	if p.slots.Held() != 3 {
		t.Errorf("%d places are taken", p.slots.Held())
	}
}

// Where connections never come up, second tries are few, take no place that is wanted, and leave none behind.
func TestSecondTriesAreBounded(t *testing.T) {
	opt := options()
	opt.ConnectTimeout, opt.MaxConnections = 30*time.Millisecond, 100
	greetByNode(&opt)
	node, p := newPeer(t), New(opt)
	p.usual.tries = 0
	const attempts = 20
	var all []chan broker.Result
	for range attempts {
		_, results := start(p, node.address, echo)
		all = append(all, results)
	}
	tries := 0
	for done := 0; done < attempts; {
		select {
		case <-node.conns:
			tries++
		case r := <-all[done]:
			if r.Err == nil {
				t.Error("served by nobody")
			}
			done++
		}
	}
	for ; len(node.conns) > 0; tries++ {
		<-node.conns
	}
	if p.CloseExpired(time.Now()); len(p.news) > 0 {
		t.Errorf("%d addresses are kept at which nobody waits", len(p.news))
	}
	if tries > attempts+attempts/2 {
		t.Errorf("%d tries for %d attempts", tries, attempts)
	}
}

// Who waited for a connection is gone by the time that both tries come up: neither stays up for nobody. Either was once kept, where
// the other had ended.
func TestNeitherTryStaysForNobody(t *testing.T) {
	opt := options()
	up, greeted := make(chan struct{}), make(chan struct{}, 2)
	opt.Handshake = func(net.Conn, *bufio.Reader) error {
		greeted <- struct{}{}
		<-up
		return nil
	}
	node, p := newPeer(t), New(opt)
	waits, gone := context.WithCancel(context.Background())
	d := p.dial(waits, node.address)
	<-greeted
	<-greeted
	d.mu.Lock() // nothing hears that it has gone before both are up
	gone()
	close(up)
	runtime.Gosched()
	d.mu.Unlock()
	if came := <-d.up; came.link != nil || !errors.Is(came.err, context.Canceled) {
		t.Errorf("%+v", came)
	}
	for end := time.Now().Add(5 * time.Second); p.slots.Held() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections stay up", p.slots.Held())
		}
	}
}
