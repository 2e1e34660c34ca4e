package daemon

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"junctionwharf/internal/handover"
)

// startWithConsole starts one process of a broker and waits until the process accepts clients.
func startWithConsole(t *testing.T, address, files, discovery string) *testBroker {
	t.Helper()
	adminAddress := unusedAddress(t)
	c := parseConfig(t, fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"console":%q,"settings":%s}`,
		address, discovery, adminAddress, settingsText))
	c.Site.SFTP.Listen = files
	c.Site.SFTP.Connections = 4
	broker := startSimpleBroker(c)
	awaitAccepting(t, adminAddress)
	return broker
}

// awaitAccepting waits until the console's check call succeeds.
func awaitAccepting(t *testing.T, adminAddress string) {
	t.Helper()
	_ = dial(t, adminAddress).Close()
	await(t, "clients are not accepted", func() bool { return callConsole(t, adminAddress, "check") == "SUCCESS\n" })
}

// checkServed sends a request on a new connection and checks that the answer is the request's id.
func checkServed(t *testing.T, address, id string) {
	t.Helper()
	if got := dialClient(t, address).ask(t, testRequest{id: id, units: 2}); got != id {
		t.Errorf("answer to request %s: %q, want the request's id", id, got)
	}
}

// A second process takes over while the first still waits for a node's answer. An id that is open at one process is
// rejected by both, new connections reach the second process, and the first process answers the request that it had
// accepted.
func TestReplaceProcess(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	held, release := make(chan struct{}), make(chan struct{})
	node := startNode(t, func(id string) string {
		if id == "hold" {
			close(held)
			<-release
		}
		return id
	})
	discovery := startDiscovery(t, readyHost("a", node)).Address()
	address, files := unusedAddress(t), unusedAddress(t)
	oldProcess := startWithConsole(t, address, files, discovery)
	holder := dialClient(t, address)
	answer := make(chan string)
	go func() { answer <- holder.ask(t, testRequest{id: "hold", units: 2}) }()
	<-held

	newProcess := startWithConsole(t, address, files, discovery)
	for i := range 8 { // the kernel chooses the process for each connection
		if got := dialClient(t, address).ask(t, testRequest{id: "hold", units: 2}); !strings.HasPrefix(got, "-ERR") {
			t.Errorf("answer to a request whose id is already open: %q, want an error", got)
		}
		checkServed(t, address, fmt.Sprint("beside", i))
	}
	oldProcess.stop()
	for i := range 8 {
		checkServed(t, address, fmt.Sprint("redirected", i))
	}
	close(release)
	if got := <-answer; got != "hold" {
		t.Errorf("answer to the request accepted by the first process: %q, want its id", got)
	}
	oldProcess.waitEnd(t)
	checkServed(t, address, "last")
	checkFileServer(t, files)
	newProcess.stop()
	newProcess.waitEnd(t)
}

// arrivals records when requests reach the node.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
	count int           // number of arrivals that the test waits for
	done  chan struct{} // closed when that number of requests has arrived
}

// nodeValue records a request and returns the node's answer.
func (a *arrivals) nodeValue(string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
	if len(a.times) == a.count {
		close(a.done)
	}
	return "v"
}

// lowestLevel returns the lowest level of a token bucket from which each arrival takes one token. The level is negative
// if the arrivals overdraw the bucket.
func (a *arrivals) lowestLevel(rate, burst float64) float64 {
	level, lowest, last := burst, burst, a.times[0]
	for _, at := range a.times {
		level = min(burst, level+rate*at.Sub(last).Seconds()) - 1
		lowest = min(lowest, level)
		last = at
	}
	return lowest
}

// runLimitedClient sends requests on one connection until enough is closed.
func runLimitedClient(t *testing.T, address string, client int, enough <-chan struct{}) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	setDeadline(t, conn, 2*testTimeout)
	c := newTestClient(conn)
	for number := 0; ; number++ {
		select {
		case <-enough:
			return
		default:
		}
		request := testRequest{id: fmt.Sprintf("id-%d-%d", client, number), wait: int(quickDeadline.Milliseconds())}
		if _, err := c.tryRequest(request); err != nil {
			return
		}
	}
}

// Two processes of a broker run without a handover, and clients send far more requests to both than their volume's
// limit allows. The requests that reach the node must keep to the limit of one broker: the burst, the overdraft and the
// rate, with an allowance for requests that arrive late.
func TestLimitWithoutHandover(t *testing.T) {
	const rate, burst, overdraft, enough = 200.0, 40.0, 4.0, 260
	limit := fmt.Sprintf(`"nominal":10000,"ceilingRate":%v,"capDepth":%v,"tolerance":%v`, rate, burst, overdraft)
	settings := strings.Replace(quickSettings, `"nominal":10000`, limit, 1)
	received := &arrivals{count: enough, done: make(chan struct{})}
	node := startNode(t, received.nodeValue)
	discovery := startDiscovery(t, readyHost("a", node))
	address := unusedAddress(t)
	for range 2 {
		c := newConfig(t, address, discovery.Address(), settings)
		c.HandoverDisabled = true
		c.Console = unusedAddress(t)
		broker := startSimpleBroker(c)
		t.Cleanup(func() { broker.waitEnd(t) })
		t.Cleanup(broker.stop)
		awaitAccepting(t, c.Console)
	}
	var clients sync.WaitGroup
	for i := range 24 { // the kernel distributes the clients over both processes
		clients.Go(func() { runLimitedClient(t, address, i, received.done) })
	}
	clients.Wait()
	received.mu.Lock()
	defer received.mu.Unlock()
	if len(received.times) < enough {
		t.Fatalf("only %d requests reached the node before the clients ended", len(received.times))
	}
	const delayed = 0.15 * rate // tokens; requests may be delayed on their way and arrive together with later ones
	if lowest := received.lowestLevel(rate, burst); lowest < -overdraft-delayed {
		t.Errorf("the volume's token bucket fell to %.0f, below the overdraft and the allowance for delays", lowest)
	}
}

// If the list of sockets cannot be read, the limits are shared whenever another process may be running: after the start
// if another process listened then, and from SIGTERM on.
func TestOtherProcessCountsWhileItMayRun(t *testing.T) {
	for _, c := range []struct {
		presence presence
		want     bool
	}{
		{presence{observed: handover.Unknown}, false},
		{presence{observed: handover.Unknown, atStart: true}, true},
		{presence{observed: handover.Unknown, terminated: true}, true},
		{presence{observed: handover.Present}, true},
		{presence{observed: handover.Absent, atStart: true, terminated: true}, false},
	} {
		if got := c.presence.otherMayRun(); got != c.want {
			t.Errorf("%+v: %v, want %v", c.presence, got, c.want)
		}
	}
}
