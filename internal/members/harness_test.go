package members

import (
	"fmt"
	"os"
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

const (
	service = "_resp._tcp.storage.example.org"
	domain  = ".example.org"
)

// maxWait is the time limit of a test, from the creation of its core.
const maxWait = 20 * time.Second

// core stands in for the broker's core: it keeps the list that results from what Members posts.
type core struct {
	*testing.T
	members  *Members
	changed  chan struct{} // receives a value after a list or a change was posted
	deadline <-chan time.Time

	mu    sync.Mutex
	nodes map[string]broker.Node
}

func newCore(t *testing.T) *core {
	t.Helper()
	c := &core{
		T:        t,
		nodes:    map[string]broker.Node{},
		changed:  make(chan struct{}, 1000),
		deadline: time.After(maxWait),
	}
	c.members = New(broker.NewClock(), c.post, logging.ToFunc(func(line string) { t.Log(line) }))
	t.Cleanup(c.members.Close)
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
	case c.changed <- struct{}{}:
	default:
	}
}

func (c *core) apply(settings config.Membership) {
	c.Helper()
	if err := c.members.ApplySettings(settings); err != nil {
		c.Fatal(err)
	}
}

func (c *core) node(name string) broker.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[name]
}

// list returns the names of the listed nodes, sorted and without the domain.
func (c *core) list() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name := range c.nodes {
		names = append(names, strings.TrimSuffix(name, domain))
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

func (c *core) awaitList(want string) {
	c.Helper()
	for c.list() != want {
		select {
		case <-c.changed:
		case <-c.deadline:
			c.Fatalf("the list is %q, want %q\n%s", c.list(), want, c.members.Table())
		}
	}
}

// metric returns the value of a metric, or 0 if there is no such metric.
func (c *core) metric(name string) uint64 {
	for _, m := range c.members.Metrics() {
		if m.Name == name {
			return m.Value
		}
	}
	return 0
}

// poll waits for a millisecond. If the test's time limit has passed, it fails the test with a complaint.
func (c *core) poll(complaint string) {
	c.Helper()
	select {
	case <-time.After(time.Millisecond):
	case <-c.deadline:
		c.Fatalf("%s\n%s", complaint, c.members.Table())
	}
}

// records returns SRV records for the named nodes, each with a weight and a shard by its index, and an address by the
// first letter of its name: a is at 10.0.0.97.
func records(names ...string) []fakes.SRVRecord {
	var all []fakes.SRVRecord
	for i, n := range names {
		all = append(all, fakes.SRVRecord{
			Target:    n + domain,
			Port:      6379,
			Priority:  uint16(i % 2),
			Weight:    uint16(10 * i),
			Addresses: []string{fmt.Sprintf("10.0.0.%d", n[0])},
			Text:      fmt.Sprint("shard=", i),
		})
	}
	return all
}

func newDNS(t *testing.T) *fakes.DNS {
	t.Helper()
	d, err := fakes.NewDNS("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

func dnsSource(d *fakes.DNS) config.EndpointSource {
	return config.EndpointSource{
		Name:        "dns",
		Kind:        config.SourceDNS,
		SRV:         service,
		Resolvers:   []string{d.Address()},
		TimeoutMS:   100,
		UseTXT:      true,
		QueriesPerS: 1000,
	}
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
