package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"junctionwharf/internal/config"
	"junctionwharf/internal/console"
	"junctionwharf/internal/fakes"
	"junctionwharf/internal/logging"
)

// testTimeout bounds each wait of a test.
const testTimeout = 10 * time.Second

// settingsText holds settings with a deadline of 6 s, which the tests' requests do not reach.
const settingsText = `{"bounds":{"maxAttempts":3},"nInstances":1,"ordinal":0,"specifics":{"usualUnits":2,"maxUnits":8},
 "classes":[{"name":"read","aim":5000000,"deadline":6000000,"effect":"safe","importance":1}],
 "serviceLevels":[{"name":"plan","nominal":100,"floorRate":100,"parts":1,"price":1}],
 "invariants":{"answerSlack":8000,"drainGrace":2000000}}`

// writeClass is a class of writes that can be added to settingsText.
const writeClass = `{"name":"write","aim":5000000,"deadline":6000000,"effect":"unsafe"}`

// withWriteClass adds writeClass to settings.
func withWriteClass(settings string) string {
	return strings.Replace(settings, `"classes":[`, `"classes":[`+writeClass+`,`, 1)
}

func emptyEnvironment(string) string { return "" }

// completeConfig adds the keys that a configuration in JSON lacks and that the platform always writes.
func completeConfig(t *testing.T, text string) string {
	t.Helper()
	complete, err := fakes.CompleteConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return string(complete)
}

// parseConfig parses a configuration in JSON, to which it adds the keys that the platform always writes.
func parseConfig(t *testing.T, text string) *config.Config {
	t.Helper()
	c, err := config.Parse([]byte(completeConfig(t, text)), emptyEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// newConfig returns the configuration of a broker with the given address, address of discovery and settings.
func newConfig(t *testing.T, address, discovery, settings string) *config.Config {
	t.Helper()
	const text = `{"name":"n1","listen":%q,"discovery":%q,"settings":%s}`
	return parseConfig(t, fmt.Sprintf(text, address, discovery, settings))
}

func listenLocally(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// unusedAddress returns an address without a listener.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener := listenLocally(t)
	_ = listener.Close()
	return listener.Addr().String()
}

// dial connects to an address, and retries until a process listens there.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	for end := time.Now().Add(testTimeout / 2); ; time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			t.Cleanup(func() { _ = conn.Close() })
			setDeadline(t, conn, testTimeout)
			return conn
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
}

func setDeadline(t *testing.T, conn net.Conn, timeout time.Duration) {
	t.Helper()
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		t.Error(err)
	}
}

// await waits until fits returns true. what describes the failure.
func await(t *testing.T, what string, fits func() bool) {
	t.Helper()
	awaitWithin(t, testTimeout, what, fits)
}

// awaitWithin is await with a timeout.
func awaitWithin(t *testing.T, limit time.Duration, what string, fits func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !fits(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out: %s", what)
		}
	}
}

// callConsole makes a console call and returns the answer.
func callConsole(t *testing.T, address, call string) string {
	t.Helper()
	answer, err := console.Call(address, call, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	return string(answer)
}

// testBroker is a broker that runs in the test's process.
type testBroker struct {
	stop  func()
	ended chan error
}

// startBroker runs Serve in a goroutine. load may be nil if the test sends no reload signals.
func startBroker(
	c *config.Config, log *slog.Logger, reload chan os.Signal, load func() (*config.Config, error),
) *testBroker {
	ctx, stop := context.WithCancel(context.Background())
	b := &testBroker{stop: stop, ended: make(chan error, 1)}
	go func() { b.ended <- Serve(ctx, c, log, reload, load) }()
	return b
}

// startSimpleBroker runs Serve without a log and without reloads.
func startSimpleBroker(c *config.Config) *testBroker {
	return startBroker(c, logging.Discard(), nil, nil)
}

// waitEnd waits until the broker has ended, and fails the test if Serve returned an error.
func (b *testBroker) waitEnd(t *testing.T) {
	t.Helper()
	if err := <-b.ended; err != nil {
		t.Error(err)
	}
}

// startDiscovery starts a fake discovery service.
func startDiscovery(t *testing.T, hosts ...fakes.Endpoint) *fakes.Discovery {
	t.Helper()
	service, err := fakes.NewDiscovery("127.0.0.1:0", hosts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(service.Close)
	return service
}

// readyHost returns the entry of a node that is ready in discovery's list.
func readyHost(name string, node net.Listener) fakes.Endpoint {
	return fakes.Endpoint{Name: name, Address: node.Addr().String(), Health: "SERVING", Share: 1}
}

// startNode starts a fake node. It answers each request with the result of value for the request's id, or not at all if
// the result is empty.
func startNode(t *testing.T, value func(id string) string) net.Listener {
	t.Helper()
	listener := listenLocally(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveNodeConn(conn, value)
		}
	}()
	return listener
}

func serveNodeConn(conn net.Conn, value func(id string) string) {
	defer func() { _ = conn.Close() }()
	reader := redcon.NewReader(conn)
	for {
		command, err := reader.ReadCommand()
		if err != nil {
			return
		}
		answer := value(string(command.Args[2]))
		if answer == "" {
			continue
		}
		if _, err := fmt.Fprintf(conn, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(answer), answer); err != nil {
			return
		}
	}
}

// testRequest is a request of a client. For a field with the zero value, encode uses the default in the field's
// comment.
type testRequest struct {
	id      string
	class   string // default "read"
	plan    string // default "plan"
	body    string // of a write; empty for a read
	wait    int    // milliseconds, default 6000
	volume  string // default defaultVolume
	units   int    // default 1
	brokers int    // default 1
}

// defaultVolume is the volume of requests that do not name one.
const defaultVolume = "00000003b4d60021"

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// encode returns the request's bytes.
func (r testRequest) encode() string {
	list := fmt.Sprintf("c=%s,t=%s,d=%d,volume=%s,units=%d,shard=0,hosts=%d",
		orDefault(r.class, "read"), orDefault(r.plan, "plan"), orDefault(r.wait, 6000), orDefault(r.volume, defaultVolume),
		orDefault(r.units, 1), orDefault(r.brokers, 1))
	const object = "7f3a9c21e0b4d655"
	arguments := []string{"BLK.READ", object, r.id, list}
	if r.body != "" {
		arguments = []string{"BLK.WRITE", object, r.id, list, r.body}
	}
	return encodeCommand(arguments...)
}

// encodeCommand returns a command in RESP2.
func encodeCommand(arguments ...string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(arguments))
	for _, argument := range arguments {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(argument), argument)
	}
	return text.String()
}

// testClient is a client's connection.
type testClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dialClient connects to the broker, and retries until the broker listens.
func dialClient(t *testing.T, address string) *testClient {
	t.Helper()
	return newTestClient(dial(t, address))
}

func newTestClient(conn net.Conn) *testClient {
	return &testClient{conn: conn, reader: bufio.NewReader(conn)}
}

// ping checks that the broker serves this connection.
func (c *testClient) ping(t *testing.T) {
	t.Helper()
	c.write(t, encodeCommand("PING"))
	if line, err := c.reader.ReadString('\n'); line != "+PONG\r\n" {
		t.Fatal(line, err)
	}
}

func (c *testClient) write(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		t.Error(err)
	}
}

// tryRequest sends a request and reads the first line of the answer. It returns an error if the connection is closed.
func (c *testClient) tryRequest(request testRequest) (string, error) {
	if _, err := io.WriteString(c.conn, request.encode()); err != nil {
		return "", err
	}
	first, _, err := c.answer()
	return first, err
}

// answer reads one answer and returns the first line and, for a bulk string, the value.
func (c *testClient) answer() (first, value string, err error) {
	first, err = c.reader.ReadString('\n')
	if err == nil && first[0] == '$' {
		value, err = c.reader.ReadString('\n')
	}
	return first, strings.TrimSpace(value), err
}

// ask sends a request and reads the answer. It returns the value, or the line of an error.
func (c *testClient) ask(t *testing.T, request testRequest) string {
	t.Helper()
	c.write(t, request.encode())
	first, value, err := c.answer()
	if err != nil {
		t.Error(err)
	}
	if value == "" {
		return strings.TrimSpace(first)
	}
	return value
}

// checkFileServer connects to the file server and checks that it answers the start of a session.
func checkFileServer(t *testing.T, address string) {
	t.Helper()
	checkFileConn(t, dial(t, address))
}

// checkFileConn checks that the file server answers the start of a session on the connection.
func checkFileConn(t *testing.T, conn net.Conn) {
	t.Helper()
	if _, err := io.WriteString(conn, "\x00\x00\x00\x05\x01\x00\x00\x00\x03"); err != nil {
		t.Fatal(err)
	}
	version := make([]byte, 9)
	if _, err := io.ReadFull(conn, version); err != nil || string(version) != "\x00\x00\x00\x05\x02\x00\x00\x00\x03" {
		t.Errorf("version answer of the file server: %q, %v, want protocol version 3", version, err)
	}
}
