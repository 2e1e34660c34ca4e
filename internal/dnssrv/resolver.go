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
	// maxTargets limits the SRV records of an answer that are used. With a larger value, a faulty zone uses more
	// memory. With a smaller value, nodes of a large deployment are lost.
	maxTargets = 5000
	// maxParallelTargets limits the targets that are resolved in parallel. With a larger value, more sockets are open.
	// With a smaller value, resolving a large list takes longer.
	maxParallelTargets = 32
)

// ErrNoRecords reports that a name has no record of the requested type, according to a server.
var ErrNoRecords = errors.New("no such record")

// errNoServer reports options that contain no server.
var errNoServer = errors.New("no name server is configured")

// Resolver queries name servers and caches addresses and TXT strings for their lifetimes. Its methods may be called by
// many goroutines.
type Resolver struct {
	options Options
	now     func() time.Time

	mu       sync.Mutex
	health   []serverHealth // of each server
	tokens   float64        // queries that the rate limit admits now
	refilled time.Time      // when tokens were last refilled
	cache    map[question]*cacheEntry
	inFlight map[question]*lookup
	queries  uint64
}

// question is a name and a record type.
type question struct {
	name string
	kind uint16
}

// NewResolver returns a resolver that uses the servers of the options. It returns an error if there is no server.
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

// Queries returns the number of queries that were sent to servers.
func (r *Resolver) Queries() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queries
}

// Record is one SRV record with the addresses of its target.
type Record struct {
	Target           string // without the trailing dot
	Priority, Weight uint16
	Addresses        []string // host:port
	TXT              []string // strings of the target's TXT records, if requested
}

// Answer is the result of a lookup: a name's SRV records with the addresses of their targets.
type Answer struct {
	Records    []Record
	TTL        time.Duration // the shortest TTL of all records that were used, limited by the options
	Unresolved []Unresolved
}

// Unresolved is a target that could not be resolved.
type Unresolved struct {
	Target string
	Err    error
}

// resolvedRecord is the result of resolving the target of one SRV record.
type resolvedRecord struct {
	record Record
	ttl    time.Duration
	err    error
}

// Lookup queries the SRV records of a name and resolves their targets. The SRV records are never taken from the cache,
// but addresses and TXT strings may be. Lookup returns an error if no server answers. If the name has no SRV records,
// the error wraps ErrNoRecords.
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

// byOwner groups records by their owner name.
func byOwner(records []dns.RR) map[string][]dns.RR {
	sorted := map[string][]dns.RR{}
	for _, record := range records {
		owner := dns.CanonicalName(record.Header().Name)
		sorted[owner] = append(sorted[owner], record)
	}
	return sorted
}

// usableRecords returns the SRV records that have a target and a port, without duplicates.
func usableRecords(records []dns.RR) []*dns.SRV {
	seen := map[string]bool{}
	var usable []*dns.SRV
	for _, record := range records {
		srv, isSRV := record.(*dns.SRV)
		if !isSRV || srv.Target == "." || srv.Port == 0 { // a target of "." means that the service does not exist
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

// resolveAll resolves the targets of records in parallel. The results are in the order of the records.
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

// resolveTarget resolves the target of an SRV record.
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

// addresses returns the addresses of a target. It takes them from the additional section of an answer, or queries them
// if that section has none. It lowers ttl to the shortest TTL of the addresses.
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

// addressesIn returns the addresses in A and AAAA records. It lowers ttl to the shortest TTL of these records.
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

// texts returns the strings of a target's TXT records. It lowers ttl to the shortest TTL of these records.
func (r *Resolver) texts(ctx context.Context, target string, ttl *time.Duration) ([]string, error) {
	records, left, err := r.cached(ctx, question{name: target, kind: dns.TypeTXT})
	if err != nil && !errors.Is(err, ErrNoRecords) {
		return nil, fmt.Errorf("query TXT records: %w", err)
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
