package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"junctionwharf/internal/fakes"
	"junctionwharf/internal/logging"
)

// A broker is started beside itself without a handover, and clients ask both processes for far more than their volume's limit. What comes
// to the node keeps to the limit: burst, slack, and what the rate gives.
func TestLimitBesideItself(t *testing.T) {
	const rate, burst, slack, enough = 200.0, 40.0, 4.0, 260
	settings := strings.Replace(quickSettings, `"nominal":10000`, fmt.Sprintf(`"nominal":10000,"ceilingRate":%v,"capDepth":%v,"tolerance":%v`, rate, burst, slack), 1)
	var mu sync.Mutex
	var came []time.Time
	full := make(chan struct{})
	node := listen(t)
	go serveNode(node, func(string) string {
		mu.Lock()
		defer mu.Unlock()
		if came = append(came, time.Now()); len(came) == enough {
			close(full)
		}
		return "v"
	})
	discovery := serveList(t, fakes.Host{Host: "a", Dial: node.Addr().String(), Health: "SERVING", Share: 1})
	address := free(t)
	ctx, stop := context.WithCancel(context.Background())
	var programs, clients sync.WaitGroup
	defer programs.Wait()
	defer stop()
	start := func() {
		c := configWith(t, address, discovery.Address(), settings)
		c.HandoverDisabled = true
		c.Console = free(t)
		programs.Go(func() { Serve(ctx, c, logging.Discard(), nil, nil) })
		for got := ""; got != "SUCCESS\n"; {
			conn := dial(t, c.Console)
			io.WriteString(conn, "check\n")
			text, _ := io.ReadAll(conn)
			got = string(text)
		}
	}
	ask := func(client int) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(20 * time.Second))
		in := bufio.NewReader(conn)
		for n := 0; ; n++ {
			select {
			case <-full:
				return
			default:
			}
			id, list := fmt.Sprintf("id-%d-%d", client, n), "c=read,t=plan,d=300,volume=00000003b4d60021,units=1,shard=0,hosts=1"
			fmt.Fprintf(conn, "*4\r\n$8\r\nBLK.READ\r\n$16\r\n7f3a9c21e0b4d655\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n", len(id), id, len(list), list)
			line, err := in.ReadString('\n')
			if err == nil && strings.HasPrefix(line, "$") {
				_, err = in.ReadString('\n')
			}
			if err != nil {
				return
			}
		}
	}
	start()
	start()
	for i := range 24 { // the kernel leads some to either process
		clients.Go(func() { ask(i) })
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(came) < enough {
		t.Fatalf("%d requests came to the node", len(came))
	}
	level, least, at := burst, burst, came[0]
	for _, when := range came {
		level = min(burst, level+rate*when.Sub(at).Seconds()) - 1
		least, at = min(least, level), when
	}
	if least < -slack-0.15*rate {
		t.Errorf("the volume's store fell to %.0f", least)
	}
}
