// Package load sends an open-loop load to a running broker: arrivals are drawn ahead and do not wait for answers, and
// latency counts from the time at which a request was to be sent, so that a broker which stands still is not spared
// the requests that it would have met ("coordinated omission").
package load

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Class is a class of requests in the mix.
type RequestClass struct {
	Name     string
	Share    float64       // of all requests, against the other kinds' shares
	Write    bool          // sent as BLK.WRITE
	Deadline time.Duration // how long the client waits
}

// Traffic says what is sent. All draws come from Seed.
type Traffic struct {
	Classes  []RequestClass
	Plans    []string
	Volumes  int     // numbered from 1, each on one plan
	Skew     float64 // Zipf's exponent over volumes, above 1; 0 for an even draw
	Shards   int     // they run from 0
	MaxUnits int     // a request has 1 to so many units
	Brokers  int     // brokers through which a volume's requests come
	Rate     float64 // requests a second
	Duration time.Duration
	Seed     uint64
}

// MaxRequests bounds a run.
const MaxRequests = 20_000_000

// Validate names what makes no sense.
func (t Traffic) Validate() error {
	switch {
	case len(t.Classes) == 0 || len(t.Plans) == 0:
		return errors.New("no classes or no plans")
	case !(t.Rate > 0) || t.Duration <= 0:
		return errors.New("rate and length must be above 0")
	case t.Rate*t.Duration.Seconds() > MaxRequests:
		return fmt.Errorf("%.0f requests are over %d", t.Rate*t.Duration.Seconds(), MaxRequests)
	case t.Volumes < 1 || t.Shards < 1 || t.MaxUnits < 1:
		return errors.New("volumes, shards and units must be above 0")
	case t.Skew != 0 && t.Skew <= 1:
		return errors.New("skew must be above 1, or 0")
	}
	return nil
}

// Arrival is one request.
type Arrival struct {
	At     time.Duration // from the start of the run
	Class  int           // in Traffic.Classes
	Plan   int           // in Traffic.Plans
	Volume int
	Shard  int
	Units  int
	Key    uint64
}

// Arrivals yields the requests in the order of their times: a Poisson process.
func (t Traffic) Arrivals(yield func(Arrival) bool) {
	random := rand.New(rand.NewPCG(t.Seed, 0x10ad))
	var zipf *rand.Zipf
	if t.Skew > 0 {
		zipf = rand.NewZipf(random, t.Skew, 1, uint64(t.Volumes-1))
	}
	sum := 0.0
	for _, k := range t.Classes {
		sum += k.Share
	}
	for at := 0.0; ; {
		at += random.ExpFloat64() / t.Rate
		if at >= t.Duration.Seconds() {
			return
		}
		a := Arrival{At: time.Duration(at * float64(time.Second)), Shard: random.IntN(t.Shards), Units: 1 + random.IntN(t.MaxUnits), Key: random.Uint64()}
		if zipf != nil {
			a.Volume = 1 + int(zipf.Uint64())
		} else {
			a.Volume = 1 + random.IntN(t.Volumes)
		}
		a.Plan = a.Volume % len(t.Plans)
		for draw := random.Float64() * sum; a.Class < len(t.Classes)-1 && draw >= t.Classes[a.Class].Share; a.Class++ {
			draw -= t.Classes[a.Class].Share
		}
		if !yield(a) {
			return
		}
	}
}

// Outcome is what a client made of an answer.
type Outcome int

// The verdicts. Lost and Closed have no whole answer: the client found no connection or gave up well after its deadline, or
// its connection was closed behind the request that it had sent whole.
const (
	Served Outcome = iota
	Rejected
	Failed
	Lost
	Closed
	Unsent // the clients had as many connections as they may
	verdicts
)

var verdictNames = [verdicts]string{"served", "busy", "failed", "lost", "closed", "unsent"}

func (v Outcome) String() string { return verdictNames[v] }

// Stats counts what one kind of request got. Latency, in µs, counts from the intended time of the request, of all
// that got an answer of the broker's.
type Stats struct {
	Counts           [verdicts]int
	Late             int // of Served, Rejected and Failed: the answer came after the deadline, counted from the sending
	Latency          *hdrhistogram.Histogram
	RejectionLatency *hdrhistogram.Histogram // of these, what was refused
}

// mostMicros bounds what a histogram holds: 100 s.
const mostMicros = 100_000_000

func newTally() *Stats {
	return &Stats{Latency: hdrhistogram.New(1, mostMicros, 3), RejectionLatency: hdrhistogram.New(1, mostMicros, 3)}
}

func (t *Stats) add(v Outcome, took time.Duration, late bool) {
	t.Counts[v]++
	if late && v < Lost {
		t.Late++
	}
	micros := max(1, min(took.Microseconds(), mostMicros))
	if v < Lost {
		_ = t.Latency.RecordValue(micros)
	}
	if v == Rejected {
		_ = t.RejectionLatency.RecordValue(micros)
	}
}

// Sent is how many requests were sent.
func (t *Stats) Sent() int {
	sum := 0
	for _, n := range t.Counts {
		sum += n
	}
	return sum
}

// Result is what a run came to.
type Result struct {
	Traffic         Traffic
	StartedAt       time.Time
	All             *Stats
	ByClass         []*Stats
	ByPlan          []*Stats
	LatencyBySecond []*hdrhistogram.Histogram // of each second of the run, by intended time
	MaxSendLag      time.Duration             // the latest that a request was sent after its time
	Dials           int
}

// Options are of the sending side.
type Options struct {
	Addresses         []string // brokers, in turn
	MaxConnections    int      // open at once, at the most
	WaitForConnection bool     // a request waits for one of these while all are busy, which hides from the broker what it can't take
	Progress          func(done time.Duration, sent int)

	// Dial opens a connection to a broker, or fails within the given time; nil stands for TCP.
	Dial func(address string, within time.Duration) (net.Conn, error)
}

// Run sends the traffic until its end, or until ctx ends; then it waits for the answers that are owed.
func Run(ctx context.Context, traffic Traffic, opt Options) (*Result, error) {
	if err := traffic.Validate(); err != nil {
		return nil, err
	}
	if len(opt.Addresses) == 0 {
		return nil, errors.New("no address")
	}
	r := &runner{traffic: traffic, opt: opt, places: make(chan struct{}, cmp.Or(opt.MaxConnections, 256)),
		result: &Result{Traffic: traffic, StartedAt: time.Now(), All: newTally()}}
	if r.opt.Dial == nil {
		r.opt.Dial = func(address string, within time.Duration) (net.Conn, error) {
			return net.DialTimeout("tcp", address, within)
		}
	}
	r.idle = make([][]*client, len(opt.Addresses))
	for range traffic.Classes {
		r.result.ByClass = append(r.result.ByClass, newTally())
	}
	for range traffic.Plans {
		r.result.ByPlan = append(r.result.ByPlan, newTally())
	}
	for range int(math.Ceil(traffic.Duration.Seconds())) {
		r.result.LatencyBySecond = append(r.result.LatencyBySecond, hdrhistogram.New(1, mostMicros, 3))
	}
	r.send(ctx)
	r.wait.Wait()
	for _, idle := range r.idle {
		for _, c := range idle {
			_ = c.conn.Close()
		}
	}
	r.result.Dials = int(r.dials.Load())
	return r.result, nil
}

type runner struct {
	traffic Traffic
	opt     Options
	places  chan struct{}
	wait    sync.WaitGroup
	dials   atomic.Int64

	mu     sync.Mutex
	idle   [][]*client // by address
	result *Result
}

// patience is how long past a request's deadline a client waits before it calls the answer lost; hasty is that of clients
// that open a new connection whenever theirs are busy, as the platform's do: what comes later is lost to them.
const (
	patience = 2 * time.Second
	hasty    = time.Second / 2
)

func (r *runner) patience() time.Duration {
	if r.opt.WaitForConnection {
		return patience
	}
	return hasty
}

func (r *runner) send(ctx context.Context) {
	began, sent := r.result.StartedAt, 0
	timer := time.NewTimer(0)
	defer timer.Stop()
	shown := began
	for a := range r.traffic.Arrivals {
		if wait := time.Until(began.Add(a.At)); wait > 0 {
			timer.Reset(wait)
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
		} else if ctx.Err() != nil {
			return
		}
		sent++
		if now := time.Now(); r.opt.Progress != nil && now.Sub(shown) >= time.Second/4 {
			shown = now
			r.opt.Progress(now.Sub(began), sent)
		}
		if !r.enter(ctx) {
			if ctx.Err() != nil {
				return
			}
			r.mu.Lock()
			r.count(a, Unsent, 0, false)
			r.mu.Unlock()
			continue
		}
		number := sent
		r.wait.Add(1)
		go func() {
			defer r.wait.Done()
			defer func() { <-r.places }()
			r.ask(a, number)
		}()
	}
}

// enter takes one of the connections that there may be.
func (r *runner) enter(ctx context.Context) bool {
	if r.opt.WaitForConnection {
		select {
		case r.places <- struct{}{}:
			return true
		case <-ctx.Done():
			return false
		}
	}
	select {
	case r.places <- struct{}{}:
		return true
	default:
		return false
	}
}

func (r *runner) ask(a Arrival, number int) {
	began, sent := r.result.StartedAt.Add(a.At), time.Now()
	behind, deadline := sent.Sub(began), r.traffic.Classes[a.Class].Deadline
	to := number % len(r.opt.Addresses)
	v := Lost
	for again := true; again; {
		c, err := r.take(to, sent.Add(deadline+r.patience()))
		if err != nil {
			break
		}
		if v, err = c.ask(r.traffic, a, number, sent.Add(deadline+r.patience())); err == nil {
			c.used = true
			r.mu.Lock()
			r.idle[to] = append(r.idle[to], c)
			r.mu.Unlock()
			break
		}
		_ = c.conn.Close()
		// Between requests a broker may close a connection; a request that crosses the close is sent once more, as the
		// platform's clients do.
		again = c.used && errors.Is(err, io.EOF)
		if v == Lost && !again && !errors.Is(err, os.ErrDeadlineExceeded) {
			v = Closed
		}
	}
	took, late := time.Since(began), time.Since(sent) > deadline
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.MaxSendLag = max(r.result.MaxSendLag, behind)
	r.count(a, v, took, late)
}

// count adds to all tallies; the caller holds r.mu.
func (r *runner) count(a Arrival, v Outcome, took time.Duration, late bool) {
	r.result.All.add(v, took, late)
	r.result.ByClass[a.Class].add(v, took, late)
	r.result.ByPlan[a.Plan].add(v, took, late)
	if v < Lost {
		_ = r.result.LatencyBySecond[int(a.At/time.Second)].RecordValue(max(1, min(took.Microseconds(), mostMicros)))
	}
}

// take returns an idle connection, or a new one.
func (r *runner) take(to int, until time.Time) (*client, error) {
	r.mu.Lock()
	if last := len(r.idle[to]) - 1; last >= 0 {
		c := r.idle[to][last]
		r.idle[to] = r.idle[to][:last]
		r.mu.Unlock()
		return c, nil
	}
	r.mu.Unlock()
	r.dials.Add(1)
	conn, err := r.opt.Dial(r.opt.Addresses[to], max(time.Millisecond, time.Until(until)))
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, in: bufio.NewReader(conn)}, nil
}

// client is a connection that speaks RESP2 as the platform's clients do.
type client struct {
	conn net.Conn
	in   *bufio.Reader
	out  []byte
	used bool // it has had an answer
}

// AppendCommand appends a RESP2 command of these words.
func AppendCommand(to []byte, words ...string) []byte {
	to = fmt.Appendf(to, "*%d\r\n", len(words))
	for _, word := range words {
		to = fmt.Appendf(to, "$%d\r\n%s\r\n", len(word), word)
	}
	return to
}

func (c *client) ask(t Traffic, a Arrival, number int, until time.Time) (Outcome, error) {
	kind := t.Classes[a.Class]
	list := fmt.Sprintf("c=%s,t=%s,d=%d,volume=%016x,units=%d,shard=%d,hosts=%d", kind.Name, t.Plans[a.Plan], kind.Deadline.Milliseconds(),
		a.Volume, a.Units, a.Shard, max(1, t.Brokers))
	args := []string{"BLK.READ", fmt.Sprintf("%016x", a.Key), fmt.Sprintf("%08x%08x", uint32(t.Seed), number), list}
	if kind.Write {
		args[0] = "BLK.WRITE"
		args = append(args, "BODY")
	}
	c.out = AppendCommand(c.out[:0], args...)
	_ = c.conn.SetDeadline(until)
	if _, err := c.conn.Write(c.out); err != nil {
		return Lost, err
	}
	return c.read()
}

func (c *client) read() (Outcome, error) {
	line, err := c.in.ReadString('\n')
	if err != nil {
		return Lost, err
	}
	line = strings.TrimSuffix(line, "\r\n")
	switch {
	case strings.HasPrefix(line, "$"):
		size, err := strconv.Atoi(line[1:])
		if err != nil || size < 0 || size > 16<<20 {
			return Failed, err
		}
		if _, err := c.in.Discard(size + 2); err != nil {
			return Lost, err
		}
		return Served, nil
	case strings.HasPrefix(line, "-BUSY"):
		return Rejected, nil
	}
	return Failed, nil
}
