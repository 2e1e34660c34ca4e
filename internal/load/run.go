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

// Options are those of the sending side.
type Options struct {
	Addresses      []string // of brokers, used in turn
	MaxConnections int      // open at once; 0 for defaultMaxConnections
	// WaitForConnection has a request wait while all connections are in use, which hides from the broker what it
	// cannot serve in time. Without it such a request is Unsent.
	WaitForConnection bool
	// Progress is called a few times a second by the sending goroutine; nil for not at all.
	Progress func(elapsed time.Duration, sent int)
	// Dial opens a connection to a broker, or fails within the given time; nil stands for TCP.
	Dial func(address string, timeout time.Duration) (net.Conn, error)
}

const (
	// defaultMaxConnections stays below the usual limit of 1024 descriptors a process.
	defaultMaxConnections = 256
	// progressInterval is the time between two calls of Options.Progress: a reader sees it move.
	progressInterval = 250 * time.Millisecond
	// minDialTimeout is left to a dial whose request is late already, so that it fails by itself.
	minDialTimeout = time.Millisecond

	// patientGrace is how long after a request's deadline a client calls the answer lost where it waits for
	// connections. It is well above the protocol's slack: lower, answers that are merely late would count as lost.
	patientGrace = 2 * time.Second
	// hastyGrace is the same of clients that open a new connection whenever theirs are in use, as the platform's do.
	// Longer, requests that nobody waits for any more would hold the connections of the next ones.
	hastyGrace = 500 * time.Millisecond
)

// Run sends the traffic until its end, or until ctx ends; then it waits for the answers that are owed.
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
	slots    chan struct{}  // one element for each request in flight, which has one connection
	inFlight sync.WaitGroup // the requests' goroutines
	dials    atomic.Int64

	mu     sync.Mutex  // guards what follows
	idle   [][]*client // by index of the address, the most recently used last
	result *Result
}

func (r *runner) grace() time.Duration {
	if r.options.WaitForConnection {
		return patientGrace
	}
	return hastyGrace
}

// sendAll sends each request at its time.
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

// sleepUntil waits for a time, and reports false once ctx has ended.
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

// acquireSlot takes one of the connections that there may be.
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

// start sends a request in a goroutine of its own, which gives the slot back.
func (r *runner) start(arrival Arrival, number int) {
	r.inFlight.Add(1)
	go func() {
		defer r.inFlight.Done()
		defer func() { <-r.slots }()
		r.request(arrival, number)
	}()
}

// request sends one request and records what became of it.
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

// exchange sends a request until it has an answer or can have none.
//
// Between requests a broker may close a connection. A request that crosses the close shows as the end of a connection
// that was used before; it is sent again, as the platform's clients do.
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
		_ = c.conn.Close() // the exchange's own error is what counts
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

// acquireClient returns an idle connection, or a new one.
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

// takeIdle returns the most recently used idle connection, nil if there is none.
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

// closeIdle closes all connections once no request is in flight.
func (r *runner) closeIdle() {
	for _, idle := range r.idle {
		for _, c := range idle {
			_ = c.conn.Close() // the run is over
		}
	}
}
