package conformance

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"junctionwharf/broker"
	"junctionwharf/internal/pool"
	"junctionwharf/internal/resp"
	"junctionwharf/scheduler"
)

const (
	respKey = "7f3a9c21e0b4d655" // the key of all requests
	// respAttributes is the format of a request's attribute list: class, deadline in milliseconds, units.
	respAttributes = "c=%s,t=plan,d=%d,volume=00000003b4d60021,units=%d,shard=0,hosts=1"
	// respWriteArguments is the number of arguments of a write. A read has one less, since it has no body.
	respWriteArguments = 5
)

// respProtocol implements protocol for RESP2.
type respProtocol struct{}

func (respProtocol) name() string { return "resp" }

func (respProtocol) transport(options pool.Options) broker.Transport {
	return resp.NewTransport(pool.New(options))
}

func (respProtocol) server(loop *broker.Loop, _ broker.Transport, log *slog.Logger) server {
	return resp.NewServer(loop, resp.NewRequestLimits(settings(), 0), 64, 64, 1<<20, log)
}

func (respProtocol) applySettings(s server, c client, set scheduler.Settings, class string) {
	s.(*resp.Server).SetLimits(resp.NewRequestLimits(set, 0))
	c.(*respClient).readClass = class
}

// serveNode answers commands one by one until the connection ends or a behavior ends it.
func (respProtocol) serveNode(conn net.Conn, name string, r *recorder) {
	defer func() { _ = conn.Close() }()
	reader := redcon.NewReader(conn)
	for {
		command, err := reader.ReadCommand()
		if err != nil {
			return
		}
		if !serveRESPCommand(conn, reader, command, name, r) {
			return
		}
	}
}

// serveRESPCommand handles one attempt and reports whether the connection stays open.
func serveRESPCommand(conn net.Conn, reader *redcon.Reader, command redcon.Command, name string, r *recorder) bool {
	id := string(command.Args[2])
	a, behavior := r.begin(name, id)
	defer a.end()
	isWrite := len(command.Args) == respWriteArguments
	switch behavior {
	case rejectBusy:
		a.end()
		_, _ = fmt.Fprint(conn, "-BUSY\r\n")
		return true
	case hang, trickle:
		_, _ = reader.ReadCommand() // until the broker closes the connection
		return false
	case corruptAnswer:
		if isWrite {
			a.apply()
		}
		_, _ = io.WriteString(conn, "*3\r\n$-7\r\n")
		_, _ = reader.ReadCommand() // until the broker closes the connection
		return false
	case closeMidRequest: // a RESP node handles only requests that it has received completely
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	case closeAfterExecution:
		a.apply()
		return false
	}
	if isWrite {
		a.apply()
	}
	a.end() // before the answer: when the broker has the answer the attempt is not in flight
	answer := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$10\r\ninflight=1\r\n", len(id), id)
	if behavior == duplicateAnswer {
		answer += answer
	}
	_, _ = io.WriteString(conn, answer)
	return true
}

func (respProtocol) client(t *testing.T, address string) client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return newRESPClient(conn)
}

func (respProtocol) malformedInputs() map[string]string {
	unknownClass := respCommand("BLK.READ", "unknown", fmt.Sprintf(respAttributes, "reads", 900, 1), "")
	return map[string]string{
		"silence":                   "",
		"noise":                     "\x00\xffnoise",
		"half a command":            "*4\r\n$8\r\nBLK.",
		"huge command":              "*4\r\n$60000000\r\n",
		"unknown classes and noise": strings.Repeat(unknownClass, 300) + "noise",
	}
}

// respCommand encodes a request. A request with a body is a write.
func respCommand(command, id, attributes, body string) string {
	arguments := []string{command, respKey, id, attributes}
	if body != "" {
		arguments = append(arguments, body)
	}
	text := fmt.Sprintf("*%d\r\n", len(arguments))
	for _, argument := range arguments {
		text += fmt.Sprintf("$%d\r\n%s\r\n", len(argument), argument)
	}
	return text
}

// respClient is a client on one connection. The answers arrive in the order of the requests.
type respClient struct {
	conn      net.Conn
	reader    *bufio.Reader
	pending   []string // IDs of requests that are not answered yet
	readClass string   // class of its reads
}

func newRESPClient(conn net.Conn) *respClient {
	return &respClient{conn: conn, reader: bufio.NewReader(conn), readClass: "read"}
}

func (c *respClient) prepare(*testing.T, ...string) {}

func (c *respClient) send(id string, k requestKind) {
	c.pending = append(c.pending, id)
	command, class, body := "BLK.READ", c.readClass, ""
	switch k {
	case write:
		command, class, body = "BLK.WRITE", "write", "BODY"
	case listing:
		class = "list"
	}
	attributes := fmt.Sprintf(respAttributes, class, deadlines[k].Milliseconds(), unitsOf(id))
	_, _ = io.WriteString(c.conn, respCommand(command, id, attributes, body))
}

// sendRefused implements client. It sends an unknown class and the ID of an open request.
func (c *respClient) sendRefused(openID string) (count int) {
	unknownClass := respCommand("BLK.READ", "unknown", fmt.Sprintf(respAttributes, "reads", 900, 1), "")
	c.pending = append(c.pending, "unknown")
	_, _ = io.WriteString(c.conn, unknownClass)
	c.send(openID, read)
	return 2
}

func (c *respClient) receive() (outcome, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(waitLimit))
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return "", err
	}
	id := c.pending[0]
	c.pending = c.pending[1:]
	switch {
	case line[0] == '$':
		value, err := c.reader.ReadString('\n')
		if err == nil && value != id+"\r\n" {
			err = fmt.Errorf("%s was served with the value %q", id, value)
		}
		return served, err
	case strings.HasPrefix(line, "-BUSY"):
		return rejected, nil
	case strings.HasPrefix(line, "-ERR malformed command"):
		return refused, nil
	case line[0] == '-':
		return failed, nil
	}
	return "", fmt.Errorf("unexpected answer %q", line)
}

// expectNoMoreAnswers sends a PING. Any answer before the one to the PING is an error.
func (c *respClient) expectNoMoreAnswers() error {
	_, _ = fmt.Fprint(c.conn, "*1\r\n$4\r\nPING\r\n")
	_ = c.conn.SetReadDeadline(time.Now().Add(waitLimit))
	line, err := c.reader.ReadString('\n')
	if err == nil && line != "+PONG\r\n" {
		err = fmt.Errorf("received an additional answer: %q", line)
	}
	return err
}

func (c *respClient) close() { _ = c.conn.Close() }
