package members

import (
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"junctionwharf/broker"
	"junctionwharf/internal/config"
	"junctionwharf/internal/fakes"
	"junctionwharf/scheduler"
)

func discoveryList(nodes map[string]string) broker.NodesListed {
	l := broker.NodesListed{Kind: scheduler.FullUpdate}
	for name, address := range nodes {
		l.Nodes = append(l.Nodes, broker.Node{Endpoint: scheduler.Endpoint{Name: name}, Address: address})
	}
	return l
}

// dnsFaults are the answers that say nothing of the nodes.
var dnsFaults = map[string]fakes.DNSFault{
	"server failure":    fakes.ServFail,
	"unknown name":      fakes.NameError,
	"no data":           fakes.NoData,
	"malformed":         fakes.Malformed,
	"truncated, no TCP": fakes.TruncatedNoTCP,
}

// A name server answers with errors, nothing, rubbish or a part, one after the other, with discovery beside it. None of
// that takes a node away, and the list is followed again once the server answers as before.
func TestDNSFaultsKeepTheList(t *testing.T) {
	d := newDNS(t)
	d.Set(service, 1, records("a", "b", "c")...)
	c := newCore(t)
	c.apply(config.Membership{Sources: []config.EndpointSource{discoverySource(), dnsSource(d)}})
	c.awaitList("a b c")
	for _, name := range slices.Sorted(maps.Keys(dnsFaults)) {
		d.SetFault(dnsFaults[name])
		c.expectKept("a b c")
	}
	d.SetFault(fakes.NoDNSFault)
	d.Set(service, 1, records("a", "b")...)
	c.awaitList("a b")
}

// A name server has one fault and then none. Its next list is taken, whatever the fault was: a source that stayed with
// the old list would send requests to nodes that are gone.
func TestDNSRecoversFromEachFault(t *testing.T) {
	for name, fault := range dnsFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // each waits for lifetimes and retries
			d := newDNS(t)
			d.Set(service, 1, records("a", "b", "c")...)
			c := newCore(t)
			c.apply(config.Membership{Sources: []config.EndpointSource{discoverySource(), dnsSource(d)}})
			c.awaitList("a b c")
			d.SetFault(fault)
			c.expectKept("a b c")
			d.SetFault(fakes.NoDNSFault)
			d.Set(service, 1, records("a", "b")...)
			c.awaitList("a b")
		})
	}
}

func discoverySource() config.EndpointSource {
	return config.EndpointSource{Name: "discovery", Kind: config.SourceDiscovery}
}

// expectKept waits until a DNS fault was met, and checks that the list is as before.
func (c *core) expectKept(want string) {
	c.Helper()
	failures := c.metric("source.dns.failures")
	rejected := c.metric("source.dns.refused")
	c.awaitFault(failures+1, rejected+1) // the first may be of a question that was asked before
	if got := c.list(); got != want {
		c.Fatalf("the list is %q, want %q", got, want)
	}
}

// awaitFault waits until DNS has failed, or answered what was not believed, more often than so.
func (c *core) awaitFault(failures, rejected uint64) {
	c.Helper()
	for c.metric("source.dns.failures") <= failures && c.metric("source.dns.refused") <= rejected {
		c.poll("no fault was seen")
	}
}

// The node set follows a name server at each step, with discovery beside it.
func TestDNSAndDiscovery(t *testing.T) {
	d := newDNS(t)
	d.Set(service, 1, records("a", "b", "c")...)
	c := newCore(t)
	c.apply(config.Membership{Sources: []config.EndpointSource{discoverySource(), dnsSource(d)}})
	c.awaitList("a b c")
	n := c.node("b" + domain)
	if n.Priority != 1 || n.TrafficWeight != 10 || n.Shard != 1 || n.Address != "10.0.0.98:6379" || n.LastStart != 0 {
		t.Errorf("%+v", n)
	}
	d.Set(service, 1, records("a", "b")...)
	c.awaitList("a b")
	c.members.HandleDiscovery(discoveryList(map[string]string{"s-1": "10.0.0.97:6379", "s-9": "10.0.0.9:1"}))
	c.awaitList("a b s-9") // one address is one node
	d.Set(service, 1, records("b")...)
	c.awaitList("b s-9")
	moved := records("b", "d")
	moved[0].Addresses = []string{"10.0.0.200"}
	d.Set(service, 1, moved...)
	c.awaitList("b.example.org@10.0.0.200:6379 d s-9") // a name that moves is another node
	text := string(c.members.Table())
	if !strings.Contains(text, "10.0.0.200:6379") || !strings.Contains(text, "discovery") {
		t.Error(text)
	}
}

const (
	fileOfF = `[[node]]
name = "f"
address = "10.0.0.6:1"
shard = 1
`
	fileOfFAndG = fileOfF + `[[node]]
name = "g"
address = "10.0.0.7:1"
shard = 1
`
	faultyFile = `[[node]]
name = "f"
`
)

// Sources change in service without a gap, and a file is followed; a faulty file takes nothing away.
func TestSourcesChangeInService(t *testing.T) {
	d := newDNS(t)
	d.Set(service, 1, records("a", "b")...)
	c := newCore(t)
	c.apply(config.Membership{Sources: []config.EndpointSource{dnsSource(d)}})
	c.awaitList("a b")
	path := filepath.Join(t.TempDir(), "nodes.toml")
	writeFile(t, path, fileOfF)
	file := config.EndpointSource{Name: "file", Kind: config.SourceFile, Path: path}
	c.apply(config.Membership{Sources: []config.EndpointSource{file}})
	c.awaitList("f")
	writeFile(t, path, fileOfFAndG)
	c.awaitList("f g")
	writeFile(t, path, faultyFile)
	for c.metric("source.file.failures") == 0 {
		c.poll("the faulty file was not read")
	}
	if got := c.list(); got != "f g" {
		t.Errorf("a faulty file: %q", got)
	}
	if err := c.members.ApplySettings(config.Membership{}); err == nil {
		t.Error("no source at all is taken")
	}
}
