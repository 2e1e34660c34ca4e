package daemon

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"junctionwharf/internal/config"
	"junctionwharf/internal/fakes"
)

const dnsService = "_resp._tcp.storage.example.org"

// startFakeNode starts a node that answers each request after 1 ms.
func startFakeNode(t *testing.T, name string) *fakes.Node {
	t.Helper()
	work := func(float64) time.Duration { return time.Millisecond }
	node, err := fakes.NewNode("127.0.0.1:0", name, 0, 4, 8, work)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	return node
}

// dnsName returns the SRV record of a node.
func dnsName(t *testing.T, node *fakes.Node, priority uint16) fakes.SRVRecord {
	t.Helper()
	_, port, err := net.SplitHostPort(node.Endpoint().Address)
	if err != nil {
		t.Fatal(err)
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		t.Fatal(err)
	}
	return fakes.SRVRecord{
		Target:    fmt.Sprintf("node%d.example.org", priority),
		Port:      uint16(number),
		Priority:  priority,
		Addresses: []string{"127.0.0.1"},
	}
}

// dnsTest is a broker that discovers its two nodes over DNS.
type dnsTest struct {
	*testing.T
	server *fakes.DNS
	nodes  [2]*fakes.Node
	names  [2]fakes.SRVRecord
	admin  string // address of the console
	broker *testBroker
	client *testClient
	sent   int // number of requests so far
}

func newDNSTest(t *testing.T) *dnsTest {
	t.Helper()
	t.Setenv("TMPDIR", t.TempDir())
	d := &dnsTest{T: t, admin: unusedAddress(t)}
	for i := range d.nodes {
		d.nodes[i] = startFakeNode(t, fmt.Sprint("node", i))
		d.names[i] = dnsName(t, d.nodes[i], uint16(i))
	}
	var err error
	d.server, err = fakes.NewDNS("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.server.Close)
	d.server.Set(dnsService, 1, d.names[:]...)
	address := unusedAddress(t)
	c := parseConfig(t, fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"console":%q,"settings":%s}`,
		address, unusedAddress(t), d.admin, withWriteClass(settingsText)))
	shard := 0
	c.Site.Membership.Sources = []config.EndpointSource{{
		Name:        "dns",
		Kind:        "dns",
		SRV:         dnsService,
		Resolvers:   []string{d.server.Address()},
		Shard:       &shard,
		TimeoutMS:   100,
		QueriesPerS: 1000,
	}}
	d.broker = startSimpleBroker(c)
	d.client = dialClient(t, address)
	return d
}

// awaitConsole waits until the answer to a console call contains each text in with and no text in without.
func (d *dnsTest) awaitConsole(call string, with, without []string) {
	d.Helper()
	await(d.T, call, func() bool {
		answer := callConsole(d.T, d.admin, call)
		for _, text := range with {
			if !strings.Contains(answer, text) {
				return false
			}
		}
		for _, text := range without {
			if strings.Contains(answer, text) {
				return false
			}
		}
		return true
	})
}

// serve sends count reads one after the other and fails the test unless each gets a value.
func (d *dnsTest) serve(count int) {
	d.Helper()
	for range count {
		d.sent++
		d.client.write(d.T, testRequest{id: fmt.Sprintf("%03d", d.sent)}.encode())
		if first, _, err := d.client.answer(); err != nil || first[0] != '$' {
			d.Fatal(first, err)
		}
	}
}

// checkServedBy checks how many requests each node has served.
func (d *dnsTest) checkServedBy(what string, first, second int) {
	d.Helper()
	if got := [2]int{d.nodes[0].Served(), d.nodes[1].Served()}; got != [2]int{first, second} {
		d.Errorf("%s: nodes served %v requests, want %d and %d", what, got, first, second)
	}
}

// A broker discovers its nodes over DNS. It prefers the node with the lower priority value, stops using a node that is
// removed from the zone, and keeps serving while the DNS server does not answer. A write is in flight when its node is
// removed and the other node is added again: the write is not sent to the other node.
func TestNodesFromDNS(t *testing.T) {
	d := newDNSTest(t)
	const node0, node1 = "node0.example.org", "node1.example.org"
	d.awaitConsole("nodes", []string{node0, node1}, nil)
	d.serve(20)
	d.checkServedBy("with both nodes", 20, 0)
	d.server.Set(dnsService, 1, d.names[1])
	d.awaitConsole("nodes", nil, []string{node0})
	d.server.SetFault(fakes.NoAnswer)
	d.awaitConsole("vars", []string{"source.dns.failures:"}, []string{"source.dns.failures:0|c"})
	d.serve(20)
	d.checkServedBy("after the first node was removed", 20, 20)

	d.server.SetFault(fakes.NoDNSFault)
	d.nodes[1].Stall(1500 * time.Millisecond)
	d.client.write(t, testRequest{id: "w", class: "write", body: "BODY"}.encode())
	d.awaitConsole("vars", []string{"inflight:1|g", "backend_calls:41|c"}, nil)
	d.server.Set(dnsService, 1, d.names[0])
	d.awaitConsole("nodes", []string{node0}, []string{node1})
	if first, _, err := d.client.answer(); err != nil {
		t.Errorf("answer to the write: %q, error %v, want no error", first, err)
	}
	d.checkServedBy("after the write", 20, 21)
	d.broker.stop()
	d.broker.waitEnd(t)
}
