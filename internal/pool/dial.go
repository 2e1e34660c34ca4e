package pool

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// dial is a new connection that comes up for one attempt, in two tries at the most: some connections come up late, or never, on paths
// on which the next comes up at once. The try that is second has its connection kept for others.
type dial struct {
	pool    *Pool
	address string
	waits   context.Context // of who waits for it
	ctx     context.Context // its own
	end     func()
	up      chan upped // the first of the tries to come up, or the last error

	mu       sync.Mutex
	released bool // nobody waits for it any more
}

type upped struct {
	link *link
	err  error
}

// dial begins to connect. It ends with ctx unless it is released before.
func (p *Pool) dial(ctx context.Context, address string) *dial {
	connect, _ := p.times()
	d := &dial{pool: p, address: address, waits: ctx, up: make(chan upped, 1)}
	d.ctx, d.end = context.WithTimeout(context.Background(), connect)
	stop := context.AfterFunc(ctx, func() {
		if !d.isReleased() { // who waits has gone
			d.end()
		}
	})
	go func() {
		defer stop()
		defer d.end()
		d.run()
	}()
	return d
}

// release leaves what comes up to others: it has cost its node the work already.
func (d *dial) release() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.released = true
	select {
	case came := <-d.up:
		if came.link != nil {
			d.pool.put(d.address, came.link)
		}
	default:
	}
}

func (d *dial) isReleased() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.released
}

// run makes the tries.
func (d *dial) run() {
	p := d.pool
	if err := p.slot(d.ctx); err != nil {
		d.up <- upped{err: err}
		return
	}
	if d.isReleased() { // before anything was sent
		p.slots.Release()
		return
	}
	began, tries := time.Now(), make(chan upped, 2)
	try := func() { l, err := p.open(d.ctx, d.address); tries <- upped{l, err} }
	go try()
	again := time.NewTimer(p.patience())
	defer again.Stop()
	given := false
	for out := 1; out > 0; {
		select {
		case t := <-tries:
			out--
			switch {
			case t.err == nil:
				if !given {
					given = true
					p.came(time.Since(began))
				}
				d.give(t.link)
			case out == 0 && !given:
				d.up <- upped{err: t.err}
			}
		case <-again.C:
			if !given && p.second() {
				out++
				go try()
			}
		}
	}
}

// give hands a connection to who waits for it, or to others once that has one. Where who waited has gone, each ends.
func (d *dial) give(l *link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.released:
		d.pool.put(d.address, l)
	case d.waits.Err() != nil:
		d.pool.drop(l)
		select {
		case d.up <- upped{err: d.waits.Err()}:
		default: // the other try has said so
		}
	default:
		d.up <- upped{link: l}
		d.released = true // the end of its use does not end the other try
	}
}

// open makes one connection, in a place that was taken for it.
func (p *Pool) open(ctx context.Context, address string) (*link, error) {
	dialer := net.Dialer{KeepAlive: -1}
	if p.opt.LocalIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: p.opt.LocalIP}
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.slots.Release()
		return nil, err
	}
	l := &link{Conn: conn, in: bufio.NewReaderSize(conn, 4<<10), used: time.Now()}
	if p.opt.Handshake != nil {
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		err := p.opt.Handshake(conn, l.in)
		if !stop() || err != nil {
			p.drop(l)
			return nil, errors.Join(errors.New("no session"), err)
		}
	}
	return l, nil
}

// usual is how long connections usually take to come up, and how many second tries there may be.
type usual struct {
	took  time.Duration // about the median: late ones, be they a third, do not move it much
	tries float64       // second tries that may be made
}

const (
	leastPatience = 5 * time.Millisecond // before a second try: less is a moment in which this process did not run
	usualTimes    = 8                    // times the usual, after which a connection is late
	usualStep     = 0.05                 // of the usual, by which each connection moves it
	secondPart    = 0.5                  // second tries for each first one: while none comes up they add up to no more
	secondMost    = 8
)

// patience is how long a connection may take before a second try, and counts the first.
func (p *Pool) patience() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usual.tries = min(secondMost, p.usual.tries+secondPart)
	return max(leastPatience, min(usualTimes*p.usual.took, p.connect/2))
}

// came notes how long a connection took.
func (p *Pool) came(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if took < p.usual.took {
		p.usual.took -= time.Duration(usualStep * float64(p.usual.took))
	} else {
		p.usual.took += max(time.Duration(usualStep*float64(p.usual.took)), 50*time.Microsecond)
	}
}

// second tells whether a second try may be made, and takes its place.
func (p *Pool) second() bool {
	p.mu.Lock()
	may := p.usual.tries >= 1
	if may {
		p.usual.tries--
	}
	p.mu.Unlock()
	return may && p.slots.TryAcquire()
}
