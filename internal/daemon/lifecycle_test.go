package daemon

import (
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"junctionwharf/internal/config"
	"junctionwharf/internal/fakes"
)

// holdingNode is a node that receives one request and answers it once release is closed.
type holdingNode struct {
	net.Listener
	received chan string // the request's id
	release  chan struct{}
}

func startHoldingNode(t *testing.T) *holdingNode {
	t.Helper()
	n := &holdingNode{Listener: listenLocally(t), received: make(chan string, 1), release: make(chan struct{})}
	go n.serve(t)
	return n
}

func (n *holdingNode) serve(t *testing.T) {
	conn, err := n.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	command, err := redcon.NewReader(conn).ReadCommand()
	if err != nil {
		return
	}
	n.received <- string(command.Args[2])
	<-n.release
	if _, err := io.WriteString(conn, "*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"); err != nil {
		t.Error(err)
	}
}

// startCarbon starts a fake Carbon receiver.
func startCarbon(t *testing.T) *fakes.Carbon {
	t.Helper()
	carbon, err := fakes.NewCarbon("127.0.0.1:0", false, fakes.NewPointStore(nil))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(carbon.Close)
	return carbon
}

// awaitMetrics waits until each series has its wanted value, and fails the test if late is closed first.
func awaitMetrics(t *testing.T, carbon *fakes.Carbon, late <-chan struct{}, want map[string]float64) {
	t.Helper()
	fits := func(latest map[string]fakes.Point, _ []string) bool {
		for series, value := range want {
			if latest[series].Value != value {
				return false
			}
		}
		return true
	}
	if !carbon.Await(late, fits) {
		t.Errorf("metrics are %v, want %v", carbon.Latest(), want)
	}
}

// checkListeningFileServer checks the file server, which must listen as soon as clients are served: it dials only once.
func checkListeningFileServer(t *testing.T, address string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	setDeadline(t, conn, testTimeout)
	checkFileConn(t, conn)
}

// A broker is stopped while a request is in flight. The request is answered, the last metrics are exported, and the
// broker no longer listens.
func TestServe(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	node := startHoldingNode(t)
	discovery := startDiscovery(t, readyHost("a", node))
	carbon := startCarbon(t)
	address, files := unusedAddress(t), unusedAddress(t)
	c := newConfig(t, address, discovery.Address(), settingsText)
	c.Site.SFTP.Listen = files
	c.Site.SFTP.Connections = 4
	c.Site.Graphite = config.Graphite{
		Receiver:  config.Receiver{Address: carbon.Address(), IntervalS: 1, QueueBytes: 1 << 20},
		Prefix:    "wharf",
		Transport: "tcp",
	}
	broker := startSimpleBroker(c)
	client := dialClient(t, address)
	client.ping(t)
	client.write(t, testRequest{id: "id", units: 2}.encode())
	if id := <-node.received; id != "id" {
		t.Errorf("the node received the request id %q, want that of the client", id)
	}
	checkListeningFileServer(t, files)
	late := make(chan struct{}) // one timeout for both waits
	timer := time.AfterFunc(testTimeout, func() { close(late) })
	defer timer.Stop()
	awaitMetrics(t, carbon, late, map[string]float64{
		"wharf.n1.taken":         1,
		"wharf.n1.inflight":      1,
		"wharf.n1.backend_calls": 1,
	})
	broker.stop()
	close(node.release)
	if got, err := io.ReadAll(client.reader); err != nil || string(got) != "$5\r\nvalue\r\n" {
		t.Errorf("read %q after the stop, error %v, want the node's value and then the end of the connection", got, err)
	}
	broker.waitEnd(t)
	if conn, err := net.Dial("tcp", address); err == nil {
		_ = conn.Close()
		t.Error("the broker still listens after its end")
	}
	awaitMetrics(t, carbon, late, map[string]float64{"wharf.n1.all.served": 1})
}

// lockedBuffer collects log lines from several goroutines.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns the text written so far.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// On a platform without Unix sockets the handover is disabled: the broker serves, logs that the handover is off, and
// creates no socket.
func TestServeWithoutHandover(t *testing.T) {
	dir := t.TempDir()
	t.Setenv("TMPDIR", dir)
	discovery := startDiscovery(t)
	address := unusedAddress(t)
	c := newConfig(t, address, discovery.Address(), settingsText)
	c.HandoverDisabled = true
	var lines lockedBuffer
	broker := startBroker(c, slog.New(slog.NewTextHandler(&lines, nil)), nil, nil)
	client := dialClient(t, address)
	client.ping(t)
	if files, err := filepath.Glob(filepath.Join(dir, "*.sock*")); err != nil || len(files) > 0 {
		t.Errorf("sockets in the directory: %v, %v, want none", files, err)
	}
	if !strings.Contains(lines.String(), "handover off") {
		t.Errorf("the log does not say that the handover is off:\n%s", lines.String())
	}
	broker.stop()
	_ = client.conn.Close()
	broker.waitEnd(t)
}
