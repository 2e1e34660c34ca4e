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

type respProtocol struct{}

func (respProtocol) name() string { return "resp" }

func (respProtocol) transport(opt pool.Options) broker.Transport {
	return resp.NewTransport(pool.New(opt))
}

func (respProtocol) front(loop *broker.Loop, _ broker.Transport, log *slog.Logger) front {
	return resp.NewServer(loop, resp.NewRequestLimits(settings(), 0), 64, 64, 1<<20, log)
}

func (respProtocol) retune(f front, c client, set scheduler.Settings, class string) {
	f.(*resp.Server).SetLimits(resp.NewRequestLimits(set, 0))
	c.(*respClient).reads = class
}

// node is a stand-in that speaks RESP2.
func (respProtocol) node(conn net.Conn, name string, w *world) {
	defer func() { _ = conn.Close() }()
	in := redcon.NewReader(conn)
	for {
		cmd, err := in.ReadCommand()
		if err != nil {
			return
		}
		v, do := w.begin(name, string(cmd.Args[2]))
		switch do {
		case turnAway:
			v.end()
			_, _ = fmt.Fprint(conn, "-BUSY\r\n")
		case hang, drip:
			_, _ = in.ReadCommand() // until the broker closes
			v.end()
			return
		case spoil:
			if len(cmd.Args) == 5 {
				v.apply()
			}
			_, _ = io.WriteString(conn, "*3\r\n$-7\r\n")
			_, _ = in.ReadCommand() // until the broker closes
			v.end()
			return
		case cutMid: // this wire's node knows a request only once it is whole
			v.end()
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		case cutAfter:
			v.apply()
			v.end()
			return
		default:
			if len(cmd.Args) == 5 {
				v.apply()
			}
			v.end()
			id := string(cmd.Args[2])
			text := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$10\r\ninflight=1\r\n", len(id), id)
			if do == repeat {
				text += text
			}
			_, _ = io.WriteString(conn, text)
		}
	}
}

func (respProtocol) client(t *testing.T, address string) client {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &respClient{conn: conn, in: bufio.NewReader(conn), reads: "read"}
}

// nuisances are what bad clients send.
func (respProtocol) nuisances() map[string]string {
	list := "c=read,t=plan,d=900,volume=00000003b4d60021,units=1,shard=0,hosts=1"
	command := func(list string) string {
		return fmt.Sprintf("*4\r\n$8\r\nBLK.READ\r\n$16\r\n7f3a9c21e0b4d655\r\n$4\r\nhang\r\n$%d\r\n%s\r\n", len(list), list)
	}
	return map[string]string{"silence": "", "noise": "\x00\xffnoise", "half": "*4\r\n$8\r\nBLK.", "huge": "*4\r\n$60000000\r\n",
		"twice": command(list) + command(list), "unknown": strings.Repeat(command(strings.Replace(list, "c=read", "c=reads", 1)), 300)}
}

type respClient struct {
	conn net.Conn
	in   *bufio.Reader
	owed []string

	reads string // class of reads
}

func (c *respClient) prepare(*testing.T, ...string) {}

func (c *respClient) send(id string, k kind) {
	c.owed = append(c.owed, id)
	word, class, body := "BLK.READ", c.reads, ""
	args := 4
	switch k {
	case write:
		word, class, body, args = "BLK.WRITE", "write", "$4\r\nBODY\r\n", 5
	case listing:
		class = "list"
	}
	list := fmt.Sprintf("c=%s,t=plan,d=%d,volume=00000003b4d60021,units=%d,shard=0,hosts=1", class, waits[k].Milliseconds(), unitsOf(id))
	_, _ = fmt.Fprintf(c.conn, "*%d\r\n$%d\r\n%s\r\n$16\r\n7f3a9c21e0b4d655\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n%s", args, len(word), word,
		len(id), id, len(list), list, body)
}

func (c *respClient) receive() (verdict, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(patience))
	line, err := c.in.ReadString('\n')
	if err != nil {
		return "", err
	}
	id := c.owed[0]
	c.owed = c.owed[1:]
	switch {
	case line[0] == '$':
		value, err := c.in.ReadString('\n')
		if err == nil && value != id+"\r\n" {
			err = fmt.Errorf("%s was served with %q", id, value)
		}
		return served, err
	case strings.HasPrefix(line, "-BUSY"):
		return refused, nil
	case line[0] == '-':
		return failed, nil
	}
	return "", fmt.Errorf("unexpected %q", line)
}

func (c *respClient) quiet() error {
	_, _ = fmt.Fprint(c.conn, "*1\r\n$4\r\nPING\r\n")
	_ = c.conn.SetReadDeadline(time.Now().Add(patience))
	line, err := c.in.ReadString('\n')
	if err == nil && line != "+PONG\r\n" {
		err = fmt.Errorf("a second answer: %q", line)
	}
	return err
}

func (c *respClient) close() { _ = c.conn.Close() }
