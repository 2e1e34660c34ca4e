package resp

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"junctionwharf/broker"
	"junctionwharf/internal/pool"
	"junctionwharf/scheduler"
)

// countingConn counts the bytes that were written to it.
type countingConn struct {
	net.Conn
	sent atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// A client reads a long value slowly. The broker must not read from the node further ahead than one piece and the
// reader's buffer.
func TestStreamBuffersOnePiece(t *testing.T) {
	const size = 1 << 20
	const chunkSize = 512
	node, fromNode := net.Pipe()
	toClient, client := net.Pipe()
	s := newStream(size, bufio.NewReaderSize(fromNode, 4<<10), func(time.Duration) {})
	counting := &countingConn{Conn: node}
	go func() {
		for range size / chunkSize {
			if _, err := counting.Write(make([]byte, chunkSize)); err != nil {
				t.Error(err)
				return
			}
		}
		if _, err := io.WriteString(node, lineEnd); err != nil {
			t.Error(err)
		}
	}()
	passed := make(chan error, 1)
	go func() { passed <- s.passTo(toClient) }()
	const between = pieceBytes + 4<<10 + chunkSize // a piece, the reader's buffer and what the node is writing
	chunk := make([]byte, 2<<10)
	for read := int64(0); read < size; {
		if sent := counting.sent.Load(); sent > read+between+int64(len(chunk)) {
			t.Fatalf("the node has sent %d bytes, but the client has read only %d", sent, read)
		}
		n, err := client.Read(chunk)
		if err != nil {
			t.Fatal(err)
		}
		read += int64(n)
	}
	if _, err := io.ReadFull(client, chunk[:2]); err != nil || string(chunk[:2]) != lineEnd {
		t.Errorf("read %q, %v, want the line end", chunk[:2], err)
	}
	if err := <-passed; err != nil {
		t.Error(err)
	}
	if err := s.wait(nil); err != nil {
		t.Error(err)
	}
}

// If no client waits for a value, or the attempt is stopped, wait must return at once, so that the connection to the
// node is released.
func TestAbandonedStreamFreesItsNode(t *testing.T) {
	s := newStream(1, nil, nil)
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	if err := s.wait(nil); !errors.Is(err, errStreamAbandoned) {
		t.Error(err)
	}
	stopped := make(chan struct{})
	close(stopped)
	if err := newStream(1, nil, nil).wait(stopped); !errors.Is(err, errStreamAbandoned) {
		t.Error(err)
	}
}

// The request IDs that determine the answer of the test's node.
const (
	idCut       = "cut"    // the connection ends inside the value
	idNoLineEnd = "spoilt" // the value has no line end
	idShort     = "short"
)

const (
	shortValue  = "$5\r\nshort\r\n"
	longSize    = 3 << 20
	longPattern = "long value "
)

var longValue = strings.Repeat(longPattern, longSize/len(longPattern))

// answerByID answers a command as a node does. The request's ID determines the answer.
func answerByID(conn net.Conn, cmd redcon.Command) bool {
	var err error
	switch string(cmd.Args[argID]) {
	case idCut:
		_, _ = fmt.Fprintf(conn, "*3\r\n$%d\r\n%s", len(longValue), longValue[:len(longValue)/2])
		return false
	case idNoLineEnd:
		_, _ = fmt.Fprintf(conn, "*3\r\n$%d\r\n%sno end", len(longValue), longValue)
		return false
	case idShort:
		_, err = io.WriteString(conn, "*3\r\n"+shortValue+"$-1\r\n$-1\r\n")
	default:
		_, err = fmt.Fprintf(conn, "*3\r\n$%d\r\n%s\r\n$6\r\nused=1\r\n$-1\r\n", len(longValue), longValue)
	}
	return err == nil
}

// newLoopTo runs a loop with one node at the given address.
func newLoopTo(t *testing.T, address string) *broker.Loop {
	t.Helper()
	state, err := broker.NewState(scheduler.Settings{
		Brokers:      3,
		MaxUnits:     8,
		MeanUnits:    2,
		Capabilities: scheduler.Capabilities{MaxAttempts: 1},
		Classes: []scheduler.Class{
			{Name: "read", LatencyObjective: 5 * time.Second, Deadline: 6 * time.Second, PriorityWeight: 1},
		},
		Plans: []scheduler.Plan{{Name: "gold", Rate: 100, ReservedRate: 100, Weight: 1, Price: 1}},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	nodes := pool.New(pool.Options{
		ConnectTimeout: time.Second,
		IdleTimeout:    time.Minute,
		MaxConnections: 8,
		Logger:         failOnLog(t),
	})
	loop := broker.NewLoop(state, broker.NewClock(), NewTransport(nodes), broker.Dependencies{})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go loop.Run(ctx)
	node := broker.Node{Endpoint: scheduler.Endpoint{Name: "n", Shard: 5, Weight: 1}, Address: address}
	loop.Post(broker.NodesListed{Kind: scheduler.FullUpdate, Nodes: []broker.Node{node}})
	return loop
}

// Long values are forwarded through a complete broker. After a complete value both connections must stay usable. After
// an incomplete or malformed value the client's connection must end before the end of the value. A request must be
// counted as a success only if its value was forwarded completely, and no request may stay open.
func TestLongValues(t *testing.T) {
	nodeListener := listen(t)
	var connections atomic.Int64
	go serveCommands(nodeListener, func() { connections.Add(1) }, answerByID)
	loop := newLoopTo(t, nodeListener.Addr().String())
	server := NewServer(loop, testLimits, 8, 8, 1<<20, testLogger(t))
	address := serve(t, server)
	t.Cleanup(server.Close)
	options := option("d=480", "d=6000")
	read := func(maxBytes int, ids ...string) []byte {
		t.Helper()
		conn := dial(t, address, longWaitLimit)
		defer func() { _ = conn.Close() }()
		for _, id := range ids {
			write(t, conn, bulk(commandRead, testKey, id, options))
		}
		var got bytes.Buffer
		_, _ = io.CopyN(&got, conn, int64(maxBytes)) // the connection may end earlier
		return got.Bytes()
	}
	whole := fmt.Sprintf("$%d\r\n%s\r\n", len(longValue), longValue)
	if got := read(len(whole+shortValue), "long", idShort); string(got) != whole+shortValue {
		t.Errorf("read %d bytes, want a long and a short value", len(got))
	}
	before := connections.Load()
	if got := read(len(whole+whole+shortValue), "long1", "long2", idShort); string(got) != whole+whole+shortValue {
		t.Errorf("read %d bytes, want two long values and a short one", len(got))
	}
	if now := connections.Load(); now > before+2 {
		t.Errorf("%d connections to the node after three more requests, %d before: none was reused", now, before)
	}
	for _, id := range []string{idCut, idNoLineEnd} {
		if got := read(1<<30, id); len(got) >= len(whole) || !bytes.HasPrefix(got, []byte("$")) {
			t.Errorf("%s: read %d bytes, want an incomplete value of less than %d", id, len(got), len(whole))
		}
	}
	eventually(t, waitLimit, "no request is open", func() bool { return loop.OpenRequests() == 0 })
	expectMetrics(t, loop, map[string]uint64{"success.read": 5, "failure.read": 2})
}

// A node breaks off in the middle of a long value while commands wait behind it on the client's connection. Nothing can
// follow an incomplete value, so the connection must end at once, without the rest of the value and without any other
// answer, which tells the client that none of the commands behind it was answered. They must be cancelled.
func TestCommandsBehindBrokenValue(t *testing.T) {
	nodeListener := listen(t)
	go serveCommands(nodeListener, func() {}, answerByID)
	loop := newLoopTo(t, nodeListener.Addr().String())
	server := NewServer(loop, testLimits, 8, 8, 1<<20, testLogger(t))
	address := serve(t, server)
	t.Cleanup(server.Close)
	conn := dial(t, address, longWaitLimit)
	for _, id := range []string{idCut, idShort, "long"} {
		write(t, conn, bulk(commandRead, testKey, id, option("d=480", "d=6000")))
	}
	began := time.Now()
	got, err := io.ReadAll(conn)
	if took := time.Since(began); took > time.Second {
		t.Errorf("the connection ended after %v, want at once", took)
	}
	header := fmt.Sprintf("$%d\r\n", len(longValue))
	if !bytes.HasPrefix(got, []byte(header)) || len(got) >= len(header)+len(longValue) || bytes.Contains(got, []byte(shortValue)) {
		t.Errorf("read %d bytes, error %v, want an incomplete value and nothing behind it", len(got), err)
	}
	eventually(t, waitLimit, "no request is open", func() bool { return loop.OpenRequests() == 0 && server.Count() == 0 })
}
