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

// quickSettings have deadlines of 0.3 s, so that SIGKILL would come 1 s after SIGTERM.
const quickSettings = `{"bounds":{"maxAttempts":3},"nInstances":1,"ordinal":0,"specifics":{"usualUnits":2,"maxUnits":8},
 "classes":[{"name":"read","aim":200000,"deadline":300000,"effect":"safe","importance":1},
  {"name":"write","aim":200000,"deadline":300000,"effect":"unsafe","importance":1}],
 "serviceLevels":[{"name":"plan","nominal":10000,"floorRate":10000,"parts":1,"price":1}],
 "invariants":{"answerSlack":8000,"drainGrace":2000000}}`

// quickDeadline is the deadline of all classes of quickSettings.
const quickDeadline = 300 * time.Millisecond

// During a planned restart, clients are served for as long as answers can still be sent before SIGKILL.
func TestShutdownTimes(t *testing.T) {
	const ms = time.Millisecond
	for longest, want := range map[time.Duration]shutdownTimes{
		2500 * ms: {drain: 2800 * ms, close: 2900 * ms, answer: 2950 * ms, exit: 3100 * ms},
		9000 * ms: {drain: 3300 * ms, close: 3400 * ms, answer: 3450 * ms, exit: 3600 * ms},
		100 * ms:  {drain: 450 * ms, close: 550 * ms, answer: 550 * ms, exit: 700 * ms},
	} {
		if got := computeShutdownTimes([]scheduler.Class{{Deadline: ms}, {Deadline: longest}}); got != want {
			t.Errorf("longest deadline %v: %v, want %v", longest, got, want)
		}
	}
}

// shutdownTest is a broker that is stopped while clients keep sending requests.
type shutdownTest struct {
	*testing.T
	address string
	clients sync.WaitGroup
	started chan struct{} // receives a value from each client that has sent a request or could not connect

	mu   sync.Mutex
	seen map[string]int // how often each request reached the node
}

// nodeValue records a request and returns the node's answer, which is empty if the node must not answer.
func (s *shutdownTest) nodeValue(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen[id]++
	if strings.HasPrefix(id, "hang") {
		return ""
	}
	return "v"
}

// requestOf returns a client's request. Every second client writes; the node does not answer every third client.
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

// runClient sends requests on one connection until the broker closes it.
func (s *shutdownTest) runClient(client int) {
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.started <- struct{}{}
		return // the broker has already ended
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
		if err != nil { // closed between two requests or during this one
			s.checkEnd(request.id, number, line, err)
			return
		}
	}
}

// checkEnd checks that a request without an answer did not reach the node and got no partial answer. At a client's
// first request, only a closed or reset connection is allowed.
func (s *shutdownTest) checkEnd(id string, number int, line string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	unexpected := number == 0 && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, io.EOF)
	if s.seen[id] > 0 || line != "" || unexpected {
		s.Errorf("request %s: answer %q, %v; it reached the node %d times", id, line, err, s.seen[id])
	}
}

// checkWrites checks that no write was sent again. Reads may be.
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
			s.Errorf("write %s reached the node %d times", id, times)
		}
	}
}

// The broker is stopped while its node answers only some requests, and clients keep sending on old and new connections
// until the broker closes them. Each request that the broker has read gets exactly one answer. If a connection is
// closed before an answer, no byte of that request has reached the node. The broker ends before SIGKILL would come.
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
	for i := range clients { // clients also keep connecting
		s.clients.Go(func() { s.runClient(clients + i) })
	}
	broker.waitEnd(t)
	if took := time.Since(began); took > quickDeadline+killDelay {
		t.Errorf("the broker ended %v after SIGTERM", took)
	}
	s.clients.Wait()
	s.checkWrites()
}
