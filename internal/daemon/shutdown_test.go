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

	"junctionwharf/internal/config"
	"junctionwharf/internal/logging"
	"junctionwharf/scheduler"
)

// quickSettings holds settings with deadlines of 0.3 s. With killDelay (0.7 s), the platform would send SIGKILL 1 s
// after SIGTERM.
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
			t.Errorf("longest deadline %v: times %+v, want %+v", longest, got, want)
		}
	}
}

// shutdownTest tests a broker that is stopped while clients keep sending requests.
type shutdownTest struct {
	*testing.T
	address string
	clients sync.WaitGroup
	started chan struct{} // receives a value from each client that has sent a request or could not connect

	mu   sync.Mutex
	seen map[string]int // how often each request reached the node
}

// nodeValue records a request and returns the node's answer, or an empty string if the node must never answer it.
func (s *shutdownTest) nodeValue(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen[id]++
	if strings.HasPrefix(id, "hang") {
		return ""
	}
	return "v"
}

// requestOf returns a client's request. The requests of every second client are writes. The node never answers the
// requests of every third client.
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

// checkEnd checks a client's last request, which failed with err: it must not have reached the node, and no part of an
// answer must have arrived. If it was the client's first request, err must be that of a closed or reset connection.
// A later request may also fail in another way, for example while it is written to a closed connection.
func (s *shutdownTest) checkEnd(id string, number int, line string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	unexpected := number == 0 && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, io.EOF)
	if s.seen[id] > 0 || line != "" || unexpected {
		s.Errorf("request %s: answer %q, error %v, reached the node %d times; "+
			"want no answer, a closed connection and 0 times", id, line, err, s.seen[id])
	}
}

// checkWrites checks that no write that the node left unanswered was sent to it again. Reads may be sent again.
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
			s.Errorf("unanswered write %s reached the node %d times, want once", id, times)
		}
	}
}

// A broker that was stopped while clients read long values ended shortly before the time of SIGKILL and cut the values
// off, although nothing kept it from going on, with and without a successor. It must go on until the clients have read
// them, and then end.
func TestShutdownFinishesLongValues(t *testing.T) {
	const values = 3 // more than the sockets between the node and the client hold
	value := strings.Repeat("v", 4<<20)
	for _, successor := range []bool{false, true} {
		t.Run(fmt.Sprint("successor ", successor), func(t *testing.T) {
			t.Setenv("TMPDIR", t.TempDir())
			node := startNode(t, func(string) string { return value })
			discovery := startDiscovery(t, readyHost("a", node))
			address := unusedAddress(t)
			c := newConfig(t, address, discovery.Address(), quickSettings)
			c.HandoverDisabled = !successor
			broker := startSimpleBroker(c)
			defer broker.stop()
			conn := dial(t, address).(*net.TCPConn)
			if err := conn.SetReadBuffer(32 << 10); err != nil {
				t.Fatal(err)
			}
			client := newTestClient(conn)
			for i := range values {
				client.write(t, testRequest{id: fmt.Sprint("id", i), wait: int(quickDeadline.Milliseconds())}.encode())
			}
			if _, err := client.reader.Peek(1); err != nil {
				t.Fatal(err)
			}
			if successor {
				startSuccessor(t, c)
			}
			broker.stop()
			select {
			case err := <-broker.ended:
				t.Fatalf("the broker ended, error %v, while a client was reading", err)
			case <-time.After(quickDeadline + killDelay + 200*time.Millisecond):
			}
			for i := range values {
				if line, got, err := client.answer(); err != nil || got != value {
					t.Fatalf("value %d: read %q and %d of %d bytes, error %v", i, line, len(got), len(value), err)
				}
			}
			broker.waitEnd(t)
		})
	}
}

// startSuccessor starts a second process of a broker, and waits until it is connected to the first one.
func startSuccessor(t *testing.T, c *config.Config) {
	t.Helper()
	connected := make(chan struct{}, 1)
	log := logging.ToFunc(func(line string) {
		if strings.Contains(line, "connected to the predecessor") {
			connected <- struct{}{}
		}
	})
	copied := *c
	successor := startBroker(&copied, log, nil, nil)
	t.Cleanup(func() {
		successor.stop()
		successor.waitEnd(t)
	})
	select {
	case <-connected:
	case <-time.After(testTimeout):
		t.Fatal("the successor is not connected")
	}
}

// The broker is stopped while its node answers only some requests, and clients keep sending on old and new connections
// until the broker closes them. Each request that reached the node gets an answer before the broker closes the client's
// connection. The broker ends before the time at which the platform would send SIGKILL.
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
	for i := range clients { // clients keep connecting after SIGTERM
		s.clients.Go(func() { s.runClient(clients + i) })
	}
	broker.waitEnd(t)
	if took := time.Since(began); took > quickDeadline+killDelay {
		t.Errorf("the broker ended %v after SIGTERM, want at most %v", took, quickDeadline+killDelay)
	}
	s.clients.Wait()
	s.checkWrites()
}
