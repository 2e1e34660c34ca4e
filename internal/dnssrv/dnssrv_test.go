package dnssrv

import (
	"context"
	"errors"
	"fmt"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/miekg/dns"

	"junctionwharf/internal/fakes"
)

const service = "_resp._tcp.storage.example.org"

func server(t *testing.T) *fakes.DNS {
	t.Helper()
	d, err := fakes.NewDNS("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

func resolver(t *testing.T, servers ...*fakes.DNS) *Resolver {
	t.Helper()
	opt := Options{Timeout: 150 * time.Millisecond, Rate: 1e6, Burst: 1e6}
	for _, s := range servers {
		opt.Servers = append(opt.Servers, s.Address())
	}
	r, err := NewResolver(opt)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func names(n int) (all []fakes.Name) {
	for i := range n {
		all = append(all, fakes.Name{Target: fmt.Sprintf("s%d-a.storage.example.org", i), Port: 6379, Priority: uint16(i % 2), Weight: uint16(i),
			Addresses: []string{fmt.Sprintf("10.0.%d.%d", i/250, i%250), fmt.Sprintf("fd00::%x", i+1)}, Text: fmt.Sprintf("shard=%d share=1.5", i)})
	}
	return all
}

func check(t *testing.T, got Answer, err error, n int) {
	t.Helper()
	if err != nil || len(got.Records) != n || len(got.Unresolved) > 0 {
		t.Fatalf("%d records, lost %v, %v", len(got.Records), got.Unresolved, err)
	}
	for i, r := range got.Records {
		if want := names(n)[i]; r.Target != want.Target || r.Priority != want.Priority || r.Weight != want.Weight || len(r.Addresses) != 2 || r.Addresses[0] != want.Addresses[0]+":6379" {
			t.Fatalf("%+v, want %+v", r, want)
		}
	}
}

// Each way in which a name server behaves, alone and with a sound one behind it.
func TestTricks(t *testing.T) {
	for trick, ends := range map[fakes.Trick]string{fakes.Honest: "", fakes.Truncated: "", fakes.Spoofed: "", fakes.ThirdOnly: "", fakes.Late: "timeout",
		fakes.Silent: "timeout", fakes.ServFail: "SERVFAIL", fakes.RefusedAll: "REFUSED", fakes.NoName: "no such record", fakes.NoData: "no such record",
		fakes.TornTCP: "EOF", fakes.WrongID: "another id", fakes.Rubbish: "dns", fakes.Looping: "circle"} {
		bad := server(t)
		bad.Set(service, 5, names(3)...)
		bad.Play(trick)
		r := resolver(t, bad)
		r.opt.Attempts = 3
		got, err := r.Lookup(context.Background(), service, false)
		if ends == "" {
			check(t, got, err, 3)
		} else if err == nil || !strings.Contains(err.Error(), ends) {
			t.Errorf("trick %d: %v, want %s", trick, err, ends)
		}
		if errors.Is(err, ErrNoRecords) != (ends == "no such record") {
			t.Errorf("trick %d: %v", trick, err)
		}
		if ends == "" || ends == "no such record" || ends == "circle" {
			continue
		}
		good := server(t)
		good.Set(service, 5, names(3)...)
		got, err = resolver(t, bad, good).Lookup(context.Background(), service, false)
		check(t, got, err, 3)
	}
}

// Five hundred records do not fit into a datagram; their addresses are asked for where they come apart; what is kept is
// not asked for again.
func TestManyRecords(t *testing.T) {
	s := server(t)
	s.Set(service, 30, names(500)...)
	got, err := resolver(t, s).Lookup(context.Background(), service, false)
	check(t, got, err, 500)
	s.Separate()
	s.Set(service, 30, names(10)...)
	r := resolver(t, s)
	got, err = r.Lookup(context.Background(), service, true)
	check(t, got, err, 10)
	if got.Records[7].TXT[0] != "shard=7 share=1.5" {
		t.Errorf("%q", got.Records[7].TXT)
	}
	before := s.Asked()
	var wait sync.WaitGroup
	for range 10 {
		wait.Go(func() {
			if _, err := r.Lookup(context.Background(), service, true); err != nil {
				t.Error(err)
			}
		})
	}
	wait.Wait()
	if asked := s.Asked() - before; asked != 10 {
		t.Errorf("%d questions for 10 lists", asked)
	}
	s.Play(fakes.Silent) // addresses serve on after their life
	r.clock = func() time.Time { return time.Now().Add(10 * time.Minute) }
	if records, _, err := r.kept(context.Background(), question{"s1-a.storage.example.org.", dns.TypeA}); err != nil || len(records) != 1 {
		t.Errorf("%v, %v", records, err)
	}
	r.clock = func() time.Time { return time.Now().Add(3 * time.Hour) }
	if _, _, err := r.kept(context.Background(), question{"s1-a.storage.example.org.", dns.TypeA}); err == nil {
		t.Error("an address is used three hours past its life")
	}
}

// Lifetimes are kept within the settings, and aliases are followed a bounded way.
func TestLifetimesAndAliases(t *testing.T) {
	s := server(t)
	r := resolver(t, s)
	for ttl, want := range map[uint32]time.Duration{0: time.Second, 7: 7 * time.Second, 7 * 86400: time.Minute} {
		s.Set(service, ttl, names(2)...)
		if got, err := r.Lookup(context.Background(), service, false); err != nil || got.TTL != want {
			t.Errorf("a lifetime of %d counts as %v, %v", ttl, got.TTL, err)
		}
	}
	s.Alias("a.example.org", "b.example.org")
	s.Alias("b.example.org", service)
	got, err := r.Lookup(context.Background(), "a.example.org", false)
	check(t, got, err, 2)
	for i := range 12 {
		s.Alias(fmt.Sprintf("c%d.example.org", i), fmt.Sprintf("c%d.example.org", i+1))
	}
	if _, err := r.Lookup(context.Background(), "c0.example.org", false); err == nil || !strings.Contains(err.Error(), "CNAMEs") {
		t.Errorf("a chain of 12: %v", err)
	}
}

// The bound on queries holds for the process, whatever is asked.
func TestRate(t *testing.T) {
	s := server(t)
	s.Set(service, 1, names(1)...)
	r := resolver(t, s)
	r.opt.Rate, r.opt.Burst, r.tokens = 0.001, 3, 3
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	failed := 0
	for range 5 {
		if _, err := r.Lookup(ctx, service, false); err != nil {
			failed++
		}
	}
	if failed != 2 || s.Asked() != 3 || r.Queries() != 3 {
		t.Errorf("%d failed, %d asked", failed, s.Asked())
	}
}

func TestFacts(t *testing.T) {
	f := Mapping{Pattern: regexp.MustCompile(`^s(?P<shard>\d+)-(?P<zone>[a-z])\.`), UseTXT: true, Shard: -1, Kind: "m1"}
	r := Record{Target: "s12-b.example.org", Addresses: []string{"10.0.0.1:1", "[::1]:1"}, TXT: []string{"share=0.5 other", "kind=m2"}}
	e, err := f.entry(r)
	if err != nil || e.Shard != 12 || e.Zone != "b" || e.Kind != "m2" || e.Share != 0.5 || e.Address != "10.0.0.1:1" || len(e.OtherAddresses) != 1 {
		t.Errorf("%+v, %v", e, err)
	}
	for _, texts := range [][]string{{"shard=x"}, {"share=0"}, {"share=NaN"}, {"shard=99999999999"}} {
		r.TXT = texts
		if _, err := f.entry(r); err == nil {
			t.Errorf("%q is taken", texts)
		}
	}
	if _, err := f.entry(Record{Target: "x.example.org", Addresses: []string{"10.0.0.1:1"}}); err == nil || !strings.Contains(err.Error(), "shard") {
		t.Error(err)
	}
}

// The watcher tells each list, an empty one where there is no record, and failures; a target without an address stays.
func TestWatch(t *testing.T) {
	s := server(t)
	s.Set(service, 1, names(3)...)
	w := &Watcher{Resolver: resolver(t, s), Name: service, Mapping: Mapping{UseTXT: true, Shard: -1}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	news := make(chan Update, 100)
	go w.Run(ctx, func(n Update) { news <- n })
	late := time.After(20 * time.Second)
	await := func(what string, fits func(Update) bool) Update {
		t.Helper()
		for {
			select {
			case n := <-news:
				if fits(n) {
					return n
				}
			case <-late:
				t.Fatalf("no %s", what)
			}
		}
	}
	if n := await("list", func(n Update) bool { return len(n.Endpoints) == 3 }); n.Endpoints[2].Shard != 2 || n.Endpoints[2].Share != 1.5 {
		t.Errorf("%+v", n)
	}
	s.Set(service, 1, names(2)...)
	await("shorter list", func(n Update) bool { return len(n.Endpoints) == 2 && n.Err == nil })
	s.Separate()
	torn := names(2)
	torn[1].Addresses = nil
	s.Set(service, 1, torn...)
	w.Resolver.mu.Lock()
	clear(w.Resolver.cache)
	w.Resolver.mu.Unlock()
	await("list with a target that keeps its address", func(n Update) bool { return len(n.Endpoints) == 2 && len(n.Skipped) == 1 })
	s.Play(fakes.Silent)
	await("failure", func(n Update) bool { return n.Err != nil })
	s.Play(fakes.NoData)
	await("empty list", func(n Update) bool { return n.Err == nil && len(n.Endpoints) == 0 })
}

// No answer, however spoilt, is taken for one to another question, or ends in a panic.
func FuzzFits(f *testing.F) {
	ask := new(dns.Msg)
	ask.SetQuestion("a.example.org.", dns.TypeSRV)
	ask.Id = 7
	reply := new(dns.Msg)
	reply.SetReply(ask)
	packed, _ := reply.Pack()
	f.Add(packed)
	f.Add(packed[:12])
	f.Fuzz(func(t *testing.T, b []byte) {
		msg := new(dns.Msg)
		if msg.Unpack(b) != nil {
			return
		}
		if fits(ask, msg) == nil && (msg.Id != 7 || len(msg.Question) != 1 || !strings.EqualFold(msg.Question[0].Name, "a.example.org.")) {
			t.Fatalf("%v", msg)
		}
	})
}
