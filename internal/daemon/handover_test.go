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

// startWithConsole starts one process of a broker and waits until it accepts clients.
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

// awaitAccepting waits until the console says that clients are accepted.
func awaitAccepting(t *testing.T, adminAddress string) {
	t.Helper()
	_ = dial(t, adminAddress).Close()
	await(t, "clients are not accepted", func() bool { return callConsole(t, adminAddress, "check") == "SUCCESS\n" })
}

// checkServed wants a request on a new connection to be answered with its own id.
func checkServed(t *testing.T, address, id string) {
	t.Helper()
	if got := dialClient(t, address).ask(t, testRequest{id: id, units: 2}); got != id {
		t.Errorf("%s was not served: %q", id, got)
	}
}

// A second process takes over while the first still waits for an answer: no id is open at both, new connections reach
// the second, and what the first had accepted is answered.
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
	for i := range 8 { // they reach either process
		if got := dialClient(t, address).ask(t, testRequest{id: "hold", units: 2}); !strings.HasPrefix(got, "-ERR") {
			t.Errorf("an id that is open: %q", got)
		}
		checkServed(t, address, fmt.Sprint("beside", i))
	}
	oldProcess.stop()
	for i := range 8 {
		checkServed(t, address, fmt.Sprint("redirected", i))
	}
	close(release)
	if got := <-answer; got != "hold" {
		t.Errorf("what the first had accepted: %q", got)
	}
	oldProcess.waitEnd(t)
	checkServed(t, address, "last")
	checkFileServer(t, files)
	newProcess.stop()
	newProcess.waitEnd(t)
}

// arrivals notes when requests come to the node.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
	count int           // of the arrivals that a test waits for
	done  chan struct{} // closed with the last of them
}

// nodeValue is what the node answers.
func (a *arrivals) nodeValue(string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
	if len(a.times) == a.count {
		close(a.done)
	}
	return "v"
}

// lowestLevel is how far the arrivals empty a token bucket, which they may overdraw.
func (a *arrivals) lowestLevel(rate, burst float64) float64 {
	level, lowest, last := burst, burst, a.times[0]
	for _, at := range a.times {
		level = min(burst, level+rate*at.Sub(last).Seconds()) - 1
		lowest = min(lowest, level)
		last = at
	}
	return lowest
}

// runLimitedClient makes requests on one connection until enough of them came to the node.
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

// A broker is started beside itself without a handover, and clients ask both processes for far more than their
// volume's limit. What comes to the node keeps to the limit: burst, overdraft, and what the rate gives.
func TestLimitWithoutHandover(t *testing.T) {
	const rate, burst, overdraft, enough = 200.0, 40.0, 4.0, 260
	limit := fmt.Sprintf(`"nominal":10000,"ceilingRate":%v,"capDepth":%v,"tolerance":%v`, rate, burst, overdraft)
	settings := strings.Replace(quickSettings, `"nominal":10000`, limit, 1)
	came := &arrivals{count: enough, done: make(chan struct{})}
	node := startNode(t, came.nodeValue)
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
	for i := range 24 { // the kernel gives some to either process
		clients.Go(func() { runLimitedClient(t, address, i, came.done) })
	}
	clients.Wait()
	came.mu.Lock()
	defer came.mu.Unlock()
	if len(came.times) < enough {
		t.Fatalf("%d requests came to the node", len(came.times))
	}
	const delayed = 0.15 * rate // what may come late to the node, and so with the next ones
	if lowest := came.lowestLevel(rate, burst); lowest < -overdraft-delayed {
		t.Errorf("the volume's token bucket fell to %.0f", lowest)
	}
}

// Where the list of sockets cannot be read, another process counts while one may run: from the start on after
// one that listened before, and from SIGTERM on.
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
