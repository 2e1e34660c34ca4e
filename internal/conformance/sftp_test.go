package conformance

import (
	"bufio"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/clientconn"
	"junctionwharf/internal/pool"
	"junctionwharf/internal/sftp"
	"junctionwharf/scheduler"
)

// sftpProtocol implements protocol for SFTP.
type sftpProtocol struct{ files *sharedFiles }

func newSFTPProtocol() sftpProtocol {
	return sftpProtocol{files: &sharedFiles{data: map[string][]byte{}}}
}

func (sftpProtocol) name() string { return "sftp" }

func (sftpProtocol) transport(options pool.Options) broker.Transport {
	options.Handshake = sftp.Handshake
	return sftp.NewTransport(pool.New(options), 0)
}

func (sftpProtocol) server(loop *broker.Loop, transport broker.Transport, log *slog.Logger) server {
	return sftp.NewServer(loop, transport, newMapping(settings(), "read"), 64, clientconn.NewByteBudget(1<<20), log)
}

func (sftpProtocol) applySettings(s server, _ client, set scheduler.Settings, class string) {
	s.(*sftp.Server).SetMapping(newMapping(set, class))
}

// newMapping returns a mapping of the reading commands to readClass and of the other commands to their classes.
func newMapping(set scheduler.Settings, readClass string) *sftp.Mapping {
	commands := map[sftp.Command]sftp.CommandSettings{}
	for _, c := range sftp.Commands {
		commands[c] = sftp.CommandSettings{Class: readClass}
	}
	commands[sftp.OpenWrite] = sftp.CommandSettings{Class: "write"}
	commands[sftp.Write] = sftp.CommandSettings{Class: "write"}
	commands[sftp.Remove] = sftp.CommandSettings{Class: "write"}
	commands[sftp.List] = sftp.CommandSettings{Class: "list"}
	mapping := &sftp.Mapping{
		UnitBytes: 2,
		Commands:  commands,
		Volumes:   []sftp.Volume{{Prefix: "/d", Volume: "v", Plan: "plan"}},
	}
	if err := mapping.Check(set); err != nil {
		panic(err)
	}
	return mapping
}

func (p sftpProtocol) client(t *testing.T, address string) client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	c := &sftpClient{conn: conn, reader: bufio.NewReader(conn), handles: map[string]string{}}
	_, _ = conn.Write(encodePacket(packetInit, sftpVersion))
	if packetType, _, err := receivePacket(c.reader); err != nil || packetType != packetVersion {
		t.Fatal("no VERSION packet:", err)
	}
	return c
}

func (sftpProtocol) malformedInputs() map[string]string {
	hello := string(encodePacket(packetInit, sftpVersion))
	stat := string(encodePacket(packetStat, uint32(7), "/d/hang"))
	return map[string]string{
		"silence":                   "",
		"noise":                     impossibleLength,
		"half a command":            hello + stat[:9],
		"huge command":              hello + "\x03\x93\x87\x00\x06",
		"unknown handles and noise": hello + strings.Repeat(closeWithoutHandle, 300) + impossibleLength,
	}
}

// sftpClient is a client on one connection.
type sftpClient struct {
	conn    net.Conn
	reader  *bufio.Reader
	lastID  uint32
	pending []uint32          // IDs of requests that are not answered yet
	handles map[string]string // handles of open files and directories, by the ID in the scenario
}

// ask sends a packet with the next request ID.
func (c *sftpClient) ask(packetType byte, parts ...any) {
	c.lastID++
	c.pending = append(c.pending, c.lastID)
	_, _ = c.conn.Write(encodePacket(append([]any{packetType, c.lastID}, parts...)...))
}

// prepare opens the files and directories that the scenario reads and writes.
func (c *sftpClient) prepare(t *testing.T, ids ...string) {
	t.Helper()
	for _, id := range ids {
		if strings.HasPrefix(id, "dir") {
			c.ask(packetOpenDir, "/d/"+id)
		} else {
			c.ask(packetOpen, "/d/"+id, flagRead|flagWrite|flagCreate, noAttributes)
		}
		packetType, body, err := receivePacket(c.reader)
		if err != nil || packetType != packetHandle {
			t.Fatalf("open %s: type %d, %v", id, packetType, err)
		}
		body.uint32() // the request ID
		c.handles[id] = body.string()
		c.pending = nil
	}
}

func (c *sftpClient) send(id string, k requestKind) {
	switch k {
	case read:
		c.ask(packetRead, c.handles[id], uint64(0), uint32(2*unitsOf(id)))
	case write:
		c.ask(packetWrite, c.handles[id], uint64(0), "BODY")
	case listing:
		c.ask(packetReadDir, c.handles[id])
	}
}

// sendRefused implements client. It sends a CLOSE without a handle and a STAT with the ID of an open request.
func (c *sftpClient) sendRefused(string) (count int) {
	open := c.pending[0]
	c.pending = append(c.pending, 1, open)
	_, _ = c.conn.Write([]byte(closeWithoutHandle))
	_, _ = c.conn.Write(encodePacket(packetStat, open, "/d/f"))
	return 2
}

func (c *sftpClient) receive() (outcome, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(waitLimit))
	packetType, body, err := receivePacket(c.reader)
	if err != nil {
		return "", err
	}
	id := body.uint32()
	index := slices.Index(c.pending, id)
	if index < 0 {
		return "", fmt.Errorf("received an answer with ID %d, which no pending request has", id)
	}
	c.pending = slices.Delete(c.pending, index, index+1)
	if packetType != packetStatus {
		return served, nil
	}
	code := body.uint32()
	message := body.string()
	switch {
	case code == statusBadMessage:
		return refused, nil
	case code != statusFailure:
		return served, nil
	case strings.HasPrefix(message, "BUSY"):
		return rejected, nil
	}
	return failed, nil
}

// expectNoMoreAnswers sends an unknown packet. Any answer before the one to this packet is an error.
func (c *sftpClient) expectNoMoreAnswers() error {
	c.ask(packetExtended, "nothing")
	got, err := c.receive()
	if err != nil {
		return fmt.Errorf("receive the answer to an unknown packet: %w", err)
	}
	if got != served {
		return fmt.Errorf("received an additional answer: %s", got)
	}
	return nil
}

func (c *sftpClient) close() { _ = c.conn.Close() }
