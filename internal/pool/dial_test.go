package pool

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"junctionwharf/broker"
)

// late has some connections, counted from 1, come up when the test says, and the others at once.
func late(opt *Options, first, last int32) (up chan struct{}) {
	up = make(chan struct{})
	var count atomic.Int32
	opt.Greet = func(conn net.Conn, _ *bufio.Reader) error {
		if n := count.Add(1); n < first || n > last {
			return nil
		}
		go func() {
			<-up
			conn.SetReadDeadline(time.Now())
		}()
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			return err // it was closed
		}
		return conn.SetReadDeadline(time.Time{})
	}
	return up
}

// A connection comes up late: the second try serves the attempt, and what comes up then is kept and serves the next.
func TestSecondTry(t *testing.T) {
	opt := options()
	up := late(&opt, 1, 1)
	node, p := newPeer(t), New(opt)
	_, results := start(p, node.address, echo)
	first, second := node.next(), node.next()
	node.serve(second)
	if r := <-results; r.Err != nil || r.Value != "answer\n" {
		t.Fatalf("%+v", r)
	}
	close(up)
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		p.mu.Lock()
		kept := len(p.idle[node.address])
		p.mu.Unlock()
		if kept == 2 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%d connections are kept", kept)
		}
	}
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
	opt.Sockets = 3
	up := late(&opt, 2, 3)
	node, p := newPeer(t), New(opt)
	_, user := start(p, node.address, echo)
	conn := node.next()
	_, waits := start(p, node.address, echo)
	node.next()
	node.next()
	node.serve(conn)
	node.serve(conn) // the one that waits has it now
	for _, results := range []chan broker.Result{user, waits} {
		if r := <-results; r.Err != nil {
			t.Error(r.Err)
		}
	}
	close(up)
	for end := time.Now().Add(5 * time.Second); p.slots.Held() != 3 || !p.Rests(node.address); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d places are taken", p.slots.Held())
		}
	}
}

// Where connections never come up, second tries are few, take no place that is wanted, and leave none behind.
func TestSecondTriesAreBounded(t *testing.T) {
	opt := options()
	opt.ConnectTimeout, opt.Sockets = 30*time.Millisecond, 100
	up := late(&opt, 1, 1000)
	defer close(up)
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
	if p.Retire(time.Now()); len(p.news) > 0 {
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
	opt.Greet = func(net.Conn, *bufio.Reader) error {
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
