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
	// maxDatagrams limits the datagrams that are read for one query, including those that do not match the query. With
	// a larger value, a flood of forged datagrams uses more processor time. With a smaller value, a few forged
	// datagrams hide the true answer.
	maxDatagrams = 16
	// udpSize is the maximum size in bytes of an answer over UDP. It is the usual value of current resolvers, since
	// larger datagrams may be lost.
	udpSize = 1232
	// minBackoff and maxBackoff limit the mean time for which a failed server is tried only after the others. Each
	// further failure doubles this time. With larger values, a recovered server is used later. With smaller values,
	// each question first waits for a failed server.
	minBackoff = time.Second
	maxBackoff = 30 * time.Second
)

var (
	// errServer reports an answer with an error code.
	errServer = errors.New("server returned an error")
	// errTruncated reports an answer that does not fit into a TCP message either.
	errTruncated = errors.New("answer over TCP is truncated")
	// errOtherID, errNoAnswer and errOtherQuestion report messages that do not match the query.
	errOtherID       = errors.New("answer has the wrong query ID")
	errNoAnswer      = errors.New("message is not an answer to a query")
	errOtherQuestion = errors.New("answer is for a different question")
)

// serverHealth is the state of a server according to its last answers.
type serverHealth struct {
	backoff time.Duration // mean of the latest backoff; 0 after an answer
	until   time.Time     // until then the server is tried after the others
}

// exchange queries the servers one after the other until one answers. Servers that failed recently are tried last.
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

// serverOrder returns the indices of the servers in the order of use. Servers that failed recently are last.
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

// recordHealth records whether a server answered. The backoff is random, so that brokers do not return to a server at
// the same time.
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

// waitForToken waits until the rate limit admits a query. The limit applies to all queries of the resolver together.
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
			return fmt.Errorf("wait for the query rate limit: %w", ctx.Err())
		case <-timer.C:
		}
	}
}

// takeToken refills the token bucket and takes a token. If there is none, it returns the time until the next one.
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

// randomID returns a random query ID. The generator is ChaCha8, seeded by the system, so that an attacker cannot
// guess the ID and forge answers.
func randomID() uint16 {
	return uint16(rand.Uint32())
}

// askServer queries one server over UDP. If the answer does not fit into a datagram, it repeats the query over TCP.
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

// send sends a query and reads its answer. Each query uses a new socket and therefore a random port.
func (r *Resolver) send(ctx context.Context, network, server string, query *dns.Msg) (*dns.Msg, error) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Timeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, network, server)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }() // the answer has been read
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline) // fails only on a closed connection
	// Ends the read below as soon as ctx is canceled.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	dnsConn := &dns.Conn{Conn: conn, UDPSize: udpSize}
	if err := dnsConn.WriteMsg(query); err != nil {
		return nil, err
	}
	return readAnswer(dnsConn, network, query)
}

// readAnswer reads messages until one is the answer to the query. Over UDP it skips datagrams that do not match the
// query, since any host can send datagrams to the same port. Over TCP such a message is an error.
func readAnswer(conn *dns.Conn, network string, query *dns.Msg) (*dns.Msg, error) {
	var mismatch error
	for range maxDatagrams {
		msg, err := conn.ReadMsg()
		if err != nil && (network == networkTCP || msg == nil && isNetworkError(err)) {
			return nil, errors.Join(mismatch, err)
		}
		if err != nil { // not a DNS message: the true answer may follow
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

// checkAnswer returns an error if a message is not the answer to the query. Without this check, forged answers could
// put an attacker's nodes into the list.
func checkAnswer(query, msg *dns.Msg) error {
	switch {
	case msg.Id != query.Id:
		return errOtherID
	case !msg.Response || msg.Opcode != dns.OpcodeQuery:
		return errNoAnswer
	case len(msg.Question) != 1:
		return fmt.Errorf("answer has %d questions, want 1", len(msg.Question))
	}
	asked, answered := query.Question[0], msg.Question[0]
	sameName := strings.EqualFold(asked.Name, answered.Name)
	if !sameName || asked.Qtype != answered.Qtype || asked.Qclass != answered.Qclass {
		return fmt.Errorf("%w: %s", errOtherQuestion, answered.Name)
	}
	return nil
}
