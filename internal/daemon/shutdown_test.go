package daemon

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

// quickSettings has deadlines of a third of a second, so that SIGKILL would come 1 s after SIGTERM.
const quickSettings = `{"bounds":{"maxAttempts":3},"nInstances":1,"ordinal":0,"specifics":{"usualUnits":2,"maxUnits":8},
 "classes":[{"name":"read","aim":200000,"deadline":300000,"effect":"safe","importance":1},
  {"name":"write","aim":200000,"deadline":300000,"effect":"unsafe","importance":1}],
 "serviceLevels":[{"name":"plan","nominal":10000,"floorRate":10000,"parts":1,"price":1}],
 "invariants":{"answerSlack":8000,"drainGrace":2000000}}`

// quickDeadline is that of quickSettings.
const quickDeadline = 300 * time.Millisecond

// Clients of a planned restart are served for as long as answers can still come before SIGKILL.
func TestShutdownTimes(t *testing.T) {
	const ms = time.Millisecond
	for longest, want := range map[time.Duration]shutdownTimes{
		2500 * ms: {drain: 2800 * ms, close: 2900 * ms, answer: 2950 * ms, exit: 3100 * ms},
		9000 * ms: {drain: 3300 * ms, close: 3400 * ms, answer: 3450 * ms, exit: 3600 * ms},
		100 * ms:  {drain: 450 * ms, close: 550 * ms, answer: 550 * ms, exit: 700 * ms},
	} {
		if got := computeShutdownTimes([]scheduler.Class{{Deadline: ms}, {Deadline: longest}}); got != want {
			t.Errorf("%v: %v, want %v", longest, got, want)
		}
	}
}

// shutdownTest is a broker that ends while clients send on.
type shutdownTest struct {
	*testing.T
	address string
	clients sync.WaitGroup
	started chan struct{} // gets a value for each client once it has sent a request, or found no broker

	mu   sync.Mutex
	seen map[string]int // how often each request came to the node
}

// nodeValue is what the node answers: it hangs with some requests and serves others.
func (s *shutdownTest) nodeValue(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen[id]++
	if strings.HasPrefix(id, "hang") {
		return ""
	}
	return "v"
}

// requestOf is a client's request: every second client writes, every third hangs at the node.
func requestOf(client, number int) testRequest {
	request := testRequest{id: fmt.Sprintf("serve-%d-%d", client, number), wait: int(quickDeadline.Milliseconds())}
	if client%3 == 0 {
		request.id = fmt.Sprintf("hang-%d-%d", client, number)
	}
	if client%2 == 0 {
		request.class = "write"
		request.body = "b"
	}
	return request
}

// runClient sends requests on one connection until the broker ends it.
func (s *shutdownTest) runClient(client int) {
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.started <- struct{}{}
		return // the broker ended before
	}
	defer func() { _ = conn.Close() }()
	setDeadline(s.T, conn, 2*testTimeout)
	c := newTestClient(conn)
	for number := 0; ; number++ {
		request := requestOf(client, number)
		_, err := io.WriteString(conn, request.encode())
		if number == 0 {
			s.started <- struct{}{}
		}
		line := ""
		if err == nil {
			line, _, err = c.answer()
		}
		if err != nil { // the end came between two requests, or crossed this one
			s.checkEnd(request.id, number, line, err)
			return
		}
	}
}

// checkEnd wants that a request without an answer was not read: nothing of it reached the node, and no reset came.
func (s *shutdownTest) checkEnd(id string, number int, line string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	unexpected := number == 0 && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, io.EOF)
	if s.seen[id] > 0 || line != "" || unexpected {
		s.Errorf("%s: %q, %v, at the node %d times", id, line, err, s.seen[id])
	}
}

// checkWrites wants that no write was sent again: a read may be.
func (s *shutdownTest) checkWrites() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, times := range s.seen {
		if times <= 1 || !strings.HasPrefix(id, "hang") {
			continue
		}
		var client int
		if _, err := fmt.Sscanf(id, "hang-%d-", &client); err != nil {
			s.Error(err)
		}
		if client%2 == 0 {
			s.Errorf("%s came to the node %d times", id, times)
		}
	}
}

// The program is told to end while its node hangs with some requests and serves others, and clients go on sending on
// each connection that stays open, new ones among them, until the last is closed. Each request whose bytes were read
// gets its one answer; where a connection is closed before an answer, nothing of that request has reached the node.
// The program ends before SIGKILL would come.
func TestShutdownAnswersAll(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	const clients = 12
	s := &shutdownTest{T: t, started: make(chan struct{}, 64), seen: map[string]int{}}
	node := startNode(t, s.nodeValue)
	discovery := startDiscovery(t, readyHost("a", node))
	s.address = unusedAddress(t)
	c := newConfig(t, s.address, discovery.Address(), quickSettings)
	c.HandoverDisabled = true
	broker := startSimpleBroker(c)
	defer broker.stop()
	_ = dial(t, s.address).Close()
	for i := range clients {
		s.clients.Go(func() { s.runClient(i) })
	}
	for range clients {
		<-s.started
	}
	began := time.Now()
	broker.stop()
	for i := range clients { // new connections keep coming
		s.clients.Go(func() { s.runClient(clients + i) })
	}
	broker.waitEnd(t)
	if took := time.Since(began); took > quickDeadline+killDelay {
		t.Errorf("it ended %v after SIGTERM", took)
	}
	s.clients.Wait()
	s.checkWrites()
}
