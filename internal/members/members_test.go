package members

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/config"
	"junctionwharf/internal/fakes"
	"junctionwharf/internal/logging"
	"junctionwharf/scheduler"
)

const service = "_resp._tcp.storage.example.org"

// core keeps what the core would have been told.
type core struct {
	t     *testing.T
	m     *Members
	mu    sync.Mutex
	nodes map[string]broker.Node
	news  chan struct{}
	late  <-chan time.Time
}

func newCore(t *testing.T) *core {
	c := &core{t: t, nodes: map[string]broker.Node{}, news: make(chan struct{}, 1000), late: time.After(20 * time.Second)}
	c.m = New(broker.NewClock(), c.post, logging.ToFunc(func(line string) { t.Log(line) }))
	t.Cleanup(c.m.Close)
	return c
}

func (c *core) post(e broker.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := e.(broker.NodesListed)
	if l.Kind == scheduler.FullUpdate {
		clear(c.nodes)
	}
	for _, n := range l.Nodes {
		if n.State == scheduler.Removed {
			delete(c.nodes, n.Name)
		} else {
			c.nodes[n.Name] = n
		}
	}
	select {
	case c.news <- struct{}{}:
	default:
	}
}

func (c *core) list() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name := range c.nodes {
		names = append(names, strings.TrimSuffix(name, ".example.org"))
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

func (c *core) await(want string) {
	c.t.Helper()
	for c.list() != want {
		select {
		case <-c.news:
		case <-c.late:
			c.t.Fatalf("the list is %q, want %q\n%s", c.list(), want, c.m.Table())
		}
	}
}

// figure waits until a figure is above 0.
func (c *core) figure(name string) {
	c.t.Helper()
	for {
		for _, f := range c.m.Metrics() {
			if f.Name == name && f.Value > 0 {
				return
			}
		}
		select {
		case <-time.After(time.Millisecond):
		case <-c.late:
			c.t.Fatalf("%s stays 0\n%s", name, c.m.Table())
		}
	}
}

func zone(names ...string) (all []fakes.Name) {
	for i, n := range names {
		all = append(all, fakes.Name{Target: n + ".example.org", Port: 6379, Priority: uint16(i % 2), Weight: uint16(10 * i), Addresses: []string{fmt.Sprintf("10.0.0.%d", n[0])},
			Text: fmt.Sprint("shard=", i)})
	}
	return all
}

func dnsServer(t *testing.T) *fakes.DNS {
	d, err := fakes.NewDNS("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

func source(d *fakes.DNS) config.EndpointSource {
	return config.EndpointSource{Name: "dns", Kind: "dns", SRV: service, Resolvers: []string{d.Address()}, TimeoutMS: 100, UseTXT: true, QueriesPerS: 1000}
}

// The node set follows the script of a name server at each step, with discovery beside it.
func TestDNS(t *testing.T) {
	d := dnsServer(t)
	d.Set(service, 1, zone("a", "b", "c")...)
	c := newCore(t)
	if err := c.m.ApplySettings(config.Membership{Sources: []config.EndpointSource{{Name: "discovery", Kind: "discovery"}, source(d)}}); err != nil {
		t.Fatal(err)
	}
	c.await("a b c")
	c.mu.Lock()
	if n := c.nodes["b.example.org"]; n.Priority != 1 || n.TrafficWeight != 10 || n.Shard != 1 || n.Address != "10.0.0.98:6379" || n.LastStart != 0 {
		t.Errorf("%+v", n)
	}
	c.mu.Unlock()
	for _, trick := range []fakes.Trick{fakes.ServFail, fakes.NoName, fakes.NoData, fakes.Rubbish, fakes.TornTCP} {
		d.Play(trick)
		before := c.m.Metrics()
		for changed := false; !changed; { // until an answer or failure of this kind was taken
			for i, f := range c.m.Metrics() {
				changed = changed || f.Name == "source.dns.failures" && f.Value > before[i].Value+1 || f.Name == "source.dns.refused" && f.Value > before[i].Value+1
			}
			time.Sleep(time.Millisecond)
		}
		if got := c.list(); got != "a b c" {
			t.Fatalf("trick %d: %q", trick, got)
		}
	}
	d.Play(fakes.Honest)
	d.Set(service, 1, zone("a", "b")...)
	c.await("a b")
	c.m.HandleDiscovery(broker.NodesListed{Kind: scheduler.FullUpdate, Nodes: []broker.Node{{Endpoint: scheduler.Endpoint{Name: "s-1"}, Address: "10.0.0.97:6379"}, {Endpoint: scheduler.Endpoint{Name: "s-9"}, Address: "10.0.0.9:1"}}})
	c.await("a b s-9") // one address is one node
	d.Set(service, 1, zone("b")...)
	c.await("b s-9")
	moved := zone("b", "d")
	moved[0].Addresses = []string{"10.0.0.200"}
	d.Set(service, 1, moved...)
	c.await("b.example.org@10.0.0.200:6379 d s-9") // a name that moves is another node
	if text := string(c.m.Table()); !strings.Contains(text, "10.0.0.200:6379") || !strings.Contains(text, "discovery") {
		t.Error(text)
	}
}

// A list is kept across a restart; a file that was cut or spoilt is not taken; the sources' word replaces it.
func TestSnapshot(t *testing.T) {
	path := filepath.Join(t.TempDir(), "nodes")
	d := dnsServer(t)
	d.Set(service, 1, zone("a", "b")...)
	set := config.Membership{Snapshot: path, Sources: []config.EndpointSource{source(d)}}
	c := newCore(t)
	if err := c.m.ApplySettings(set); err != nil {
		t.Fatal(err)
	}
	c.await("a b")
	c.m.Close()
	d.Play(fakes.Silent)
	c = newCore(t)
	if err := c.m.ApplySettings(set); err != nil {
		t.Fatal(err)
	}
	c.await("a b")
	d.Set(service, 1, zone("b", "c")...)
	d.Play(fakes.Honest)
	c.await("b c")
	c.m.Close()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, spoilt := range []string{"", "x", string(text[:len(text)-1]), strings.Replace(string(text), "10.0.0.98", "10.0.0.99", 1), strings.Replace(string(text), "nodes 1", "nodes 2", 1)} {
		if err := os.WriteFile(path, []byte(spoilt), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := readSnapshot(path); err == nil {
			t.Errorf("%q is taken", spoilt)
		}
	}
	if err := writeSnapshot(filepath.Join(path, "below", "a", "file"), nil); err == nil {
		t.Error("a path that can't be written is no error")
	}
	if _, err := readSnapshot(path + "x"); !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
}

// Sources change in service without a gap, and a file is followed.
func TestFollow(t *testing.T) {
	d := dnsServer(t)
	d.Set(service, 1, zone("a", "b")...)
	c := newCore(t)
	if err := c.m.ApplySettings(config.Membership{Sources: []config.EndpointSource{source(d)}}); err != nil {
		t.Fatal(err)
	}
	c.await("a b")
	path := filepath.Join(t.TempDir(), "nodes.toml")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("[[node]]\nname = \"f\"\naddress = \"10.0.0.6:1\"\nshard = 1\n")
	file := config.EndpointSource{Name: "file", Kind: "file", Path: path}
	if err := c.m.ApplySettings(config.Membership{Sources: []config.EndpointSource{file}}); err != nil {
		t.Fatal(err)
	}
	c.await("f")
	write("[[node]]\nname = \"f\"\naddress = \"10.0.0.6:1\"\nshard = 1\n[[node]]\nname = \"g\"\naddress = \"10.0.0.7:1\"\nshard = 1\n")
	c.await("f g")
	write("[[node]]\nname = \"f\"\n")
	c.figure("source.file.failures")
	if got := c.list(); got != "f g" {
		t.Errorf("a faulty file: %q", got)
	}
	if err := c.m.ApplySettings(config.Membership{}); err == nil {
		t.Error("no source at all is taken")
	}
}
