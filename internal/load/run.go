package load

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Options configures the sending side of a run.
type Options struct {
	Addresses      []string // of brokers, used in rotation
	MaxConnections int      // maximum number of open connections; 0 means defaultMaxConnections
	// WaitForConnection makes a request wait while all connections are in use. This hides overload from the broker,
	// because it limits the load to what the broker can serve in time. If WaitForConnection is false, such a request
	// is counted as Unsent.
	WaitForConnection bool
	// Progress is called by the sending goroutine a few times a second. It may be nil.
	Progress func(elapsed time.Duration, sent int)
	// Dial opens a connection to a broker or fails within the timeout. If it is nil, a TCP connection is opened.
	Dial func(address string, timeout time.Duration) (net.Conn, error)
}

const (
	// defaultMaxConnections stays below the usual limit of 1024 file descriptors per process.
	defaultMaxConnections = 256
	// progressInterval is the minimum time between two calls of Options.Progress, short enough to show movement.
	progressInterval = 250 * time.Millisecond
	// minDialTimeout is the minimum timeout of a dial. It keeps the timeout positive for a request that is already
	// late, so that its dial times out.
	minDialTimeout = time.Millisecond

	// waitGrace is how long a client waits for an answer beyond the request's deadline if WaitForConnection is set.
	// After that, the answer is counted as lost. The value is well above the protocol's slack. With a smaller value,
	// answers that are merely late would be counted as lost.
	waitGrace = 2 * time.Second
	// noWaitGrace is the same time if WaitForConnection is not set. Clients then open a new connection whenever all of
	// theirs are in use, as the platform's clients do. With a larger value, expired requests would occupy connections
	// that new requests need.
	noWaitGrace = 500 * time.Millisecond
)

// Run sends the traffic until it ends or ctx is canceled, and then waits for the answers to the requests in flight.
func Run(ctx context.Context, traffic Traffic, options Options) (*Result, error) {
	if err := traffic.Validate(); err != nil {
		return nil, err
	}
	if len(options.Addresses) == 0 {
		return nil, errNoAddress
	}
	if options.Dial == nil {
		options.Dial = func(address string, timeout time.Duration) (net.Conn, error) {
			return net.DialTimeout("tcp", address, timeout)
		}
	}
	r := &runner{
		traffic: traffic,
		options: options,
		slots:   make(chan struct{}, cmp.Or(options.MaxConnections, defaultMaxConnections)),
		idle:    make([][]*client, len(options.Addresses)),
		result:  newResult(traffic),
	}
	r.sendAll(ctx)
	r.inFlight.Wait()
	r.closeIdle()
	r.result.Dials = int(r.dials.Load())
	return r.result, nil
}

// runner is the state of one run.
type runner struct {
	traffic  Traffic
	options  Options
	slots    chan struct{}  // one element for each request in flight; each such request uses one connection
	inFlight sync.WaitGroup // counts the requests' goroutines
	dials    atomic.Int64

	mu     sync.Mutex  // guards idle and result
	idle   [][]*client // by index of the address, the most recently used connection last
	result *Result
}

// grace returns the time after a request's deadline for which the client still waits for the answer.
func (r *runner) grace() time.Duration {
	if r.options.WaitForConnection {
		return waitGrace
	}
	return noWaitGrace
}

// sendAll sends each request at its intended time. It returns early if ctx is canceled.
func (r *runner) sendAll(ctx context.Context) {
	startedAt := r.result.StartedAt
	lastProgress := startedAt
	sent := 0
	timer := time.NewTimer(0)
	defer timer.Stop()
	for arrival := range r.traffic.Arrivals {
		if !sleepUntil(ctx, timer, startedAt.Add(arrival.At)) {
			return
		}
		sent++
		now := time.Now()
		if r.options.Progress != nil && now.Sub(lastProgress) >= progressInterval {
			lastProgress = now
			r.options.Progress(now.Sub(startedAt), sent)
		}
		if r.acquireSlot(ctx) {
			r.start(arrival, sent)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		r.record(arrival, Unsent, 0, false)
	}
}

// sleepUntil waits until the time at. It reports false if ctx is canceled.
func sleepUntil(ctx context.Context, timer *time.Timer, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer.Reset(wait)
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// acquireSlot reserves one of the MaxConnections connections and reports whether it succeeded.
func (r *runner) acquireSlot(ctx context.Context) bool {
	if r.options.WaitForConnection {
		select {
		case r.slots <- struct{}{}:
			return true
		case <-ctx.Done():
			return false
		}
	}
	select {
	case r.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// start sends a request in a new goroutine, which releases the request's slot at its end.
func (r *runner) start(arrival Arrival, number int) {
	r.inFlight.Add(1)
	go func() {
		defer r.inFlight.Done()
		defer func() { <-r.slots }()
		r.request(arrival, number)
	}()
}

// request sends one request and records its outcome.
func (r *runner) request(arrival Arrival, number int) {
	intended := r.result.StartedAt.Add(arrival.At)
	sentAt := time.Now()
	deadline := r.traffic.Classes[arrival.Class].Deadline
	outcome := r.exchange(arrival, number, sentAt.Add(deadline+r.grace()))
	latency := time.Since(intended)
	late := time.Since(sentAt) > deadline

	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.MaxSendLag = max(r.result.MaxSendLag, sentAt.Sub(intended))
	r.result.add(arrival, outcome, latency, late)
}

// exchange sends a request and returns its outcome.
//
// A broker may close an idle connection while a request is being sent on it. The client then reads EOF on a connection
// that was used before. In this case, exchange sends the request again on another connection, as the platform's clients
// do.
func (r *runner) exchange(arrival Arrival, number int, until time.Time) Outcome {
	address := number % len(r.options.Addresses)
	outcome := Lost
	for {
		c, err := r.acquireClient(address, until)
		if err != nil {
			return outcome
		}
		outcome, err = c.exchange(r.traffic, arrival, number, until)
		if err == nil {
			r.release(address, c)
			return outcome
		}
		_ = c.conn.Close() // the error of the exchange is handled below
		if c.used && errors.Is(err, io.EOF) {
			continue
		}
		if outcome == Lost && !errors.Is(err, os.ErrDeadlineExceeded) {
			return Closed
		}
		return outcome
	}
}

func (r *runner) record(arrival Arrival, outcome Outcome, latency time.Duration, late bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.add(arrival, outcome, latency, late)
}

// acquireClient returns an idle connection if there is one, and otherwise opens a new connection.
func (r *runner) acquireClient(address int, until time.Time) (*client, error) {
	if c := r.takeIdle(address); c != nil {
		return c, nil
	}
	r.dials.Add(1)
	conn, err := r.options.Dial(r.options.Addresses[address], max(minDialTimeout, time.Until(until)))
	if err != nil {
		return nil, err
	}
	return newClient(conn), nil
}

// takeIdle returns the most recently used idle connection, or nil if there is none.
func (r *runner) takeIdle(address int) *client {
	r.mu.Lock()
	defer r.mu.Unlock()
	idle := r.idle[address]
	if len(idle) == 0 {
		return nil
	}
	last := len(idle) - 1
	r.idle[address] = idle[:last]
	return idle[last]
}

func (r *runner) release(address int, c *client) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.idle[address] = append(r.idle[address], c)
}

// closeIdle closes all connections. It is called after the last request has ended.
func (r *runner) closeIdle() {
	for _, idle := range r.idle {
		for _, c := range idle {
			_ = c.conn.Close() // the result is already complete
		}
	}
}
