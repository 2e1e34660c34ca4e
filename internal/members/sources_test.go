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

// dnsFaults are faults of a name server that leave its answers without information on the nodes.
var dnsFaults = map[string]fakes.DNSFault{
	"server failure":    fakes.ServFail,
	"unknown name":      fakes.NameError,
	"no data":           fakes.NoData,
	"malformed":         fakes.Malformed,
	"truncated, no TCP": fakes.TruncatedNoTCP,
}

// A name server returns errors and empty, malformed and truncated answers, one after the other. Discovery is a second
// source, which has not answered. The faults must not remove nodes. After the faults, the list must follow the name
// server again.
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

// A name server recovers from a fault. After each kind of fault, the list must follow its next answer. With the old
// list, the broker would send requests to removed nodes.
func TestDNSRecoversFromEachFault(t *testing.T) {
	for name, fault := range dnsFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // each waits for TTLs and retries
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

// expectKept waits until a DNS fault has taken effect, and checks that the list has not changed since.
func (c *core) expectKept(want string) {
	c.Helper()
	failures := c.metric("source.dns.failures")
	rejected := c.metric("source.dns.refused")
	c.awaitFault(failures+1, rejected+1) // two, as the first may result from a query sent before the fault
	if got := c.list(); got != want {
		c.Fatalf("after a DNS fault the list is %q, want %q", got, want)
	}
}

// awaitFault waits until the number of failed DNS queries or that of rejected DNS answers exceeds the given value.
func (c *core) awaitFault(failures, rejected uint64) {
	c.Helper()
	for c.metric("source.dns.failures") <= failures && c.metric("source.dns.refused") <= rejected {
		c.poll("no failed DNS query or rejected DNS answer was counted")
	}
}

// The list must follow each answer of a name server while discovery is a second source.
func TestDNSAndDiscovery(t *testing.T) {
	d := newDNS(t)
	d.Set(service, 1, records("a", "b", "c")...)
	c := newCore(t)
	c.apply(config.Membership{Sources: []config.EndpointSource{discoverySource(), dnsSource(d)}})
	c.awaitList("a b c")
	n := c.node("b" + domain)
	if n.Priority != 1 || n.TrafficWeight != 10 || n.Shard != 1 || n.Address != "10.0.0.98:6379" || n.LastStart != 0 {
		t.Errorf("node b: %+v, want priority 1, weight 10, shard 1, address 10.0.0.98:6379 and start 0", n)
	}
	d.Set(service, 1, records("a", "b")...)
	c.awaitList("a b")
	c.members.HandleDiscovery(discoveryList(map[string]string{"s-1": "10.0.0.97:6379", "s-9": "10.0.0.9:1"}))
	c.awaitList("a b s-9") // s-1 has the address of a, so both are one node, which keeps its name
	d.Set(service, 1, records("b")...)
	c.awaitList("b s-9") // DNS removes the node, although discovery still lists it as s-1
	moved := records("b", "d")
	moved[0].Addresses = []string{"10.0.0.200"}
	d.Set(service, 1, moved...)
	c.awaitList("b.example.org@10.0.0.200:6379 d s-9") // a name that moves to another address is a new node
	text := string(c.members.Table())
	if !strings.Contains(text, "10.0.0.200:6379") || !strings.Contains(text, "discovery") {
		t.Errorf("the table lacks the new address of b or the source discovery:\n%s", text)
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
	invalidFile = `[[node]]
name = "f"
`
)

// The sources are replaced while the broker runs. The list must then follow the new source, a file, and its changes. An
// invalid file must not remove nodes.
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
	writeFile(t, path, invalidFile)
	for c.metric("source.file.failures") == 0 {
		c.poll("the invalid file was not read")
	}
	if got := c.list(); got != "f g" {
		t.Errorf("the list after an invalid file is %q, want %q", got, "f g")
	}
	if err := c.members.ApplySettings(config.Membership{}); err == nil {
		t.Error("settings without a source were accepted")
	}
}
