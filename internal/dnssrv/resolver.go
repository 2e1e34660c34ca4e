// Package srv is a small resolver for lists of storage nodes in DNS: SRV records (RFC 2782) with the addresses of their targets,
// and what a site's names or TXT records say of each.
package dnssrv

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/miekg/dns"
)

// Options are of a Resolver. The zero value of a field means its default.
type Options struct {
	Servers  []string      // host:port, in order of preference
	Timeout  time.Duration // of one try at one server; 1 s
	Attempts int           // how often all servers are tried for a question; 2
	Rate     float64       // queries a second for the whole process; 50
	Burst    int           // queries at once; 100
	MinTTL   time.Duration // a shorter lifetime counts as this; 1 s
	MaxTTL   time.Duration // a longer one as this; 60 s
	MaxStale time.Duration // an address that cannot be asked for again is used for so long past its life (RFC 8767); 1 h
}

func (o *Options) complete() {
	for _, d := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{{&o.Timeout, time.Second}, {&o.MinTTL, time.Second}, {&o.MaxTTL, time.Minute}, {&o.MaxStale, time.Hour}} {
		if *d.value == 0 {
			*d.value = d.fallback
		}
	}
	if o.Attempts == 0 {
		o.Attempts = 2
	}
	if o.Rate == 0 {
		o.Rate = 50
	}
	if o.Burst == 0 {
		o.Burst = 100
	}
}

const (
	maxChain   = 8    // CNAMEs
	maxTargets = 5000 // records of an answer that are used
	maxAnswers = 16   // datagrams read for one question: those that do not fit are passed over
	maxCache   = 20_000
	udpSize    = 1232 // as resolvers of today ask for
	restLeast  = time.Second
	restMost   = 30 * time.Second
)

// Resolver asks servers and keeps addresses and texts for their lifetimes. It is for many goroutines.
type Resolver struct {
	opt   Options
	clock func() time.Time

	mu       sync.Mutex
	health   []health // of each server
	tokens   float64
	filled   time.Time
	cache    map[question]*cached
	inflight map[question]*call
	queries  uint64
}

type question struct {
	name string
	kind uint16
}

type health struct {
	rest  time.Duration // the last one; 0 after an answer
	until time.Time     // it is tried only if no other is left
}

type cached struct {
	records  []dns.RR
	expires  time.Time
	negative bool
}

type call struct {
	done  chan struct{}
	reply reply
	err   error
}

// reply is the answer to a question: its records, or that there are none.
type reply struct {
	records []dns.RR // of the kind, at the end of the chain
	extra   []dns.RR // the additional part
	ttl     time.Duration
	none    bool // NXDOMAIN, or no record of the kind
}

// NewResolver returns a resolver.
func NewResolver(opt Options) (*Resolver, error) {
	if len(opt.Servers) == 0 {
		return nil, errors.New("no name server")
	}
	opt.complete()
	return &Resolver{opt: opt, clock: time.Now, health: make([]health, len(opt.Servers)), tokens: float64(opt.Burst), filled: time.Now(),
		cache: map[question]*cached{}, inflight: map[question]*call{}}, nil
}

// Queries counts what was asked of servers.
func (r *Resolver) Queries() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queries
}

// ErrNoRecords tells that a name has no such record: a server said so.
var ErrNoRecords = errors.New("no such record")

// Record is one SRV record with the addresses of its target, as host:port.
type Record struct {
	Target           string // without the last dot
	Priority, Weight uint16
	Addresses        []string
	TXT              []string // TXT strings of the target, if they were asked for
}

// Answer is what a name's SRV records come to.
type Answer struct {
	Records    []Record
	TTL        time.Duration // the least lifetime of all that went into it, within the bounds
	Unresolved []Unresolved  // targets whose addresses could not be had
}

// Unresolved is a target without an address.
type Unresolved struct {
	Target string
	Err    error
}

// Lookup asks for a name's SRV records, always anew; addresses and texts may come from what is kept. It fails if servers
// do not answer, and with ErrNoRecords if there are no records.
func (r *Resolver) Lookup(ctx context.Context, name string, texts bool) (Answer, error) {
	got, err := r.ask(ctx, question{dns.CanonicalName(dns.Fqdn(name)), dns.TypeSRV})
	if err != nil {
		return Answer{}, err
	}
	if got.none {
		return Answer{TTL: got.ttl}, fmt.Errorf("%s: %w", name, ErrNoRecords)
	}
	answer := Answer{TTL: got.ttl}
	extra := map[string][]dns.RR{}
	for _, rr := range got.extra {
		owner := dns.CanonicalName(rr.Header().Name)
		extra[owner] = append(extra[owner], rr)
	}
	seen := map[string]bool{}
	var all []*dns.SRV
	for _, rr := range got.records {
		s, is := rr.(*dns.SRV)
		key := ""
		if is {
			key = fmt.Sprintf("%s:%d", dns.CanonicalName(s.Target), s.Port)
		}
		if !is || s.Target == "." || s.Port == 0 || seen[key] || len(all) >= maxTargets { // "." says that there is no such service
			continue
		}
		seen[key] = true
		all = append(all, s)
	}
	if len(all) == 0 {
		return Answer{TTL: got.ttl}, fmt.Errorf("%s: %w", name, ErrNoRecords)
	}
	answer.Records = make([]Record, len(all))
	faults := make([]error, len(all))
	lives := make([]time.Duration, len(all))
	var wait sync.WaitGroup
	places := make(chan struct{}, 32)
	for i, s := range all {
		wait.Add(1)
		places <- struct{}{}
		go func() {
			defer wait.Done()
			defer func() { <-places }()
			answer.Records[i], lives[i], faults[i] = r.record(ctx, s, extra[dns.CanonicalName(s.Target)], texts)
		}()
	}
	wait.Wait()
	kept := answer.Records[:0]
	for i, rec := range answer.Records {
		if faults[i] != nil {
			answer.Unresolved = append(answer.Unresolved, Unresolved{rec.Target, faults[i]})
			continue
		}
		answer.TTL = min(answer.TTL, lives[i])
		kept = append(kept, rec)
	}
	answer.Records = kept
	return answer, nil
}

// record completes an SRV record.
func (r *Resolver) record(ctx context.Context, s *dns.SRV, extra []dns.RR, texts bool) (Record, time.Duration, error) {
	target := dns.CanonicalName(s.Target)
	rec := Record{Target: strings.TrimSuffix(target, "."), Priority: s.Priority, Weight: s.Weight}
	life := r.opt.MaxTTL
	var ips []net.IP
	add := func(records []dns.RR) {
		for _, rr := range records {
			switch a := rr.(type) {
			case *dns.A:
				ips = append(ips, a.A)
			case *dns.AAAA:
				ips = append(ips, a.AAAA)
			default:
				continue
			}
			life = min(life, r.bound(time.Duration(rr.Header().Ttl)*time.Second))
		}
	}
	add(extra)
	if len(ips) == 0 {
		var fault error
		for _, kind := range []uint16{dns.TypeA, dns.TypeAAAA} {
			records, left, err := r.kept(ctx, question{target, kind})
			if err != nil && !errors.Is(err, ErrNoRecords) {
				fault = err
			}
			if err == nil {
				life = min(life, left)
				add(records)
			}
		}
		if len(ips) == 0 {
			if fault == nil {
				fault = ErrNoRecords
			}
			return rec, 0, fault
		}
	}
	for _, ip := range ips {
		rec.Addresses = append(rec.Addresses, net.JoinHostPort(ip.String(), fmt.Sprint(s.Port)))
	}
	if texts {
		records, left, err := r.kept(ctx, question{target, dns.TypeTXT})
		if err != nil && !errors.Is(err, ErrNoRecords) {
			return rec, 0, fmt.Errorf("its text: %w", err)
		}
		for _, rr := range records {
			if txt, is := rr.(*dns.TXT); is {
				rec.TXT = append(rec.TXT, txt.Txt...)
				life = min(life, left)
			}
		}
	}
	return rec, life, nil
}

// bound keeps a lifetime within the settings.
func (r *Resolver) bound(ttl time.Duration) time.Duration {
	return max(r.opt.MinTTL, min(ttl, r.opt.MaxTTL))
}

// kept answers from what is kept, or asks; where servers fail, what is kept serves on for a while. One question is asked once
// at a time.
func (r *Resolver) kept(ctx context.Context, q question) ([]dns.RR, time.Duration, error) {
	r.mu.Lock()
	now := r.clock()
	if c := r.cache[q]; c != nil && now.Before(c.expires) {
		defer r.mu.Unlock()
		if c.negative {
			return nil, 0, ErrNoRecords
		}
		return c.records, c.expires.Sub(now), nil
	}
	running := r.inflight[q]
	if running == nil {
		running = &call{done: make(chan struct{})}
		r.inflight[q] = running
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), r.patience())
			defer cancel()
			running.reply, running.err = r.ask(ctx, q)
			r.mu.Lock()
			delete(r.inflight, q)
			if running.err == nil {
				r.keep(q, running.reply)
			}
			r.mu.Unlock()
			close(running.done)
		}()
	}
	r.mu.Unlock()
	var err error
	select {
	case <-running.done:
		err = running.err
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err == nil {
		if running.reply.none {
			return nil, 0, ErrNoRecords
		}
		return running.reply.records, running.reply.ttl, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.cache[q]; c != nil && !c.negative && r.clock().Before(c.expires.Add(r.opt.MaxStale)) {
		return c.records, r.opt.MinTTL, nil
	}
	return nil, 0, err
}

// patience is how long a question may take over all servers.
func (r *Resolver) patience() time.Duration {
	return time.Duration(2*r.opt.Attempts*len(r.opt.Servers)+1) * r.opt.Timeout
}

func (r *Resolver) keep(q question, got reply) {
	if len(r.cache) >= maxCache {
		now := r.clock()
		for key, c := range r.cache {
			if now.After(c.expires) {
				delete(r.cache, key)
			}
		}
		if len(r.cache) >= maxCache {
			clear(r.cache)
		}
	}
	r.cache[q] = &cached{records: got.records, expires: r.clock().Add(got.ttl), negative: got.none}
}

// ask puts a question to servers and follows its chain of names.
func (r *Resolver) ask(ctx context.Context, q question) (reply, error) {
	ttl, chain := r.opt.MaxTTL, map[string]bool{}
	for name := q.name; ; {
		if chain[name] {
			return reply{}, fmt.Errorf("%s: its CNAMEs go in a circle", q.name)
		}
		if len(chain) > maxChain {
			return reply{}, fmt.Errorf("%s: over %d CNAMEs", q.name, maxChain)
		}
		chain[name] = true
		msg, err := r.exchange(ctx, question{name, q.kind})
		if err != nil {
			return reply{}, err
		}
		got := reply{extra: msg.Extra}
		for again := true; again; { // within this answer
			again = false
			for _, rr := range msg.Answer {
				if dns.CanonicalName(rr.Header().Name) != name {
					continue
				}
				if rr.Header().Rrtype == q.kind {
					got.records = append(got.records, rr)
					ttl = min(ttl, r.bound(time.Duration(rr.Header().Ttl)*time.Second))
				} else if c, is := rr.(*dns.CNAME); is && len(got.records) == 0 {
					next := dns.CanonicalName(c.Target)
					if chain[next] {
						return reply{}, fmt.Errorf("%s: its CNAMEs go in a circle", q.name)
					}
					if len(chain) > maxChain {
						return reply{}, fmt.Errorf("%s: over %d CNAMEs", q.name, maxChain)
					}
					ttl = min(ttl, r.bound(time.Duration(c.Hdr.Ttl)*time.Second))
					chain[next], name, again = true, next, true
					break
				}
			}
		}
		got.ttl = ttl
		if len(got.records) > 0 {
			return got, nil
		}
		if msg.Rcode == dns.RcodeNameError || !chained(msg, name, q) {
			got.none, got.ttl = true, min(ttl, r.negative(msg))
			return got, nil
		}
		delete(chain, name) // the answer ends with a CNAME: go on from there
	}
}

// chained tells whether an answer leads to another name without saying what stands there.
func chained(msg *dns.Msg, name string, q question) bool {
	return name != dns.CanonicalName(msg.Question[0].Name) && len(msg.Answer) > 0
}

// negative is how long it counts that there is nothing: by the zone's SOA (RFC 2308).
func (r *Resolver) negative(msg *dns.Msg) time.Duration {
	for _, rr := range msg.Ns {
		if soa, is := rr.(*dns.SOA); is {
			return r.bound(time.Duration(min(soa.Minttl, soa.Hdr.Ttl)) * time.Second)
		}
	}
	return r.opt.MinTTL
}

// exchange asks servers in turn until one answers. Resting servers come last.
func (r *Resolver) exchange(ctx context.Context, q question) (*dns.Msg, error) {
	var faults []error
	for range r.opt.Attempts {
		for _, i := range r.order() {
			if err := r.take(ctx); err != nil {
				return nil, errors.Join(append(faults, err)...)
			}
			msg, err := r.try(ctx, r.opt.Servers[i], q)
			r.judge(i, err)
			if err == nil {
				return msg, nil
			}
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			faults = append(faults, fmt.Errorf("%s: %w", r.opt.Servers[i], err))
		}
	}
	return nil, faults[len(faults)-1]
}

func (r *Resolver) order() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	var awake, resting []int
	for i, h := range r.health {
		if now.Before(h.until) {
			resting = append(resting, i)
		} else {
			awake = append(awake, i)
		}
	}
	return append(awake, resting...)
}

func (r *Resolver) judge(i int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := &r.health[i]
	if err == nil {
		*h = health{}
		return
	}
	h.rest = min(restMost, max(restLeast, 2*h.rest))
	h.until = r.clock().Add(h.rest/2 + rand.N(h.rest))
}

// take waits until a query may be sent: a bound for the whole process, whatever the number of names.
func (r *Resolver) take(ctx context.Context) error {
	for {
		r.mu.Lock()
		now := r.clock()
		r.tokens = min(float64(r.opt.Burst), r.tokens+now.Sub(r.filled).Seconds()*r.opt.Rate)
		r.filled = now
		if r.tokens >= 1 {
			r.tokens--
			r.queries++
			r.mu.Unlock()
			return nil
		}
		wait := time.Duration((1 - r.tokens) / r.opt.Rate * float64(time.Second))
		r.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("queries are at their bound: %w", ctx.Err())
		case <-timer.C:
		}
	}
}

var errServer = errors.New("the server failed")

// try asks one server: by datagram, and by TCP where the answer does not fit into one.
func (r *Resolver) try(ctx context.Context, server string, q question) (*dns.Msg, error) {
	ask := new(dns.Msg)
	ask.Id = uint16(rand.Uint32()) // the top-level generator is seeded by the system, and ChaCha8
	ask.RecursionDesired = true
	ask.Question = []dns.Question{{Name: q.name, Qtype: q.kind, Qclass: dns.ClassINET}}
	ask.SetEdns0(udpSize, false)
	msg, err := r.over(ctx, "udp", server, ask)
	if err == nil && msg.Truncated {
		ask.Id = uint16(rand.Uint32())
		if msg, err = r.over(ctx, "tcp", server, ask); err == nil && msg.Truncated {
			err = errors.New("truncated over TCP")
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

// over sends a question from a socket of its own, and so from a random port, and reads until what comes is its answer.
func (r *Resolver) over(ctx context.Context, network, server string, ask *dns.Msg) (*dns.Msg, error) {
	ctx, cancel := context.WithTimeout(ctx, r.opt.Timeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, network, server)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	deadline, _ := ctx.Deadline()
	conn.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	link := &dns.Conn{Conn: conn, UDPSize: udpSize}
	if err := link.WriteMsg(ask); err != nil {
		return nil, err
	}
	var wrong error
	for range maxAnswers {
		msg, err := link.ReadMsg()
		if err != nil && (network == "tcp" || msg == nil && isNet(err)) {
			return nil, errors.Join(wrong, err)
		}
		if err != nil { // garbage: the true answer may follow
			wrong = err
			continue
		}
		if wrong = fits(ask, msg); wrong == nil {
			return msg, nil
		}
		if network == "tcp" {
			break
		}
	}
	return nil, wrong
}

func isNet(err error) bool {
	var n net.Error
	return errors.As(err, &n) || errors.Is(err, net.ErrClosed)
}

// fits checks an answer against its question. It guards against answers that somebody else sent.
func fits(ask, msg *dns.Msg) error {
	switch {
	case msg.Id != ask.Id:
		return errors.New("an answer with another id")
	case !msg.Response || msg.Opcode != dns.OpcodeQuery:
		return errors.New("no answer")
	case len(msg.Question) != 1:
		return fmt.Errorf("an answer with %d questions", len(msg.Question))
	}
	a, b := ask.Question[0], msg.Question[0]
	if !strings.EqualFold(a.Name, b.Name) || a.Qtype != b.Qtype || a.Qclass != b.Qclass {
		return fmt.Errorf("an answer to another question, %s", b.Name)
	}
	return nil
}
