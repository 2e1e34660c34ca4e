package daemon

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"junctionwharf/internal/fakes"
	"junctionwharf/internal/logging"
)

// quickSettings has deadlines of a third of a second, so that SIGKILL would come 1 s after SIGTERM.
const quickSettings = `{"bounds":{"maxAttempts":3},"nInstances":1,"ordinal":0,"specifics":{"usualUnits":2,"maxUnits":8},
 "classes":[{"name":"read","aim":200000,"deadline":300000,"effect":"safe","importance":1},{"name":"write","aim":200000,"deadline":300000,"effect":"unsafe","importance":1}],
 "serviceLevels":[{"name":"plan","nominal":10000,"floorRate":10000,"parts":1,"price":1}],"invariants":{"answerSlack":8000,"drainGrace":2000000}}`

// The program is told to end while its node hangs with some requests and serves others, and clients go on sending on each connection that
// stays open, new ones among them, until the last is closed. Each request whose bytes were read got its one answer; where a connection
// was closed before an answer, no reset came and nothing of that request reached the node. The program ends before SIGKILL would come.
func TestEndOwesNothing(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	var mu sync.Mutex
	seen := map[string]int{}
	node := listen(t)
	go serveNode(node, func(id string) string {
		mu.Lock()
		defer mu.Unlock()
		seen[id]++
		if strings.HasPrefix(id, "hang") {
			return ""
		}
		return "v"
	})
	discovery := serveList(t, fakes.Host{Host: "a", Dial: node.Addr().String(), Health: "SERVING", Share: 1})
	address := free(t)
	c := configWith(t, address, discovery.Address(), quickSettings)
	c.HandoverDisabled = true
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, c, logging.Discard(), nil, nil) }()
	dial(t, address).Close()

	var clients sync.WaitGroup
	started := make(chan struct{}, 64)
	run := func(client int) {
		defer clients.Done()
		conn, err := net.Dial("tcp", address)
		if err != nil {
			started <- struct{}{}
			return // it ended before
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(20 * time.Second))
		in := bufio.NewReader(conn)
		for n := 0; ; n++ {
			class, kind := "BLK.READ", "read"
			id := fmt.Sprintf("serve-%d-%d", client, n)
			if client%3 == 0 {
				id = fmt.Sprintf("hang-%d-%d", client, n)
			}
			body := ""
			if client%2 == 0 {
				class, kind, body = "BLK.WRITE", "write", "$1\r\nb\r\n"
			}
			list := "c=" + kind + ",t=plan,d=300,volume=00000003b4d60021,units=1,shard=0,hosts=1"
			args := 4
			if body != "" {
				args = 5
			}
			_, err := fmt.Fprintf(conn, "*%d\r\n$%d\r\n%s\r\n$16\r\n7f3a9c21e0b4d655\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n%s", args, len(class), class, len(id), id, len(list), list, body)
			if n == 0 {
				started <- struct{}{}
			}
			line := ""
			if err == nil {
				if line, err = in.ReadString('\n'); err == nil && strings.HasPrefix(line, "$") {
					_, err = io.ReadFull(in, make([]byte, 3))
				}
			}
			if err != nil { // the end came between two requests, or crossed this one
				mu.Lock()
				if seen[id] > 0 || line != "" || n == 0 && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, io.EOF) {
					t.Errorf("%s: %q, %v, at the node %d times", id, line, err, seen[id])
				}
				mu.Unlock()
				return
			}
		}
	}
	for i := range 12 {
		clients.Add(1)
		go run(i)
	}
	for range 12 {
		<-started
	}
	began := time.Now()
	stop()
	for i := range 12 { // new connections keep coming
		clients.Add(1)
		go run(12 + i)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if took := time.Since(began); took > 300*time.Millisecond+killAfter {
		t.Errorf("it ended %v after SIGTERM", took)
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	for id, times := range seen {
		if times > 1 && strings.Contains(id, "hang") { // a read may be tried again, a write not
			var client int
			fmt.Sscanf(id, "hang-%d-", &client)
			if client%2 == 0 {
				t.Errorf("%s came to the node %d times", id, times)
			}
		}
	}
}
