package resp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

// meteredListener counts the bytes that a server reads from its connections.
type meteredListener struct {
	net.Listener
	onRead func(n int)
}

func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{conn.(*net.TCPConn), l.onRead}, nil
}

type meteredConn struct {
	*net.TCPConn
	onRead func(n int)
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.onRead(n)
	return n, err
}

const largeBodyBytes = 60 << 10

// largeWrite encodes a write with a value of largeBodyBytes that is within the fixture's limits.
func largeWrite(id string) string {
	return bulk(commandWrite, testKey, id, "c=read,t=plan,d=9000,volume=00000003b4d60021,units=1,shard=0,hosts=1",
		strings.Repeat("b", largeBodyBytes))
}

// Clients that sent hundreds of large commands at once took a broker over its memory limit: what was read and not yet
// handled counted nowhere. The bytes that are read and not answered must stay within the budget and a small buffer per
// connection.
func TestUnansweredCommandsStayWithinTheBudget(t *testing.T) {
	const clients = 4
	const commands = 60
	const budgetBytes = 1 << 20 // of the fixture
	const bound = budgetBytes + clients*8<<10
	f := newFixture(t)
	var unanswered, most atomic.Int64
	metered := &meteredListener{f.listener, func(n int) {
		now := unanswered.Add(int64(n))
		for before := most.Load(); now > before && !most.CompareAndSwap(before, now); before = most.Load() {
		}
	}}
	go func() { _ = f.server.Serve(metered) }() // returns when the listener is closed
	var senders sync.WaitGroup
	for i := range clients {
		conn := f.dial()
		go func() {
			for k := range commands {
				if _, err := io.WriteString(conn, largeWrite(fmt.Sprint("w", i, "-", k))); err != nil {
					t.Error(err)
					return
				}
			}
		}()
		senders.Go(func() {
			reader := bufio.NewReader(conn)
			for range commands {
				if line, err := reader.ReadString('\n'); err != nil || line[0] != '$' {
					t.Errorf("read %q, error %v, want a value", line, err)
					return
				}
				_, _ = reader.ReadString('\n')
			}
		})
	}
	answered := make(chan struct{})
	go func() {
		senders.Wait()
		close(answered)
	}()
	for {
		select {
		case attempt := <-f.transport.attempts:
			unanswered.Add(-int64(len(largeWrite("w0-00"))))
			attempt.serve()
		case <-answered:
			if most.Load() > bound {
				t.Errorf("%d bytes were read and not answered, want at most %d", most.Load(), bound)
			}
			return
		}
	}
}

// While nodes hung, clients with pipelines filled the byte budget with answers that waited behind an unanswered one,
// and requests of other clients waited for the budget without any limit in time. Other clients must be served
// meanwhile.
func TestPipelinesDoNotDelayOtherClients(t *testing.T) {
	const queued = 30
	const budgetBytes = 1 << 20
	ln := listen(t)
	var answered atomic.Int64
	value := strings.Repeat("v", largeBodyBytes)
	go serveCommands(ln, func() {}, func(conn net.Conn, cmd redcon.Command) bool {
		if string(cmd.Args[argID]) == "hang" {
			return true
		}
		_, err := fmt.Fprintf(conn, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
		answered.Add(1)
		return err == nil
	})
	server := NewServer(newLoopTo(t, ln.Addr().String()), testLimits, 8, 8, budgetBytes, testLogger(t))
	address := serve(t, server)
	t.Cleanup(server.Close)
	options := option("d=480", "d=6000")
	pipeline := dial(t, address, longWaitLimit)
	write(t, pipeline, bulk(commandRead, testKey, "hang", options))
	for i := range queued {
		write(t, pipeline, bulk(commandRead, testKey, fmt.Sprint("queued", i), options))
	}
	eventually(t, waitLimit, "the node has answered the queued requests, or as many as there is memory for", func() bool {
		return answered.Load() == queued || server.Budget().Reserved() > budgetBytes/2-2*largeBodyBytes
	})
	const inTime = 2 * time.Second // well before the hanging request fails
	other := dial(t, address, inTime)
	reader := bufio.NewReader(other)
	for i := range 3 {
		write(t, other, bulk(commandRead, testKey, fmt.Sprint("other", i), options))
		expectLine(t, reader, fmt.Sprintf("$%d\r\n", len(value)))
		if _, err := io.CopyN(io.Discard, reader, int64(len(value)+len(lineEnd))); err != nil {
			t.Fatal(err)
		}
	}
}
