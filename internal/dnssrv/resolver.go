package dnssrv

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/miekg/dns"
)

const (
	// maxTargets bounds the records of an answer that are used. Higher, a faulty zone takes more memory; lower, a
	// large deployment loses nodes.
	maxTargets = 5000
	// maxParallelTargets bounds the targets whose addresses are asked for at once. Higher, more sockets are open;
	// lower, a large list takes longer.
	maxParallelTargets = 32
)

// ErrNoRecords is of a name that has no such record: a server said so.
var ErrNoRecords = errors.New("no such record")

// errNoServer is of options without a server.
var errNoServer = errors.New("no name server")

// Resolver asks servers and caches addresses and texts for their lifetimes. It is for many goroutines.
type Resolver struct {
	options Options
	now     func() time.Time

	mu       sync.Mutex
	health   []serverHealth // of each server
	tokens   float64        // queries that may be sent now
	refilled time.Time      // when tokens were last refilled
	cache    map[question]*cacheEntry
	inFlight map[question]*lookup
	queries  uint64
}

// question is a name and a type of record.
type question struct {
	name string
	kind uint16
}

// NewResolver returns a resolver.
func NewResolver(options Options) (*Resolver, error) {
	if len(options.Servers) == 0 {
		return nil, errNoServer
	}
	options = options.withDefaults()
	return &Resolver{
		options:  options,
		now:      time.Now,
		health:   make([]serverHealth, len(options.Servers)),
		tokens:   float64(options.Burst),
		refilled: time.Now(),
		cache:    map[question]*cacheEntry{},
		inFlight: map[question]*lookup{},
	}, nil
}

// Queries counts what was asked of servers.
func (r *Resolver) Queries() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queries
}

// Record is one SRV record with the addresses of its target, as host:port.
type Record struct {
	Target           string // without the last dot
	Priority, Weight uint16
	Addresses        []string
	TXT              []string // strings of the target's TXT records, if they were asked for
}

// Answer is what a name's SRV records come to.
type Answer struct {
	Records    []Record
	TTL        time.Duration // the shortest lifetime of all that went into it, within the options
	Unresolved []Unresolved
}

// Unresolved is a target whose addresses could not be had.
type Unresolved struct {
	Target string
	Err    error
}

// resolvedRecord is what became of one SRV record.
type resolvedRecord struct {
	record Record
	ttl    time.Duration
	err    error
}

// Lookup asks for a name's SRV records, always anew; addresses and texts may come from the cache. It fails if servers
// do not answer, and with ErrNoRecords if there are no records.
func (r *Resolver) Lookup(ctx context.Context, name string, useTXT bool) (Answer, error) {
	got, err := r.ask(ctx, question{name: dns.CanonicalName(dns.Fqdn(name)), kind: dns.TypeSRV})
	if err != nil {
		return Answer{}, err
	}
	answer := Answer{TTL: got.ttl}
	records := usableRecords(got.records)
	if got.none || len(records) == 0 {
		return answer, fmt.Errorf("%s: %w", name, ErrNoRecords)
	}
	for _, resolved := range r.resolveAll(ctx, records, byOwner(got.additional), useTXT) {
		if resolved.err != nil {
			answer.Unresolved = append(answer.Unresolved, Unresolved{Target: resolved.record.Target, Err: resolved.err})
			continue
		}
		answer.TTL = min(answer.TTL, resolved.ttl)
		answer.Records = append(answer.Records, resolved.record)
	}
	return answer, nil
}

// byOwner sorts records by the name that has them.
func byOwner(records []dns.RR) map[string][]dns.RR {
	sorted := map[string][]dns.RR{}
	for _, record := range records {
		owner := dns.CanonicalName(record.Header().Name)
		sorted[owner] = append(sorted[owner], record)
	}
	return sorted
}

// usableRecords are the SRV records that name a service, each once.
func usableRecords(records []dns.RR) []*dns.SRV {
	seen := map[string]bool{}
	var usable []*dns.SRV
	for _, record := range records {
		srv, isSRV := record.(*dns.SRV)
		if !isSRV || srv.Target == "." || srv.Port == 0 { // "." says that there is no such service
			continue
		}
		key := fmt.Sprintf("%s:%d", dns.CanonicalName(srv.Target), srv.Port)
		if seen[key] || len(usable) >= maxTargets {
			continue
		}
		seen[key] = true
		usable = append(usable, srv)
	}
	return usable
}

// resolveAll resolves records in parallel, in their order.
func (r *Resolver) resolveAll(
	ctx context.Context, records []*dns.SRV, additional map[string][]dns.RR, useTXT bool,
) []resolvedRecord {
	resolved := make([]resolvedRecord, len(records))
	var running sync.WaitGroup
	slots := make(chan struct{}, maxParallelTargets)
	for i, record := range records {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			resolved[i] = r.resolveTarget(ctx, record, additional[dns.CanonicalName(record.Target)], useTXT)
		})
	}
	running.Wait()
	return resolved
}

// resolveTarget completes an SRV record.
func (r *Resolver) resolveTarget(ctx context.Context, srv *dns.SRV, additional []dns.RR, useTXT bool) resolvedRecord {
	target := dns.CanonicalName(srv.Target)
	resolved := resolvedRecord{
		record: Record{
			Target:   strings.TrimSuffix(target, "."),
			Priority: srv.Priority,
			Weight:   srv.Weight,
		},
		ttl: r.options.MaxTTL,
	}
	ips, err := r.addresses(ctx, target, additional, &resolved.ttl)
	if err != nil {
		resolved.err = err
		return resolved
	}
	for _, ip := range ips {
		address := net.JoinHostPort(ip.String(), fmt.Sprint(srv.Port))
		resolved.record.Addresses = append(resolved.record.Addresses, address)
	}
	if useTXT {
		resolved.record.TXT, resolved.err = r.texts(ctx, target, &resolved.ttl)
	}
	return resolved
}

// addresses are a target's, from the additional part of an answer or else asked for. It shortens ttl to their lifetime.
func (r *Resolver) addresses(
	ctx context.Context, target string, additional []dns.RR, ttl *time.Duration,
) ([]net.IP, error) {
	if ips := r.addressesIn(additional, ttl); len(ips) > 0 {
		return ips, nil
	}
	var ips []net.IP
	failure := ErrNoRecords
	for _, kind := range []uint16{dns.TypeA, dns.TypeAAAA} {
		records, left, err := r.cached(ctx, question{name: target, kind: kind})
		if err != nil {
			if !errors.Is(err, ErrNoRecords) {
				failure = err
			}
			continue
		}
		*ttl = min(*ttl, left)
		ips = append(ips, r.addressesIn(records, ttl)...)
	}
	if len(ips) == 0 {
		return nil, failure
	}
	return ips, nil
}

// addressesIn are the addresses among records. It shortens ttl to their lifetime.
func (r *Resolver) addressesIn(records []dns.RR, ttl *time.Duration) []net.IP {
	var ips []net.IP
	for _, record := range records {
		switch address := record.(type) {
		case *dns.A:
			ips = append(ips, address.A)
		case *dns.AAAA:
			ips = append(ips, address.AAAA)
		default:
			continue
		}
		*ttl = min(*ttl, r.options.recordTTL(record.Header().Ttl))
	}
	return ips
}

// texts are the strings of a target's TXT records. It shortens ttl to their lifetime.
func (r *Resolver) texts(ctx context.Context, target string, ttl *time.Duration) ([]string, error) {
	records, left, err := r.cached(ctx, question{name: target, kind: dns.TypeTXT})
	if err != nil && !errors.Is(err, ErrNoRecords) {
		return nil, fmt.Errorf("its text: %w", err)
	}
	var texts []string
	for _, record := range records {
		if txt, isTXT := record.(*dns.TXT); isTXT {
			texts = append(texts, txt.Txt...)
			*ttl = min(*ttl, left)
		}
	}
	return texts, nil
}
