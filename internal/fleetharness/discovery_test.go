package fleetharness

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Half of the brokers have an outdated list while a node drains and another node joins. The brokers that were notified
// follow the rules, the others continue with the old list, and the newly started node receives less than the others.
func TestStaleListAndNewNode(t *testing.T) {
	fleet, ctx := startFleet(t, Scenario{Brokers: 4, Node: NodeSpec{Count: 4}})
	fleet.expectServed(t, 20, false)
	for _, b := range []int{0, 1} {
		fleet.inject(t, ctx, Event{Kind: ViewStale, Brokers: []int{b}})
	}
	fleet.inject(t, ctx, Event{Kind: NodeJoin, Nodes: []int{0}})
	fleet.inject(t, ctx, Event{Kind: NodeDrain, Nodes: []int{3}})
	for fleet.discovery.drainNotified("node-3", 2) == 0 || fleet.discovery.drainNotified("node-3", 3) == 0 {
		if ctx.Err() != nil {
			t.Fatal("the broker was never notified of the drain")
		}
		fleet.expectServed(t, 2, false)
	}
	if at := fleet.discovery.drainNotified("node-3", 0); at > 0 {
		t.Error("a broker with an outdated list was notified of the drain")
	}
	fleet.expectServed(t, 10, false)
	fleet.TakeAttemptCounts()
	fleet.expectServed(t, 60, false)
	counts := fleet.TakeAttemptCounts()
	if mean := (counts[0] + counts[1] + counts[2]) / 3; counts[4] >= mean {
		t.Errorf("the new node received as many attempts as the others: %v", counts)
	}
	fleet.expectServed(t, 30, false, 0, 1)
	if counts = fleet.TakeAttemptCounts(); counts[3] == 0 || counts[4] > 0 {
		t.Errorf("brokers with the outdated list acted on the present one: %v", counts)
	}
}

// Discovery sends one broker an empty list, another a list that shows two serving nodes as draining, and a third all
// versions late. Each broker follows its own list, rejects at once requests for which it has no node, and serves again
// when the fault is over.
func TestViewsThatContradict(t *testing.T) {
	fleet, ctx := startFleet(t, Scenario{Brokers: 4, Node: NodeSpec{Count: 4}})
	fleet.expectServed(t, 10, false)
	fleet.inject(t, ctx, Event{Kind: ViewEmpty, Brokers: []int{0}})
	fleet.inject(t, ctx, Event{Kind: ViewContradicts, Brokers: []int{1}, Nodes: []int{0, 1}})
	fleet.inject(t, ctx, Event{Kind: ViewLate, Brokers: []int{2}, DelayMS: 300})
	for fleet.discovery.drainNotified("node-1", 1) == 0 {
		if ctx.Err() != nil {
			t.Fatal("the broker was never notified of the drain")
		}
		fleet.expectServed(t, 1, false, 1, 2, 3)
	}
	for fleet.SendRequests(1, false, 0)[OutcomeRejected] == 0 {
		if ctx.Err() != nil {
			t.Fatal("the broker never received the empty list")
		}
	}
	if outcomes := fleet.SendRequests(20, true, 0); outcomes[OutcomeRejected] != 20 {
		t.Errorf("outcomes of 20 requests without a node: %v", outcomes)
	}
	fleet.expectServed(t, 20, false, 1, 2, 3)
	fleet.TakeAttemptCounts()
	fleet.expectServed(t, 20, false, 1)
	if counts := fleet.TakeAttemptCounts(); counts[0]+counts[1] > 0 || counts[2]+counts[3] < 20 {
		t.Errorf("attempts of a broker that was notified that nodes 0 and 1 drain: %v", counts)
	}
	fleet.expectServed(t, 30, false, 2, 3)
	expectBalanced(t, fleet.TakeAttemptCounts())
	if fleet.discovery.drainNotified("node-1", 0) > 0 {
		t.Error("a broker was notified of a drain that is not in its list")
	}
	for _, b := range fleet.brokers {
		fleet.discovery.setView(b.number, discoveryView{})
	}
	expectUsedAgain(t, ctx, fleet)
}

// expectUsedAgain expects broker 0, which had no node, to serve again, and broker 1, whose list had node 0 as draining,
// to use node 0 again.
func expectUsedAgain(t *testing.T, ctx context.Context, fleet *Fleet) {
	t.Helper()
	servesAgain, nodeUsedAgain := false, false
	for !servesAgain || !nodeUsedAgain {
		if ctx.Err() != nil {
			t.Fatal("nodes that serve again are not used")
		}
		fleet.TakeAttemptCounts()
		fleet.expectServed(t, 5, false, 1)
		if fleet.TakeAttemptCounts()[0] > 0 {
			nodeUsedAgain = true
		}
		if fleet.SendRequests(1, false, 0)[OutcomeServed] == 1 {
			servesAgain = true
		}
	}
}

// The full list contains a node that joined, regardless of which lists were requested before.
func TestFullListIncludesJoinedNode(t *testing.T) {
	fleet := &Fleet{scenario: &Scenario{Node: NodeSpec{Zones: 1}}}
	d := newDiscoveryState(fleet)
	fleet.nodes = []*fakeNode{{name: "first"}}
	d.entries = []listedEndpoint{d.entry(fleet.nodes[0], healthServing, 1)}
	if text := string(d.list(0, 0, 1, false)); !strings.Contains(text, "first") || text != string(d.currentList()) {
		t.Errorf("list at the start: %s", text)
	}
	if text := string(d.list(0, 1, 1, true)); !strings.Contains(text, `"hosts":[]`) {
		t.Errorf("watch with nothing newer: %s", text)
	}
	joined := &fakeNode{name: "joined", number: 1}
	fleet.nodes = append(fleet.nodes, joined)
	d.publishHealth(joined, healthServing)
	if text := string(d.list(0, 0, 2, false)); !strings.Contains(text, "joined") || !strings.Contains(text, "first") {
		t.Errorf("full list after the join: %s", text)
	}
	if text := string(d.list(0, 1, 2, true)); !strings.Contains(text, "joined") || strings.Contains(text, "first") {
		t.Errorf("watch after the join: %s", text)
	}
}

// Idle clients use all descriptors of a broker while discovery is down. The broker continues to serve requests, opens
// new connections to nodes and resumes its watch: it is notified of a drain and sends to the node that joined.
func TestIdleClientsFillDescriptors(t *testing.T) {
	fleet, ctx := startFleet(t, Scenario{Brokers: 1, Node: NodeSpec{Count: 2}})
	limit := unix.Rlimit{Cur: brokerSockets, Max: brokerSockets}
	pid := fleet.brokers[0].command.Process.Pid
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		t.Fatal(err)
	}
	fleet.expectServed(t, 10, false)
	fleet.inject(t, ctx, Event{Kind: ViewUnavailable, Brokers: []int{0}})
	fleet.inject(t, ctx, Event{Kind: NodeReset, Nodes: []int{0, 1}})
	fleet.awaitLog(t, ctx, 0, "discovery poll failed")
	openIdleClients(t, fleet.brokers[0].address, 500)
	fleet.expectServed(t, 20, false)
	fleet.inject(t, ctx, Event{Kind: NodeJoin, Nodes: []int{0}})
	fleet.inject(t, ctx, Event{Kind: NodeDrain, Nodes: []int{0, 1}})
	fleet.expectServed(t, 5, false)
	if at := fleet.discovery.drainNotified("node-0", 0); at > 0 {
		t.Error("the broker was notified of a drain while discovery was down")
	}
	fleet.discovery.setView(0, discoveryView{})
	fleet.awaitLog(t, ctx, 0, "discovery recovered")
	fleet.TakeAttemptCounts()
	fleet.expectServed(t, 20, false)
	if counts := fleet.TakeAttemptCounts(); counts[2] == 0 {
		t.Errorf("the node that joined received no attempts: %v", counts)
	}
	if n := len(fleet.LogLines("accept failed")); n > 0 {
		t.Errorf("%d accepts failed for lack of descriptors", n)
	}
}

// openIdleClients opens connections that stay open until the end of the test. Half of them send PING and wait up to 5 s
// for the answer.
func openIdleClients(t *testing.T, address string, count int) {
	t.Helper()
	var greetings sync.WaitGroup
	for i := range count {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		if i%2 != 0 {
			continue
		}
		greetings.Go(func() {
			_, _ = io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			_, _ = conn.Read(make([]byte, 8))
		})
	}
	greetings.Wait()
}
