package pool

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// errHandshake is the error of a connection on which the handshake failed.
var errHandshake = errors.New("handshake failed")

// dial brings up a new connection for one attempt. Some connections come up late or never on paths on which the next
// one comes up at once, so a second dial attempt, the hedge, starts when the first is late. The slower of the two is
// kept for other attempts.
type dial struct {
	pool    *Pool
	address string
	waiter  context.Context // of the attempt that waits for the connection
	ctx     context.Context // of the dial itself, bounded by the connect timeout
	cancel  context.CancelFunc
	results chan dialResult // the first connection to come up, or the last error

	mu       sync.Mutex
	released bool // the attempt does not wait any more
}

// dialResult is how a dial, or one of its attempts, ended: with a connection or an error.
type dialResult struct {
	conn *connection
	err  error
}

// startDial begins to dial. The dial ends with ctx unless it is released before.
func (p *Pool) startDial(ctx context.Context, address string) *dial {
	timeout, _ := p.timeouts()
	d := &dial{pool: p, address: address, waiter: ctx, results: make(chan dialResult, 1)}
	d.ctx, d.cancel = context.WithTimeout(context.Background(), timeout)
	stop := context.AfterFunc(ctx, func() {
		if !d.isReleased() { // the attempt has ended without a connection
			d.cancel()
		}
	})
	go func() {
		defer stop()
		defer d.cancel()
		d.run()
	}()
	return d
}

// wait returns the dial's result if it comes before changed is closed and the time is over.
func (d *dial) wait(timeout time.Duration, changed <-chan struct{}) (result dialResult, ended bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case result = <-d.results:
		return result, true
	case <-changed:
	case <-timer.C:
	}
	return dialResult{}, false
}

// release leaves what comes up to other attempts: the node has had the work of accepting it already.
func (d *dial) release() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.released = true
	select {
	case result := <-d.results:
		if result.conn != nil {
			d.pool.putIdle(d.address, result.conn)
		}
	default:
	}
}

func (d *dial) isReleased() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.released
}

// run makes the dial attempts and returns when all of them have ended.
func (d *dial) run() {
	p := d.pool
	if err := p.acquireSlot(d.ctx); err != nil {
		d.results <- dialResult{err: err}
		return
	}
	if d.isReleased() { // before anything was sent
		p.slots.Release()
		return
	}
	started := time.Now()
	attempts := make(chan dialResult, 2)
	go d.attempt(attempts)
	hedge := time.NewTimer(p.hedgeDelay())
	defer hedge.Stop()
	connected := false
	for pending := 1; pending > 0; {
		select {
		case result := <-attempts:
			pending--
			if result.err == nil {
				if !connected {
					connected = true
					p.recordDialTime(time.Since(started))
				}
				d.deliver(result.conn)
			} else if pending == 0 && !connected {
				d.results <- result
			}
		case <-hedge.C:
			if !connected && p.takeHedge() {
				pending++
				go d.attempt(attempts)
			}
		}
	}
}

// attempt makes one connection in a slot that was taken for it.
func (d *dial) attempt(results chan<- dialResult) {
	conn, err := d.pool.connect(d.ctx, d.address)
	results <- dialResult{conn: conn, err: err}
}

// deliver hands a connection to the attempt that waits, or keeps it for others once that one has a connection. If the
// attempt has ended without one, nobody needs the connection and it is closed.
func (d *dial) deliver(conn *connection) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.released:
		d.pool.putIdle(d.address, conn)
	case d.waiter.Err() != nil:
		d.pool.drop(conn)
		select {
		case d.results <- dialResult{err: d.waiter.Err()}:
		default: // the other dial attempt has said so
		}
	default:
		d.results <- dialResult{conn: conn}
		d.released = true // the end of the attempt does not end the other dial attempt
	}
}

// connect makes one connection, its handshake included. It frees the slot if it fails.
func (p *Pool) connect(ctx context.Context, address string) (*connection, error) {
	dialer := net.Dialer{KeepAlive: -1}
	if p.options.LocalIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: p.options.LocalIP}
	}
	tcp, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.slots.Release()
		return nil, err
	}
	conn := newConnection(tcp)
	if p.options.Handshake == nil {
		return conn, nil
	}
	stop := context.AfterFunc(ctx, func() { _ = tcp.Close() }) // ends the handshake
	err = p.options.Handshake(tcp, conn.reader)
	if !stop() || err != nil {
		p.drop(conn)
		return nil, errors.Join(errHandshake, err)
	}
	return conn, nil
}
