package resp

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"junctionwharf/broker"
	"junctionwharf/internal/logging"
	"junctionwharf/internal/pool"
	"junctionwharf/scheduler"
)

// counted counts what its writer got rid of.
type counted struct {
	net.Conn
	sent atomic.Int64
}

func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// Guards memory: a client that reads nothing holds up its node, and no more than a piece lies in between.
func TestStreamHoldsOnePiece(t *testing.T) {
	const size = 1 << 20
	node, fromNode := net.Pipe()
	toClient, client := net.Pipe()
	in := bufio.NewReaderSize(fromNode, 4<<10)
	v := newStream(size, in, func(time.Duration) {})
	from := &counted{Conn: node}
	go func() {
		for range size / 512 {
			from.Write(make([]byte, 512))
		}
		io.WriteString(node, "\r\n")
	}()
	passed := make(chan error, 1)
	go func() { passed <- v.passTo(toClient) }()
	const between = pieceBytes + 4<<10 + 512 // a piece, the reader's buffer and what the node is writing
	chunk := make([]byte, 2<<10)
	for read := int64(0); read < size; {
		if sent := from.sent.Load(); sent > read+between+int64(len(chunk)) {
			t.Fatalf("%d bytes were taken from the node while the client had %d", sent, read)
		}
		n, err := client.Read(chunk)
		if err != nil {
			t.Fatal(err)
		}
		read += int64(n)
	}
	if _, err := io.ReadFull(client, chunk[:2]); err != nil || string(chunk[:2]) != "\r\n" {
		t.Errorf("%q, %v", chunk[:2], err)
	}
	if err := <-passed; err != nil {
		t.Error(err)
	}
	if err := v.wait(nil); err != nil {
		t.Error(err)
	}
}

// A value that nobody takes frees its node's connection at once.
func TestStreamDropped(t *testing.T) {
	v := newStream(1, nil, nil)
	v.Close()
	if err := v.wait(nil); err != errDropped {
		t.Error(err)
	}
	stopped := make(chan struct{})
	close(stopped)
	if err := newStream(1, nil, nil).wait(stopped); err != errDropped {
		t.Error(err)
	}
}

// TestLongValues sends values through the whole broker: whole ones come whole and leave the connections of use, broken
// ones end the client's connection before their end.
func TestLongValues(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	long := strings.Repeat("lesson audio ", 3<<20/13)
	var connections atomic.Int64
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer conn.Close()
				for in := redcon.NewReader(conn); ; {
					cmd, err := in.ReadCommand()
					if err != nil {
						return
					}
					switch id := string(cmd.Args[2]); id {
					case "cut":
						fmt.Fprintf(conn, "*3\r\n$%d\r\n%s", len(long), long[:len(long)/2])
						return
					case "spoilt":
						fmt.Fprintf(conn, "*3\r\n$%d\r\n%sno end", len(long), long)
						return
					case "short":
						io.WriteString(conn, "*3\r\n$5\r\nshort\r\n$-1\r\n$-1\r\n")
					default:
						fmt.Fprintf(conn, "*3\r\n$%d\r\n%s\r\n$6\r\nused=1\r\n$-1\r\n", len(long), long)
					}
				}
			}()
		}
	}()
	state, err := broker.NewState(scheduler.Settings{Brokers: 3, MaxUnits: 8, MeanUnits: 2, Capabilities: scheduler.Capabilities{MaxAttempts: 1},
		Classes: []scheduler.Class{{Name: "read", LatencyObjective: 5 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1}},
		Plans:   []scheduler.Plan{{Name: "gold", Rate: 100, ReservedRate: 100, Weight: 1, Price: 1}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	nodes := pool.New(pool.Options{ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxConnections: 8, Logger: logging.ToFunc(func(line string) { t.Error(line) })})
	loop := broker.NewLoop(state, broker.NewClock(), NewTransport(nodes), broker.Dependencies{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go loop.Run(ctx)
	loop.Post(broker.NodesListed{Kind: scheduler.FullUpdate, Nodes: []broker.Node{{Endpoint: scheduler.Endpoint{Name: "n", Shard: 5, Weight: 1},
		Address: ln.Addr().String()}}})
	f := NewServer(loop, testTerms, 8, 8, 1<<20, logging.ToFunc(func(line string) { t.Log(line) }))
	door, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go f.Serve(door)
	defer f.Close()
	list := strings.Replace(listText, "d=480", "d=6000", 1)
	ask := func(most int64, ids ...string) []byte {
		conn, err := net.Dial("tcp", door.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		for _, id := range ids {
			io.WriteString(conn, bulk("BLK.READ", "7f3a9c21e0b4d655", id, list))
		}
		var got bytes.Buffer
		io.CopyN(&got, conn, most)
		return got.Bytes()
	}
	whole := fmt.Sprintf("$%d\r\n%s\r\n", len(long), long)
	short := "$5\r\nshort\r\n"
	if got := ask(int64(len(whole+short)), "long", "short"); string(got) != whole+short {
		t.Errorf("%d bytes", len(got))
	}
	before := connections.Load()
	if got := ask(int64(len(whole+whole+short)), "long1", "long2", "short"); string(got) != whole+whole+short {
		t.Errorf("%d bytes", len(got))
	}
	if now := connections.Load(); now > before+2 {
		t.Errorf("%d connections, %d before: none was used again", now, before)
	}
	for _, id := range []string{"cut", "spoilt"} {
		if got := ask(1<<30, id); len(got) >= len(whole) || !bytes.HasPrefix(got, []byte("$")) {
			t.Errorf("%s: %d bytes of %d", id, len(got), len(whole))
		}
	}
	// A value counts as served once it was given whole, and as open until then.
	for end := time.Now().Add(5 * time.Second); loop.OpenRequests() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d open", loop.OpenRequests())
		}
	}
	for _, figure := range loop.Metrics.Read() {
		if want, checked := map[string]uint64{"success.read": 5, "failure.read": 2}[figure.Name]; checked && figure.Value != want {
			t.Errorf("%s: %d, want %d", figure.Name, figure.Value, want)
		}
	}
}
