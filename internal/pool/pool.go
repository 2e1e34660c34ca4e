// Package pool keeps connections to storage nodes and runs one exchange at a time on each: a message
// out, an answer back. Both wires' node sides are built on it.
package pool

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"junctionwharf/broker"
)

// Options bounds a pool.
type Options struct {
	ConnectTimeout time.Duration
	Idle           time.Duration                       // the node closes a connection that stood idle for so long
	Sockets        int                                 // connections at the most, idle ones included
	Greet          func(net.Conn, *bufio.Reader) error // opens a session on a new connection, nil for none
}

// retireAt is the part of Options.Idle after which a connection is not used again: a request that
// meets the node's own close ends as a reset, which for a write is final.
const retireAt = 0.7

// Exchange is one message and how its answer is read. Message gets the time since Start.
type Exchange struct {
	Message func(waited time.Duration) net.Buffers
	Read    func(*bufio.Reader) (broker.Result, error)
	Most    time.Duration // closes the connection after it; 0 for exchanges that are stopped
}

// Pool keeps connections by address.
type Pool struct {
	opt    Options
	slots  chan struct{} // one for each connection
	mu     sync.Mutex
	idle   map[string][]*link // the latest used last
	closed bool
}

type link struct {
	net.Conn
	in   *bufio.Reader
	used time.Time
}

// New returns an empty pool.
func New(opt Options) *Pool {
	return &Pool{opt: opt, slots: make(chan struct{}, opt.Sockets), idle: map[string][]*link{}}
}

// Start begins an exchange and returns at once.
func (p *Pool) Start(address string, x Exchange, done func(broker.Result)) broker.Handle {
	ctx, cancel := context.WithCancel(context.Background())
	c := &call{done: done, cancel: cancel, written: make(chan struct{})}
	go p.run(ctx, c, address, x)
	return c
}

// call is an exchange that is out.
type call struct {
	done    func(broker.Result)
	cancel  context.CancelFunc
	written chan struct{} // closed once the write is over

	mu       sync.Mutex
	conn     net.Conn // nil before the write begins
	progress broker.Progress
	over     bool // stopped or done
}

// Stop implements broker.Handle. It waits for a write that is under way, which the close ends.
func (c *call) Stop() broker.Progress {
	c.mu.Lock()
	c.over = true
	conn, progress := c.conn, c.progress
	c.mu.Unlock()
	c.cancel()
	if conn == nil {
		return progress
	}
	conn.Close()
	<-c.written
	return c.progress
}

// begin hands the connection to the call, unless it was stopped.
func (c *call) begin(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		return false
	}
	c.conn = conn
	return true
}

// settle takes the connection back from the call, so that a late Stop does not close it under its next
// user. It tells whether the result still counts, which it does unless the call was stopped.
func (c *call) settle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := !c.over
	c.over, c.conn = true, nil
	return counts
}

func (c *call) fail(progress broker.Progress, err error) {
	if c.settle() {
		c.done(broker.Result{Err: &broker.AttemptError{Progress: progress, Err: err}})
	}
}

func (p *Pool) run(ctx context.Context, c *call, address string, x Exchange) {
	defer c.cancel()
	began := time.Now()
	l, err := p.get(ctx, address)
	if err != nil {
		c.fail(broker.NotConnected, err)
		return
	}
	if !c.begin(l) {
		p.put(address, l) // never written to: as good as new
		return
	}
	if x.Most > 0 {
		l.SetDeadline(time.Now().Add(x.Most))
	}
	message := x.Message(time.Since(began))
	size := int64(0)
	for _, part := range message {
		size += int64(len(part))
	}
	n, err := message.WriteTo(l)
	c.mu.Lock()
	if n == size {
		c.progress = broker.WrittenWhole
	} else if n > 0 {
		c.progress = broker.PartlyWritten
	}
	progress := c.progress
	c.mu.Unlock()
	close(c.written)
	if progress != broker.WrittenWhole {
		p.drop(l)
		c.fail(progress, err)
		return
	}
	result, err := x.Read(l.in)
	counts := c.settle()
	if err != nil || !counts || l.in.Buffered() > 0 { // bytes that nobody asked for belong to no later request
		p.drop(l)
	} else {
		l.SetDeadline(time.Time{})
		p.put(address, l)
	}
	if err != nil {
		result = broker.Result{Err: &broker.AttemptError{Progress: broker.WrittenWhole, Err: err}}
	}
	if counts {
		c.done(result)
	}
}

func (p *Pool) get(ctx context.Context, address string) (*link, error) {
	for {
		l := p.take(address)
		if l == nil {
			break
		}
		if time.Since(l.used) < time.Duration(retireAt*float64(p.opt.Idle)) && alive(l.Conn) {
			return l, nil
		}
		p.drop(l)
	}
	ctx, cancel := context.WithTimeout(ctx, p.opt.ConnectTimeout)
	defer cancel()
	if err := p.slot(ctx); err != nil {
		return nil, err
	}
	conn, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", address)
	if err != nil {
		<-p.slots
		return nil, err
	}
	l := &link{Conn: conn, in: bufio.NewReaderSize(conn, 4<<10), used: time.Now()}
	if p.opt.Greet != nil {
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		err := p.opt.Greet(conn, l.in)
		if !stop() || err != nil {
			p.drop(l)
			return nil, errors.Join(errors.New("no session"), err)
		}
	}
	return l, nil
}

// slot waits for room for a connection; where all is taken, an idle one of any address gives way.
func (p *Pool) slot(ctx context.Context) error {
	for {
		select {
		case p.slots <- struct{}{}:
			return nil
		default:
		}
		if l := p.oldest(); l != nil {
			p.drop(l)
			continue
		}
		select {
		case p.slots <- struct{}{}:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (p *Pool) oldest() *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	from := ""
	for address, links := range p.idle {
		if len(links) > 0 && (from == "" || links[0].used.Before(p.idle[from][0].used)) {
			from = address
		}
	}
	if from == "" {
		return nil
	}
	l := p.idle[from][0]
	p.idle[from] = p.idle[from][1:]
	return l
}

func (p *Pool) take(address string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	links := p.idle[address]
	if len(links) == 0 {
		return nil
	}
	l := links[len(links)-1]
	p.idle[address] = links[:len(links)-1]
	return l
}

func (p *Pool) put(address string, l *link) {
	l.used = time.Now()
	p.mu.Lock()
	closed := p.closed
	if !closed {
		p.idle[address] = append(p.idle[address], l)
	}
	p.mu.Unlock()
	if closed {
		p.drop(l)
	}
}

func (p *Pool) drop(l *link) {
	l.Close()
	<-p.slots
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	links := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, l := range links {
		p.drop(l)
	}
}

// Retire closes connections that are too old to be used again.
func (p *Pool) Retire(now time.Time) {
	most := time.Duration(retireAt * float64(p.opt.Idle))
	var old []*link
	p.mu.Lock()
	for address, links := range p.idle {
		for len(links) > 0 && now.Sub(links[0].used) >= most {
			old, links = append(old, links[0]), links[1:]
		}
		if p.idle[address] = links; len(links) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, l := range old {
		p.drop(l)
	}
}

// Close closes what is idle and keeps nothing from now on.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = map[string][]*link{}
	p.mu.Unlock()
	for _, links := range idle {
		for _, l := range links {
			p.drop(l)
		}
	}
}

// alive tells whether an idle connection is still open and silent.
func alive(conn net.Conn) bool {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}

// Refuse returns the handle of an attempt that was never begun and tells why.
func Refuse(err error, done func(broker.Result)) broker.Handle {
	done(broker.Result{Err: &broker.AttemptError{Progress: broker.NotConnected, Err: err}})
	return refused{}
}

type refused struct{}

func (refused) Stop() broker.Progress { return broker.NotConnected }
