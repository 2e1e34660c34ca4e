package resp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"
	"golang.org/x/sys/unix"

	"junctionwharf/broker"
	"junctionwharf/internal/logging"
	"junctionwharf/scheduler"
)

const (
	// waitLimit is how long a test waits for an expected event before it fails.
	waitLimit = 5 * time.Second
	// longWaitLimit replaces waitLimit where much data is sent or the server itself waits for seconds.
	longWaitLimit = 10 * time.Second
)

const (
	testKey     = "7f3a9c21e0b4d655"
	testOptions = "c=read,t=gold,d=480,volume=00000003b4d60021,units=2,shard=5,hosts=3"
)

var (
	readText  = bulk(commandRead, testKey, "9b1f03aa5c7e2d41", testOptions)
	writeText = bulk(commandWrite, testKey, "9b1f03aa5c7e2d41", testOptions+",k=7", "BODY\r\n*$")
	pingText  = bulk(commandPing)
)

// testLimits are limits that allow testOptions.
var testLimits = NewRequestLimits(scheduler.Settings{
	Brokers:  3,
	MaxUnits: 8,
	Classes:  []scheduler.Class{{Name: "read"}},
	Plans:    []scheduler.Plan{{Name: "gold"}},
}, 6)

// bulk encodes a command as an array of bulk strings.
func bulk(words ...string) string {
	text := fmt.Sprintf("*%d\r\n", len(words))
	for _, word := range words {
		text += fmt.Sprintf("$%d\r\n%s\r\n", len(word), word)
	}
	return text
}

// readWithID encodes a read whose request ID contains id.
func readWithID(id int) string { return bulk(commandRead, testKey, fmt.Sprint("id", id), testOptions) }

// cutConn is a connection whose reads return random numbers of bytes, drawn from a seeded generator.
type cutConn struct {
	net.Conn
	in  io.Reader
	rng *rand.Rand
}

func (c *cutConn) Read(p []byte) (int, error) { return c.in.Read(p[:1+c.rng.IntN(min(len(p), 40))]) }

func (c *cutConn) SetReadDeadline(time.Time) error { return nil }

// readCommands reads all commands of text with a command reader. The seed determines the size of each read.
func readCommands(text []byte, seed uint64) ([]redcon.Command, error) {
	rng := rand.New(rand.NewPCG(seed, 1))
	conn := &cutConn{in: bytes.NewReader(text), rng: rng}
	reader := newCommandReader(&inputGuard{Conn: conn, detached: true})
	var all []redcon.Command
	for {
		cmd, err := reader.ReadCommand()
		if err != nil {
			return all, err
		}
		all = append(all, cmd)
	}
}

// readOne reads text, which must be exactly one command.
func readOne(t *testing.T, text string) redcon.Command {
	t.Helper()
	all, err := readCommands([]byte(text), 1)
	if !errors.Is(err, io.EOF) || len(all) != 1 {
		t.Fatalf("%q: read %d commands, error %v, want one and EOF", text, len(all), err)
	}
	return all[0]
}

func testLogger(t *testing.T) *slog.Logger {
	t.Helper()
	return logging.ToFunc(func(line string) { t.Log(line) })
}

// failOnLog returns a logger that fails the test for each log line.
func failOnLog(t *testing.T) *slog.Logger {
	t.Helper()
	return logging.ToFunc(func(line string) { t.Error(line) })
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// serve serves clients on a new listener until the test ends, and returns the listener's address.
func serve(t *testing.T, server *Server) string {
	t.Helper()
	ln := listen(t)
	go func() { _ = server.Serve(ln) }() // returns when the listener is closed
	return ln.Addr().String()
}

// dial connects to a server. Reads and writes on the connection fail after limit.
func dial(t *testing.T, address string, limit time.Duration) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(limit)); err != nil {
		t.Fatal(err)
	}
	return conn.(*net.TCPConn)
}

func write(t *testing.T, conn io.Writer, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// expectLine reads a line and compares it with want.
func expectLine(t *testing.T, reader *bufio.Reader, want string) {
	t.Helper()
	if line, err := reader.ReadString('\n'); err != nil || line != want {
		t.Fatalf("read line %q, error %v, want %q", line, err, want)
	}
}

// openIDs returns the number of IDs of open requests.
func openIDs(server *Server) int {
	open, _ := server.RequestIDs()
	return len(open)
}

// unreadBytes returns the number of bytes that have arrived on a connection and were not read.
func unreadBytes(t *testing.T, conn net.Conn) (unread int) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) { unread, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }); err != nil {
		t.Fatal(err)
	}
	return unread
}

// eventually waits until a condition is true, and fails the test after limit.
func eventually(t *testing.T, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met in time: %s", what)
		}
	}
}

// expectMetrics compares metrics of a loop with the wanted values.
func expectMetrics(t *testing.T, loop *broker.Loop, want map[string]uint64) {
	t.Helper()
	got := map[string]uint64{}
	for _, metric := range loop.Metrics.Read() {
		got[metric.Name] = metric.Value
	}
	for name, value := range want {
		if now, exists := got[name]; !exists || now != value {
			t.Errorf("metric %s is %d (exists: %v), want %d", name, now, exists, value)
		}
	}
}

// exchangeText sends text on a new connection. It returns all bytes that arrive until the connection ends, and the time
// that this took.
func exchangeText(t *testing.T, address, text string) (string, time.Duration) {
	t.Helper()
	began := time.Now()
	conn := dial(t, address, longWaitLimit)
	write(t, conn, text)
	got, err := io.ReadAll(conn)
	_ = conn.Close()
	if err != nil {
		t.Errorf("read the answers to %.40q: %v", text, err)
	}
	return string(got), time.Since(began)
}

// option returns testOptions with one option replaced.
func option(old, replacement string) string { return strings.Replace(testOptions, old, replacement, 1) }
