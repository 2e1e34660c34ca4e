// Package pool keeps connections to storage nodes and runs one exchange at a time on each. The node
// sides of both wires are built on it.
package pool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/semaphore"
)

// Options bounds a pool.
type Options struct {
	ConnectTimeout time.Duration
	IdleTimeout    time.Duration                       // the node closes a connection that stood idle for so long
	ReuseDelay     time.Duration                       // how long a connection must have been silent before it is used again
	MaxConnections int                                 // connections at the most, idle ones included
	LocalIP        net.IP                              // from which connections are made, nil for the system's choice
	Handshake      func(net.Conn, *bufio.Reader) error // opens a session on a new connection, nil for none
	Logger         *slog.Logger
}

// retireAt is the part of Options.IdleTimeout after which a connection is not used again: a request that
// meets the node's own close ends as a reset, which for a write is final.
const retireAt = 0.7

// Exchange is the talk of one attempt: what it sends and how it reads the answer. An error means that
// the connection is of no more use.
type Exchange func(*Session) (broker.Result, error)

// Pool keeps connections by address.
type Pool struct {
	opt     Options
	slots   *semaphore.Semaphore // a place for each connection
	mu      sync.Mutex
	connect time.Duration            // the options' times as they are now
	most    time.Duration            // so long idle, a connection is not used again
	idle    map[string][]*link       // the latest used last
	news    map[string]chan struct{} // closed when one comes to idle, for those that wait for one to come up
	usual   usual
	closed  bool
}

type link struct {
	net.Conn
	in   *bufio.Reader
	used time.Time
}

// New returns an empty pool.
func New(opt Options) *Pool {
	p := &Pool{opt: opt, slots: semaphore.New(opt.MaxConnections), idle: map[string][]*link{}, news: map[string]chan struct{}{}, usual: usual{tries: secondMost}}
	p.SetTimeouts(opt.ConnectTimeout, opt.IdleTimeout)
	return p
}

// SetTimeouts changes the times within which connections come up and may stand idle.
func (p *Pool) SetTimeouts(connect, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connect, p.most = connect, time.Duration(retireAt*float64(idle))
}

// Resize changes how many connections there may be. IdleTimeout ones beyond that end.
func (p *Pool) Resize(sockets int) {
	p.slots.Resize(sockets)
	for p.slots.Exceeded() {
		l := p.oldest()
		if l == nil {
			return
		}
		p.drop(l)
	}
}

func (p *Pool) times() (connect, most time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connect, p.most
}

// Start begins an exchange and returns at once. A time of most above 0 bounds it. written is called once the exchange
// is written whole, unless it is nil.
func (p *Pool) Start(address string, x Exchange, most time.Duration, written func(), done func(broker.Result)) broker.Handle {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Session{began: time.Now(), written: written, done: done, ctx: ctx, cancel: cancel}
	go p.run(ctx, s, address, x, most)
	return s
}

// Session is an exchange that is out.
type Session struct {
	In *bufio.Reader // what the node sends

	began   time.Time
	written func()
	done    func(broker.Result)
	ctx     context.Context
	cancel  context.CancelFunc

	writing sync.Mutex // held during a write
	mu      sync.Mutex
	conn    net.Conn // nil before the exchange has it and after
	at      broker.Progress
	halted  bool
	handed  bool // the result was given before the end
	over    bool // stopped or done
}

var errHalted = errors.New("halted")

// Waited is the time since Start.
func (s *Session) Waited() time.Duration { return time.Since(s.began) }

// Size is the bytes of a message.
func Size(message net.Buffers) int {
	n := 0
	for _, part := range message {
		n += len(part)
	}
	return n
}

// Send writes a message. Once so many of its bytes as deciding says are written, the attempt may have run,
// even if what stands behind them is cut; 0 is for a message after which nothing has run.
func (s *Session) Send(message net.Buffers, deciding int) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	s.mu.Lock()
	conn, barred := s.conn, s.over || s.halted
	s.mu.Unlock()
	if barred {
		return errHalted
	}
	n, err := message.WriteTo(conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	if deciding > 0 && n >= int64(deciding) {
		if s.at != broker.FullyWritten && s.written != nil {
			s.written()
		}
		s.at = broker.FullyWritten
	} else if n > 0 {
		s.at = max(s.at, broker.PartiallyWritten)
	}
	return err
}

// Hand gives the result before the exchange is over: what follows belongs to whoever takes it. It tells whether the
// result still counts. Stopped is closed if nobody takes it after all.
func (s *Session) Hand(result broker.Result) bool {
	s.mu.Lock()
	counts := !s.over
	s.handed = counts
	s.mu.Unlock()
	if counts {
		s.done(result)
	}
	return counts
}

// Stopped is closed once the exchange was stopped.
func (s *Session) Stopped() <-chan struct{} { return s.ctx.Done() }

// Await has the next reads fail unless something comes within a time.
func (s *Session) Await(most time.Duration) {
	s.mu.Lock()
	conn := s.conn
	s.mu.Unlock()
	if conn != nil {
		conn.SetReadDeadline(time.Now().Add(most))
	}
}

// How long a node may take over what follows an answer.
const (
	tidyTime = 100 * time.Millisecond // while the client waits
	lateTime = 3 * time.Second        // where the result is given
)

// Tidy runs what follows the answer. If that fails, the answer stands and the connection is not used again.
func (s *Session) Tidy(rest func() error) {
	s.mu.Lock()
	conn, most := s.conn, tidyTime
	if s.handed {
		most = lateTime
	}
	s.mu.Unlock()
	conn.SetReadDeadline(time.Now().Add(most))
	if rest() == nil && conn.SetReadDeadline(time.Time{}) == nil {
		return
	}
	s.mu.Lock()
	s.halted = true
	s.mu.Unlock()
}

func (s *Session) progress() broker.Progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at
}

// Stop implements broker.Handle. It waits for a write that is under way, which the close ends.
func (s *Session) Stop() broker.Progress {
	s.mu.Lock()
	s.over = true
	conn := s.conn
	s.mu.Unlock()
	s.cut(conn)
	s.writing.Lock()
	defer s.writing.Unlock()
	return s.progress()
}

// StopSending implements broker.Handle. What was written whole, or is being written, keeps its connection: it was on
// its way before, and to cut it could lose the answer to what has run.
func (s *Session) StopSending() {
	conn, whole := s.bar()
	if whole || !s.writing.TryLock() {
		return
	}
	defer s.writing.Unlock()
	if s.progress() != broker.FullyWritten {
		s.cut(conn)
	}
}

// CancelUnlessWritten implements broker.Handle. A message that is being written is cut: its client has left, so there is no answer to lose.
func (s *Session) CancelUnlessWritten() {
	if conn, whole := s.bar(); !whole {
		s.cut(conn)
	}
}

// bar has nothing more sent, and tells whether the attempt was written whole.
func (s *Session) bar() (conn net.Conn, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.halted = true
	return s.conn, s.at == broker.FullyWritten
}

// cut ends the exchange with its connection, nil for one that has none.
func (s *Session) cut(conn net.Conn) {
	s.cancel()
	if conn != nil {
		conn.Close()
	}
}

// begin hands the connection to the exchange, unless it was stopped or halted.
func (s *Session) begin(l *link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over || s.halted {
		return false
	}
	s.conn, s.In = l.Conn, l.in
	return true
}

// settle takes the connection back, so that a late Stop does not close it under its next user. It tells
// whether the result still counts, which it does unless the exchange was stopped, and whether the
// connection can be used again.
func (s *Session) settle() (counts, reuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stopped := s.over
	s.over, s.conn = true, nil
	return !stopped && !s.handed, !stopped && !s.halted
}

func (p *Pool) run(ctx context.Context, s *Session, address string, x Exchange, most time.Duration) {
	defer s.cancel()
	var result broker.Result
	l, err := p.get(ctx, address)
	began := err == nil && s.begin(l)
	if began {
		if most > 0 {
			l.SetDeadline(time.Now().Add(most))
		}
		result, err = p.safely(x, s)
	} else if err == nil {
		err = errHalted
	}
	counts, reuse := s.settle()
	switch {
	case l == nil:
	case began && (err != nil || !reuse || l.in.Buffered() > 0): // bytes that nobody asked for belong to no later request
		p.drop(l)
	default: // never written to, or done with
		l.SetDeadline(time.Time{})
		p.put(address, l)
	}
	if err != nil {
		result = broker.Result{Err: &broker.AttemptError{Progress: s.progress(), Err: err}}
	}
	if counts {
		s.done(result)
	}
}

// safely guards the process against a fault met by one exchange.
func (p *Pool) safely(x Exchange, s *Session) (result broker.Result, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("panic: %v", r)
			p.opt.Logger.Error("panic", "front", "nodes", "panic", r)
		}
	}()
	return x(s)
}

// get returns a connection: one that is kept, or a new one. While that comes up, one that its user gives back serves as well.
func (p *Pool) get(ctx context.Context, address string) (*link, error) {
	var d *dial
	for {
		l, settles, news := p.take(address, d != nil)
		switch {
		case l == nil:
		case p.sound(l):
			if d != nil {
				d.release()
			}
			return l, nil
		default:
			p.drop(l)
			continue
		}
		if d == nil {
			d = p.dial(ctx, address)
		}
		timer := time.NewTimer(settles)
		select {
		case up := <-d.up:
			timer.Stop()
			return up.link, up.err
		case <-news:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// sound tells whether a connection that was idle can be used.
func (p *Pool) sound(l *link) bool {
	_, most := p.times()
	return time.Since(l.used) < most && Silent(l.Conn)
}

// slot waits for room for a connection; where all is taken, an idle one of any address gives way.
func (p *Pool) slot(ctx context.Context) error {
	for {
		if p.slots.TryAcquire() {
			return nil
		}
		if l := p.oldest(); l != nil {
			p.drop(l)
			continue
		}
		return p.slots.Acquire(ctx)
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

// take takes the connection used last of those that have settled. It guards against what follows an answer, be it
// noise, a second copy or the end: it must not become the next request's answer. For who waits it tells when to look again: when the
// next has settled, or news is closed.
func (p *Pool) take(address string, waits bool) (l *link, settles time.Duration, news <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	links, now := p.idle[address], time.Now()
	settles = time.Hour
	for i := len(links) - 1; i >= 0; i-- {
		if left := p.opt.ReuseDelay - now.Sub(links[i].used); left <= 0 {
			l = links[i]
			p.idle[address] = slices.Delete(links, i, i+1)
			return l, 0, nil
		} else {
			settles = min(settles, left)
		}
	}
	if !waits {
		return nil, 0, closed
	}
	if p.news[address] == nil {
		p.news[address] = make(chan struct{})
	}
	return nil, settles, p.news[address]
}

// closed has who just began to wait look at once.
var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func (p *Pool) put(address string, l *link) {
	l.used = time.Now()
	p.mu.Lock()
	closed := p.closed || p.slots.Exceeded() || p.slots.Awaited()
	if !closed {
		p.idle[address] = append(p.idle[address], l)
		if news := p.news[address]; news != nil {
			close(news)
			delete(p.news, address)
		}
	}
	p.mu.Unlock()
	if closed {
		p.drop(l)
	}
}

func (p *Pool) drop(l *link) {
	l.Close()
	p.slots.Release()
}

// Rests tells whether an idle connection to an address is kept.
func (p *Pool) Rests(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address]) > 0
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

// CloseExpired closes connections that are too old to be used again, or that their node has closed, and forgets
// addresses without connections: nodes are replaced by new ones at new addresses.
func (p *Pool) CloseExpired(now time.Time) {
	_, most := p.times()
	var old []*link
	p.mu.Lock()
	for address, links := range p.idle {
		links = slices.DeleteFunc(links, func(l *link) bool {
			useless := now.Sub(l.used) >= most || !Silent(l.Conn)
			if useless {
				old = append(old, l)
			}
			return useless
		})
		if p.idle[address] = links; len(links) == 0 {
			delete(p.idle, address)
		}
	}
	for _, news := range p.news { // who waits still asks for news again; the others are gone
		close(news)
	}
	clear(p.news)
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

// Silent tells whether a connection is open and nothing has come that was not read.
func Silent(conn net.Conn) bool {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) { // not Read, which would wait for a reader
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
	})
	return err == nil && open
}

// FailAttempt returns the handle of an attempt that was never begun and tells why.
func FailAttempt(err error, done func(broker.Result)) broker.Handle {
	go done(broker.Result{Err: &broker.AttemptError{Progress: broker.NotConnected, Err: err}})
	return refused{}
}

type refused struct{}

func (refused) Stop() broker.Progress { return broker.NotConnected }
func (refused) StopSending()          {}
func (refused) CancelUnlessWritten()  {}
