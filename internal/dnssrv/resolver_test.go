package dnssrv

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/miekg/dns"

	"junctionwharf/internal/fakes"
)

const service = "_resp._tcp.storage.example.org"

func startServer(t *testing.T) *fakes.DNS {
	t.Helper()
	server, err := fakes.NewDNS("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server
}

// newTestResolver returns a resolver without a rate limit and with a short timeout.
func newTestResolver(t *testing.T, servers ...*fakes.DNS) *Resolver {
	t.Helper()
	options := Options{Timeout: 150 * time.Millisecond, Rate: 1e6, Burst: 1e6}
	for _, server := range servers {
		options.Servers = append(options.Servers, server.Address())
	}
	resolver, err := NewResolver(options)
	if err != nil {
		t.Fatal(err)
	}
	return resolver
}

// testNames returns SRV records of count targets, each with an IPv4 and an IPv6 address.
func testNames(count int) []fakes.SRVRecord {
	var names []fakes.SRVRecord
	for i := range count {
		names = append(names, fakes.SRVRecord{
			Target:    fmt.Sprintf("s%d-a.storage.example.org", i),
			Port:      6379,
			Priority:  uint16(i % 2),
			Weight:    uint16(i),
			Addresses: []string{fmt.Sprintf("10.0.%d.%d", i/250, i%250), fmt.Sprintf("fd00::%x", i+1)},
			Text:      fmt.Sprintf("shard=%d share=1.5", i),
		})
	}
	return names
}

// checkAnswerOf checks that an answer contains the records of testNames(count).
func checkAnswerOf(t *testing.T, count int, got Answer, err error) {
	t.Helper()
	if err != nil || len(got.Records) != count || len(got.Unresolved) > 0 {
		t.Fatalf("%d records, unresolved %v, %v", len(got.Records), got.Unresolved, err)
	}
	for i, want := range testNames(count) {
		record := got.Records[i]
		same := record.Target == want.Target && record.Priority == want.Priority && record.Weight == want.Weight
		if !same || len(record.Addresses) != 2 || record.Addresses[0] != want.Addresses[0]+":6379" {
			t.Fatalf("record is %+v, want %+v", record, want)
		}
	}
}

// A name server has each fault of the fake, first as the only server and then followed by a server without a fault. The
// resolver answers or returns an error that describes the fault. If there is another server, it queries that server.
func TestMisbehavingServers(t *testing.T) {
	const (
		noRecords = "no such record"
		loop      = "CNAME records form a loop"
	)
	for fault, want := range map[fakes.DNSFault]string{
		fakes.NoDNSFault:     "",
		fakes.Truncated:      "",
		fakes.Spoofed:        "",
		fakes.EveryThird:     "",
		fakes.LateAnswer:     "timeout",
		fakes.NoAnswer:       "timeout",
		fakes.ServFail:       "SERVFAIL",
		fakes.Refused:        "REFUSED",
		fakes.NameError:      noRecords,
		fakes.NoData:         noRecords,
		fakes.TruncatedNoTCP: "EOF",
		fakes.WrongID:        "wrong query ID",
		fakes.Malformed:      "dns",
		fakes.CNAMELoop:      loop,
	} {
		bad := startServer(t)
		bad.Set(service, 5, testNames(3)...)
		bad.SetFault(fault)
		resolver := newTestResolver(t, bad)
		resolver.options.Attempts = 3
		got, err := resolver.Lookup(context.Background(), service, false)
		if want == "" {
			checkAnswerOf(t, 3, got, err)
		} else if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("fault %d: got error %v, want one that contains %q", fault, err, want)
		}
		if errors.Is(err, ErrNoRecords) != (want == noRecords) {
			t.Errorf("fault %d: got error %v", fault, err)
		}
		if want == "" || want == noRecords || want == loop {
			continue
		}
		good := startServer(t)
		good.Set(service, 5, testNames(3)...)
		got, err = newTestResolver(t, bad, good).Lookup(context.Background(), service, false)
		checkAnswerOf(t, 3, got, err)
	}
}

// An answer with 500 records does not fit into a datagram and is read over TCP.
func TestLargeAnswerIsReadOverTCP(t *testing.T) {
	server := startServer(t)
	server.Set(service, 30, testNames(500)...)
	got, err := newTestResolver(t, server).Lookup(context.Background(), service, false)
	checkAnswerOf(t, 500, got, err)
}

// Addresses and TXT strings that are not in the SRV answer are queried and cached. If the server stops answering, they
// are used after their lifetimes, but not for hours.
func TestExpiredAnswersAreUsedIfServersFail(t *testing.T) {
	server := startServer(t)
	server.OmitAdditional()
	server.Set(service, 30, testNames(10)...)
	resolver := newTestResolver(t, server)
	got, err := resolver.Lookup(context.Background(), service, true)
	checkAnswerOf(t, 10, got, err)
	if got.Records[7].TXT[0] != "shard=7 share=1.5" {
		t.Errorf("TXT strings are %q", got.Records[7].TXT)
	}
	before := server.Queries()
	var lookups sync.WaitGroup
	for range 10 {
		lookups.Go(func() {
			if _, err := resolver.Lookup(context.Background(), service, true); err != nil {
				t.Error(err)
			}
		})
	}
	lookups.Wait()
	if asked := server.Queries() - before; asked != 10 {
		t.Errorf("%d queries for 10 lists, want 10", asked)
	}
	server.SetFault(fakes.NoAnswer)
	address := question{name: "s1-a.storage.example.org.", kind: dns.TypeA}
	resolver.now = func() time.Time { return time.Now().Add(10 * time.Minute) }
	if records, _, err := resolver.cached(context.Background(), address); err != nil || len(records) != 1 {
		t.Errorf("records are %v, error %v, want one record", records, err)
	}
	resolver.now = func() time.Time { return time.Now().Add(3 * time.Hour) }
	if _, _, err := resolver.cached(context.Background(), address); err == nil {
		t.Error("an address is used three hours after the end of its lifetime")
	}
}

// TTLs are limited to the range of the options.
func TestTTLIsKeptWithinOptions(t *testing.T) {
	server := startServer(t)
	resolver := newTestResolver(t, server)
	for ttl, want := range map[uint32]time.Duration{0: time.Second, 7: 7 * time.Second, 7 * 86400: time.Minute} {
		server.Set(service, ttl, testNames(2)...)
		got, err := resolver.Lookup(context.Background(), service, false)
		if err != nil || got.TTL != want {
			t.Errorf("a TTL of %d s becomes %v, want %v; error %v", ttl, got.TTL, want, err)
		}
	}
}

// Chains of CNAME records are followed up to a limited length.
func TestAliasChainsAreBounded(t *testing.T) {
	server := startServer(t)
	resolver := newTestResolver(t, server)
	server.Set(service, 7, testNames(2)...)
	server.SetCNAME("a.example.org", "b.example.org")
	server.SetCNAME("b.example.org", service)
	got, err := resolver.Lookup(context.Background(), "a.example.org", false)
	checkAnswerOf(t, 2, got, err)
	for i := range 12 {
		server.SetCNAME(fmt.Sprintf("c%d.example.org", i), fmt.Sprintf("c%d.example.org", i+1))
	}
	if _, err := resolver.Lookup(context.Background(), "c0.example.org", false); !errors.Is(err, errLongChain) {
		t.Errorf("a chain of 12: got error %v, want %v", err, errLongChain)
	}
}

// The rate limit applies to all queries of the resolver, also to repeated ones for the same name.
func TestQueryRateIsBounded(t *testing.T) {
	server := startServer(t)
	server.Set(service, 1, testNames(1)...)
	resolver := newTestResolver(t, server)
	resolver.options.Rate = 0.001
	resolver.options.Burst = 3
	resolver.tokens = 3
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	failed := 0
	for range 5 {
		if _, err := resolver.Lookup(ctx, service, false); err != nil {
			failed++
		}
	}
	if failed != 2 || server.Queries() != 3 || resolver.Queries() != 3 {
		t.Errorf("%d lookups failed, the server received %d queries, the resolver counted %d, want 2, 3 and 3",
			failed, server.Queries(), resolver.Queries())
	}
}

// A corrupted answer must not be accepted for a different question and must not cause a panic.
func FuzzCheckAnswer(f *testing.F) {
	query := new(dns.Msg)
	query.SetQuestion("a.example.org.", dns.TypeSRV)
	query.Id = 7
	answer := new(dns.Msg)
	answer.SetReply(query)
	packed, err := answer.Pack()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(packed)
	f.Add(packed[:12])
	f.Fuzz(func(t *testing.T, b []byte) {
		msg := new(dns.Msg)
		if msg.Unpack(b) != nil || checkAnswer(query, msg) != nil {
			return
		}
		if msg.Id != 7 || len(msg.Question) != 1 || !strings.EqualFold(msg.Question[0].Name, "a.example.org.") {
			t.Fatalf("accepted %v", msg)
		}
	})
}
