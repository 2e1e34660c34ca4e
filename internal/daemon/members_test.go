package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"junctionwharf/internal/config"
	"junctionwharf/internal/fakes"
	"junctionwharf/internal/logging"
)

// A broker whose nodes come from DNS serves by priority, drains what leaves the zone, and goes on while the server fails.
func TestNodesFromDNS(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	var nodes []*fakes.Node
	var zone []fakes.Name
	for i := range 2 {
		n, err := fakes.NewNode("127.0.0.1:0", fmt.Sprint("node", i), 0, 4, 8, func(float64) time.Duration { return time.Millisecond })
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		nodes = append(nodes, n)
		_, port, _ := strings.Cut(n.Host().Dial, ":")
		var number uint16
		fmt.Sscan(port, &number)
		zone = append(zone, fakes.Name{Target: fmt.Sprintf("node%d.example.org", i), Port: number, Priority: uint16(i), Addresses: []string{"127.0.0.1"}})
	}
	d, err := fakes.NewDNS("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	const service = "_resp._tcp.storage.example.org"
	d.Set(service, 1, zone...)
	address, door := free(t), free(t)
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"console":%q,"settings":%s}`, address, free(t), door, settingsText)
	c, err := config.Parse([]byte(strings.Replace(text, `"classes":[`, `"classes":[{"name":"write","aim":5000000,"deadline":6000000,"effect":"unsafe"},`, 1)), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	shard := 0
	c.Site.Membership.Sources = []config.EndpointSource{{Name: "dns", Kind: "dns", SRV: service, Resolvers: []string{d.Address()}, Shard: &shard, TimeoutMS: 100, QueriesPerS: 1000}}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, c, logging.Discard(), nil, nil) }()
	ask := func(call string) string {
		conn := dial(t, door)
		defer conn.Close()
		io.WriteString(conn, call+"\n")
		got, _ := io.ReadAll(conn)
		return string(got)
	}
	await := func(call string, fits func(string) bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); !fits(ask(call)); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal(ask(call))
			}
		}
	}
	conn := dial(t, address)
	in := bufio.NewReader(conn)
	serve := func(count int) {
		t.Helper()
		for i := range count {
			list := "c=read,t=plan,d=6000,volume=00000003b4d60021,units=1,shard=0,hosts=1"
			fmt.Fprintf(conn, "*4\r\n$8\r\nBLK.READ\r\n$16\r\n7f3a9c21e0b4d655\r\n$3\r\n%03d\r\n$%d\r\n%s\r\n", i, len(list), list)
			if line, err := in.ReadString('\n'); err != nil || line[0] != '$' {
				t.Fatal(line, err)
			}
			if _, err := in.ReadString('\n'); err != nil {
				t.Fatal(err)
			}
		}
	}
	await("nodes", func(text string) bool {
		return strings.Contains(text, "node0.example.org") && strings.Contains(text, "node1.example.org")
	})
	serve(20)
	if nodes[0].Served() != 20 || nodes[1].Served() != 0 {
		t.Errorf("%d and %d served: the lower priority goes first", nodes[0].Served(), nodes[1].Served())
	}
	d.Set(service, 1, zone[1])
	await("nodes", func(text string) bool { return !strings.Contains(text, "node0.example.org") })
	d.Play(fakes.Silent)
	await("vars", func(text string) bool {
		return strings.Contains(text, "source.dns.failures:") && !strings.Contains(text, "source.dns.failures:0|c")
	})
	serve(20)
	if nodes[0].Served() != 20 || nodes[1].Served() != 20 {
		t.Errorf("%d and %d served after the first left", nodes[0].Served(), nodes[1].Served())
	}

	// A write that is out where its node leaves, while another comes back, is sent to no other.
	d.Play(fakes.Honest)
	nodes[1].Stall(1500 * time.Millisecond)
	list := "c=write,t=plan,d=6000,volume=00000003b4d60021,units=1,shard=0,hosts=1"
	fmt.Fprintf(conn, "*5\r\n$9\r\nBLK.WRITE\r\n$16\r\n7f3a9c21e0b4d655\r\n$1\r\nw\r\n$%d\r\n%s\r\n$4\r\nBODY\r\n", len(list), list)
	await("vars", func(text string) bool {
		return strings.Contains(text, "inflight:1|g") && strings.Contains(text, "backend_calls:41|c")
	})
	d.Set(service, 1, zone[0])
	await("nodes", func(text string) bool {
		return !strings.Contains(text, "node1.example.org") && strings.Contains(text, "node0.example.org")
	})
	if line, err := in.ReadString('\n'); err != nil || nodes[0].Served() != 20 || nodes[1].Served() != 21 {
		t.Errorf("%q, %v; %d and %d served", line, err, nodes[0].Served(), nodes[1].Served())
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
