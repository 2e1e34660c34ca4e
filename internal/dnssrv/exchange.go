package dnssrv

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/miekg/dns"
)

const (
	// maxDatagrams bounds the datagrams read for one question; those that do not fit are passed over. Higher, a flood
	// of forged ones takes more processor time; lower, a few of them hide the true answer.
	maxDatagrams = 16
	// udpSize is the size of an answer that is asked for, as resolvers of today do: larger datagrams may be lost on
	// the way.
	udpSize = 1232
	// minBackoff and maxBackoff bound how long a server that failed is tried after the others only; it doubles with each
	// failure. Higher, a server that is back is used later; lower, each question waits for a dead one first.
	minBackoff = time.Second
	maxBackoff = 30 * time.Second
)

var (
	// errServer is of an answer that says that the server failed.
	errServer = errors.New("the server failed")
	// errTruncated is of an answer that does not even fit into a TCP message.
	errTruncated = errors.New("truncated over TCP")
	// errOtherID, errNoAnswer and errOtherQuestion are of messages that do not answer what was asked.
	errOtherID       = errors.New("an answer with another id")
	errNoAnswer      = errors.New("no answer")
	errOtherQuestion = errors.New("an answer to another question")
)

// serverHealth is what is known of a server.
type serverHealth struct {
	backoff time.Duration // the last one; 0 after an answer
	until   time.Time     // it is tried only if no other is left
}

// exchange asks servers in turn until one answers. Resting servers come last.
func (r *Resolver) exchange(ctx context.Context, q question) (*dns.Msg, error) {
	var failures []error
	for range r.options.Attempts {
		for _, i := range r.serverOrder() {
			if err := r.waitForToken(ctx); err != nil {
				return nil, errors.Join(append(failures, err)...)
			}
			server := r.options.Servers[i]
			msg, err := r.askServer(ctx, server, q)
			r.recordHealth(i, err)
			if err == nil {
				return msg, nil
			}
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			failures = append(failures, fmt.Errorf("%s: %w", server, err))
		}
	}
	return nil, failures[len(failures)-1]
}

// serverOrder are the indices of the servers, resting ones last.
func (r *Resolver) serverOrder() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var healthy, failed []int
	for i, health := range r.health {
		if now.Before(health.until) {
			failed = append(failed, i)
		} else {
			healthy = append(healthy, i)
		}
	}
	return append(healthy, failed...)
}

// recordHealth notes how a server answered. The rest is random, so that brokers do not come back together.
func (r *Resolver) recordHealth(server int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	health := &r.health[server]
	if err == nil {
		*health = serverHealth{}
		return
	}
	health.backoff = min(maxBackoff, max(minBackoff, 2*health.backoff))
	health.until = r.now().Add(health.backoff/2 + rand.N(health.backoff))
}

// waitForToken waits until a query may be sent: a bound for the whole process, whatever the number of names.
func (r *Resolver) waitForToken(ctx context.Context) error {
	for {
		wait, taken := r.takeToken()
		if taken {
			return nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("queries are at their bound: %w", ctx.Err())
		case <-timer.C:
		}
	}
}

// takeToken refills the token bucket and takes a token, or returns the time until there is one.
func (r *Resolver) takeToken() (wait time.Duration, taken bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	refill := now.Sub(r.refilled).Seconds() * r.options.Rate
	r.tokens = min(float64(r.options.Burst), r.tokens+refill)
	r.refilled = now
	if r.tokens >= 1 {
		r.tokens--
		r.queries++
		return 0, true
	}
	missing := (1 - r.tokens) / r.options.Rate // seconds
	return time.Duration(missing * float64(time.Second)), false
}

// randomID draws a query's id. The top-level generator is seeded by the system, and ChaCha8: an id that can be
// guessed lets others forge answers.
func randomID() uint16 {
	return uint16(rand.Uint32())
}

// askServer asks one server: over UDP, and over TCP where the answer does not fit into a datagram.
func (r *Resolver) askServer(ctx context.Context, server string, q question) (*dns.Msg, error) {
	query := new(dns.Msg)
	query.Id = randomID()
	query.RecursionDesired = true
	query.Question = []dns.Question{{Name: q.name, Qtype: q.kind, Qclass: dns.ClassINET}}
	query.SetEdns0(udpSize, false)
	msg, err := r.send(ctx, networkUDP, server, query)
	if err == nil && msg.Truncated {
		query.Id = randomID()
		msg, err = r.send(ctx, networkTCP, server, query)
		if err == nil && msg.Truncated {
			err = errTruncated
		}
	}
	if err != nil {
		return nil, err
	}
	if msg.Rcode != dns.RcodeSuccess && msg.Rcode != dns.RcodeNameError {
		return nil, fmt.Errorf("%w: %s", errServer, dns.RcodeToString[msg.Rcode])
	}
	return msg, nil
}

const (
	networkUDP = "udp"
	networkTCP = "tcp"
)

// send sends a query from a socket of its own, and so from a random port, and reads until its answer comes.
func (r *Resolver) send(ctx context.Context, network, server string, query *dns.Msg) (*dns.Msg, error) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Timeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, network, server)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }() // nothing more is wanted of it
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline) // fails only on a closed connection
	// Ends the read below as soon as nobody waits for it.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	dnsConn := &dns.Conn{Conn: conn, UDPSize: udpSize}
	if err := dnsConn.WriteMsg(query); err != nil {
		return nil, err
	}
	return readAnswer(dnsConn, network, query)
}

// readAnswer reads until the answer to a query comes. Over UDP others may send datagrams to the same port, and what
// does not fit is passed over; over TCP it ends the exchange.
func readAnswer(conn *dns.Conn, network string, query *dns.Msg) (*dns.Msg, error) {
	var mismatch error
	for range maxDatagrams {
		msg, err := conn.ReadMsg()
		if err != nil && (network == networkTCP || msg == nil && isNetworkError(err)) {
			return nil, errors.Join(mismatch, err)
		}
		if err != nil { // not a message: the true answer may follow
			mismatch = err
			continue
		}
		mismatch = checkAnswer(query, msg)
		if mismatch == nil {
			return msg, nil
		}
		if network == networkTCP {
			break
		}
	}
	return nil, mismatch
}

func isNetworkError(err error) bool {
	var networkError net.Error
	return errors.As(err, &networkError) || errors.Is(err, net.ErrClosed)
}

// checkAnswer checks an answer against its query. It guards against answers that somebody else sent, which would put
// nodes of theirs into the list.
func checkAnswer(query, msg *dns.Msg) error {
	switch {
	case msg.Id != query.Id:
		return errOtherID
	case !msg.Response || msg.Opcode != dns.OpcodeQuery:
		return errNoAnswer
	case len(msg.Question) != 1:
		return fmt.Errorf("an answer with %d questions", len(msg.Question))
	}
	asked, answered := query.Question[0], msg.Question[0]
	sameName := strings.EqualFold(asked.Name, answered.Name)
	if !sameName || asked.Qtype != answered.Qtype || asked.Qclass != answered.Qclass {
		return fmt.Errorf("%w, %s", errOtherQuestion, answered.Name)
	}
	return nil
}
