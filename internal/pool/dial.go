package pool

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// errHandshake is joined with the cause when the handshake on a new connection fails.
var errHandshake = errors.New("handshake failed")

// dial makes a new connection for one attempt of a request. On some paths a connection is established late or never,
// while the next one is established immediately. A dial therefore consists of one or two dial attempts: if the first
// one has no result after Pool.hedgeDelay, a second one, the hedge, is started. The connection that is established
// first serves the waiting attempt, and the other one is kept for other attempts.
type dial struct {
	pool    *Pool
	address string
	waiter  context.Context // context of the attempt of the request, which waits for the connection
	ctx     context.Context // context of the dial attempts, bounded by the connect timeout
	cancel  context.CancelFunc
	results chan dialResult // the first established connection, or the error if there is none

	mu       sync.Mutex
	released bool // the waiting attempt has a connection, from this dial or another source
}

// dialResult is the result of a dial or of one dial attempt: a connection or an error.
type dialResult struct {
	conn *connection
	err  error
}

// startDial starts a dial to address for the attempt with the context ctx. If ctx ends before the dial is released, the
// dial is canceled.
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

// wait returns the dial's result if it arrives within timeout and before changed is closed. The channel changed signals
// a change of the idle connections (see Pool.takeIdle).
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

// release is called when the waiting attempt has received another connection. The dial's connections are then kept for
// other attempts. A dial attempt that has started continues, since the node may already have accepted its connection.
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

// run makes the dial attempts and returns when all of them have ended. It makes none if the dial has no slot within the
// connect timeout, or has been released by the time it gets a slot.
func (d *dial) run() {
	p := d.pool
	if err := p.acquireSlot(d.ctx); err != nil {
		d.results <- dialResult{err: err}
		return
	}
	if d.isReleased() { // no dial attempt has started yet
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

// attempt performs one dial attempt and sends its result to results. The caller has acquired a slot for it.
func (d *dial) attempt(results chan<- dialResult) {
	conn, err := d.pool.connect(d.ctx, d.address)
	results <- dialResult{conn: conn, err: err}
}

// deliver passes a connection to the waiting attempt, or keeps it for other attempts if the waiting attempt already has
// a connection. If the waiting attempt has ended without a connection, deliver closes conn.
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
		default: // the other dial attempt has already reported the error
		}
	default:
		d.results <- dialResult{conn: conn}
		d.released = true // from now on, the end of the waiting attempt must not cancel the other dial attempt
	}
}

// connect makes one connection, including its handshake. If it fails, it releases the slot that the caller has
// acquired.
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
	stop := context.AfterFunc(ctx, func() { _ = tcp.Close() }) // aborts the handshake
	err = p.options.Handshake(tcp, conn.reader)
	if !stop() || err != nil {
		p.drop(conn)
		return nil, errors.Join(errHandshake, err)
	}
	return conn, nil
}
