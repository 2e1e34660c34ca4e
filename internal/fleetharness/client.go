package fleetharness

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"junctionwharf/internal/load"
)

const (
	// trafficVolumes is the number of volumes that requests address.
	trafficVolumes = 200
	// maxUnits is the largest request size. Sizes are drawn from 1 to maxUnits units.
	maxUnits = 3
	// answerGrace is how long after its deadline a client still waits for an answer, so that late answers do not count
	// as lost.
	answerGrace = 2 * time.Second
	// clientDialTimeout bounds a dial to a broker on the same machine.
	clientDialTimeout = time.Second
	// maxAnswerSize is the largest accepted answer in bytes.
	maxAnswerSize = 1 << 20
	// lineEndSize is the length in bytes of the line end after an answer's body.
	lineEndSize = 2
)

// trafficClient sends requests to one broker in an open loop: it opens a new connection if all others are in use.
type trafficClient struct {
	fleet  *Fleet
	broker *broker
	random *rand.Rand // used only by the goroutine that creates requests
	rate   float64    // requests per second
	sent   int        // used only by the goroutine that creates requests
	wait   sync.WaitGroup

	mu   sync.Mutex // guards the fields below
	idle []*clientConn
}

// clientConn is a connection of a client. It carries one request at a time.
type clientConn struct {
	net.Conn
	in   *bufio.Reader
	used bool // an answer has been received on it
}

// run sends requests at random times at the client's rate until a given time, then waits for all answers.
func (c *trafficClient) run(ctx context.Context, until time.Duration) {
	at := Now()
	for {
		at += time.Duration(c.random.ExpFloat64() / (c.rate * c.broker.burstFactor()) * float64(time.Second))
		if at >= until {
			break
		}
		sleepFor(ctx, at-Now())
		if ctx.Err() != nil {
			return
		}
		s := c.newRequest(c.random.Float64() < c.fleet.scenario.WriteFraction)
		target := c.drawTarget()
		c.wait.Go(func() { c.send(s, target) })
	}
	c.wait.Wait()
	c.closeIdle()
}

// target identifies what a request addresses.
type target struct {
	shard  int
	volume int
	key    uint64
}

func (c *trafficClient) drawTarget() target {
	return target{
		shard:  c.random.IntN(c.fleet.scenario.Shards),
		volume: c.random.IntN(trafficVolumes),
		key:    c.random.Uint64(),
	}
}

// newRequest creates a request and records it as sent now.
func (c *trafficClient) newRequest(write bool) *request {
	c.sent++
	s := &request{
		id:       fmt.Sprintf("%08x%08x", c.broker.number, c.sent),
		broker:   c.broker.number,
		write:    write,
		units:    float64(1 + c.random.IntN(maxUnits)),
		deadline: readDeadline,
		sentAt:   Now(),
		excused:  c.broker.isDown(),
	}
	if write {
		s.deadline = writeDeadline
	}
	c.fleet.recorder.addRequest(s)
	return s
}

// acquire returns an idle connection or opens a new one.
func (c *trafficClient) acquire() (*clientConn, error) {
	if conn := c.takeIdle(); conn != nil {
		return conn, nil
	}
	conn, err := net.DialTimeout("tcp4", c.broker.address, clientDialTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, in: bufio.NewReader(conn)}, nil
}

func (c *trafficClient) takeIdle() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := len(c.idle) - 1
	if last < 0 {
		return nil
	}
	conn := c.idle[last]
	c.idle = c.idle[:last]
	return conn
}

func (c *trafficClient) release(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

func (c *trafficClient) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		_ = conn.Close() // the run is over
	}
}

// command encodes a request in the wire format.
func (c *trafficClient) command(s *request, t target) string {
	name, class := "BLK.READ", readClass
	if s.write {
		name, class = "BLK.WRITE", writeClass
	}
	options := fmt.Sprintf("c=%s,t=%s,d=%d,volume=%016x,units=%g,shard=%d,hosts=%d",
		class, trafficPlan, s.deadline.Milliseconds(), t.volume, s.units, t.shard, c.fleet.scenario.totalBrokers())
	words := []string{name, fmt.Sprintf("%016x", t.key), s.id, options}
	if s.write {
		words = append(words, "BODY")
	}
	return string(load.AppendCommand(nil, words...))
}

// send sends a request until it is answered or can no longer be answered, and records its outcome. If the broker closes
// a reused connection before answering, the request is sent again on another connection, as the platform's clients do.
func (c *trafficClient) send(s *request, t target) {
	text := c.command(s, t)
	for {
		conn, err := c.acquire()
		if err != nil {
			c.fleet.recorder.requestEnded(s, OutcomeLost, false)
			return
		}
		result, err := c.exchange(conn, s, t, text)
		if err == nil {
			c.fleet.recorder.requestEnded(s, result, false)
			if result == OutcomeCut {
				return
			}
			conn.used = true
			c.release(conn)
			return
		}
		_ = conn.Close() // the error of the exchange decides what happens next
		if conn.used && endedByPeer(err) && Now() < s.sentAt+s.deadline {
			continue
		}
		c.fleet.recorder.requestEnded(s, OutcomeLost, !errors.Is(err, os.ErrDeadlineExceeded))
		return
	}
}

// endedByPeer reports whether an error means that the peer has closed or reset the connection.
func endedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// exchange sends a request over the client's link and reads the answer. On a link that cuts requests, it resets the
// connection in the middle of the request.
func (c *trafficClient) exchange(conn *clientConn, s *request, t target, text string) (Outcome, error) {
	_ = conn.SetDeadline(time.Now().Add(s.deadline + answerGrace)) // a closed connection fails below
	link := c.broker.clientLink()
	if link.cutAt > 0 && link.cutAt < len(text) {
		_, _ = io.WriteString(conn, text[:link.cutAt]) // the connection is closed in any case
		resetOnClose(conn.Conn)
		_ = conn.Close()
		return OutcomeCut, nil
	}
	if err := link.send(conn, text, t.key); err != nil {
		return OutcomeLost, err
	}
	return readAnswer(conn.in)
}

// readAnswer reads an answer, which is a bulk string or an error.
func readAnswer(in *bufio.Reader) (Outcome, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return OutcomeLost, err
	}
	switch {
	case strings.HasPrefix(line, "$"):
		size, err := strconv.Atoi(strings.TrimSpace(line[1:]))
		if err != nil || size < 0 || size > maxAnswerSize {
			return OutcomeFailed, nil
		}
		_, err = in.Discard(size + lineEndSize)
		return OutcomeServed, err
	case strings.HasPrefix(line, "-BUSY"):
		return OutcomeRejected, nil
	}
	return OutcomeFailed, nil
}

// clientLink returns the link from the broker's clients to the broker.
func (b *broker) clientLink() clientLink {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clients
}

// burstFactor returns the current multiple of the usual rate at which clients send requests.
func (b *broker) burstFactor() float64 { return cmp.Or(b.clientLink().burst, 1) }
