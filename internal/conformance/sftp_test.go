package conformance

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"path"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/pool"
	"junctionwharf/internal/sftp"
	"junctionwharf/scheduler"
)

type sftpProtocol struct{ files *files }

func (sftpProtocol) name() string { return "sftp" }

func (sftpProtocol) transport(opt pool.Options) broker.Transport {
	opt.Handshake = sftp.Handshake
	return sftp.NewTransport(pool.New(opt), 0)
}

func (sftpProtocol) front(loop *broker.Loop, via broker.Transport, log *slog.Logger) front {
	return sftp.NewServer(loop, via, plan(settings(), "read"), 64, log)
}

func (sftpProtocol) retune(f front, _ client, set scheduler.Settings, class string) {
	f.(*sftp.Server).SetMapping(plan(set, class))
}

// plan maps what reads to a class.
func plan(set scheduler.Settings, class string) *sftp.Mapping {
	terms := map[sftp.Command]sftp.CommandSettings{}
	for _, c := range sftp.Commands {
		terms[c] = sftp.CommandSettings{Class: class}
	}
	terms[sftp.OpenWrite], terms[sftp.Write] = sftp.CommandSettings{Class: "write"}, sftp.CommandSettings{Class: "write"}
	terms[sftp.Remove], terms[sftp.List] = sftp.CommandSettings{Class: "write"}, sftp.CommandSettings{Class: "list"}
	plan := &sftp.Mapping{UnitBytes: 2, Commands: terms, Volumes: []sftp.Volume{{Prefix: "/d", Volume: "v", Plan: "plan"}}}
	if err := plan.Check(set); err != nil {
		panic(err)
	}
	return plan
}

// files is what all stand-in nodes of the shard hold.
type files struct {
	mu   sync.Mutex
	data map[string][]byte
}

// ---- packets, from the specification

func pack(parts ...any) []byte {
	var b []byte
	for _, p := range parts {
		switch x := p.(type) {
		case byte:
			b = append(b, x)
		case uint32:
			b = binary.BigEndian.AppendUint32(b, x)
		case uint64:
			b = binary.BigEndian.AppendUint64(b, x)
		case string:
			b = append(binary.BigEndian.AppendUint32(b, uint32(len(x))), x...)
		}
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...)
}

type unpacker struct{ b []byte }

func (u *unpacker) u32() uint32 { n := binary.BigEndian.Uint32(u.b); u.b = u.b[4:]; return n }
func (u *unpacker) u64() uint64 { n := binary.BigEndian.Uint64(u.b); u.b = u.b[8:]; return n }
func (u *unpacker) str() string { n := u.u32(); s := string(u.b[:n]); u.b = u.b[n:]; return s }

func receivePacket(r io.Reader) (kind byte, u *unpacker, err error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	b := make([]byte, binary.BigEndian.Uint32(head[:]))
	if _, err := io.ReadFull(r, b); err != nil {
		return 0, nil, err
	}
	return b[0], &unpacker{b[1:]}, nil
}

func status(id, code uint32, words string) []byte { return pack(byte(101), id, code, words, "en") }

// ---- node

func (p sftpProtocol) node(conn net.Conn, name string, w *world) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	s := &sftpNode{files: p.files, world: w, name: name, conn: conn, in: in}
	defer s.end()
	if kind, _, err := receivePacket(in); err != nil || kind != 1 {
		return
	}
	_, _ = conn.Write(pack(byte(2), uint32(3)))
	for {
		kind, u, err := receivePacket(in)
		if err != nil || !s.take(kind, u.u32(), u) {
			return
		}
	}
}

// sftpNode is one connection to a stand-in node that speaks SFTP version 3 without SSH.
type sftpNode struct {
	files *files
	world *world
	name  string
	conn  net.Conn
	in    io.Reader
	v     *visit
	do    behaviour
	path  string
	names int // NAME packets sent
}

func (s *sftpNode) end() {
	if s.v != nil {
		s.v.end()
		s.v = nil
	}
}

// begin starts a visit and tells whether the connection goes on.
func (s *sftpNode) begin(name string, id uint32) (proceed, alive bool) {
	s.path, s.names = name, 0
	s.v, s.do = s.world.begin(s.name, path.Base(name))
	switch s.do {
	case turnAway:
		s.end()
		_, _ = s.conn.Write(status(id, 4, "BUSY"))
		return false, true
	case cutMid:
		return false, false
	case hang:
		_, _, _ = receivePacket(s.in) // until the broker closes
		return false, false
	}
	return true, true
}

// spoil answers with a length that nobody may believe and waits until the broker closes.
func (s *sftpNode) spoil() bool {
	_, _ = s.conn.Write([]byte("\xff\xff\xff\xf0noise"))
	s.files.mu.Unlock()
	_, _ = io.Copy(io.Discard, s.in)
	s.files.mu.Lock()
	return false
}

func (s *sftpNode) take(kind byte, id uint32, u *unpacker) bool {
	s.files.mu.Lock()
	defer s.files.mu.Unlock()
	f := s.files
	reply := func(parts ...any) bool { _, err := s.conn.Write(pack(parts...)); return err == nil }
	state := func(code uint32) bool { _, err := s.conn.Write(status(id, code, "")); return err == nil }
	if s.v != nil {
		s.v.step()
	}
	if kind == 4 || kind == 5 || kind == 6 || kind == 12 {
		u.str() // the handle: a connection has one at a time
	}
	switch kind {
	case 3, 11: // OPEN, OPENDIR
		name := u.str()
		f.mu.Unlock()
		proceed, alive := s.begin(name, id)
		f.mu.Lock()
		if !proceed {
			return alive
		}
		if kind == 3 {
			flags := u.u32()
			if _, held := f.data[name]; !held && flags&8 == 0 {
				return state(2)
			} else if !held || flags&16 != 0 {
				f.data[name] = nil
			}
		}
		return reply(byte(102), id, "h")
	case 4: // CLOSE
		s.end()
		if s.do == repeat {
			_, _ = s.conn.Write(append(status(id, 0, ""), status(id, 0, "")...))
			return true
		}
		return state(0)
	case 5: // READ
		at, n := u.u64(), uint64(u.u32())
		switch s.do {
		case cutAfter:
			return false
		case spoil:
			return s.spoil()
		}
		data := f.data[s.path]
		if at >= uint64(len(data)) {
			return state(1)
		}
		return reply(byte(103), id, string(data[at:min(at+n, uint64(len(data)))]))
	case 6: // WRITE
		at, data := u.u64(), u.str()
		held := f.data[s.path]
		if need := int(at) + len(data); need > len(held) {
			held = append(held, make([]byte, need-len(held))...)
		}
		copy(held[at:], data)
		f.data[s.path] = held
		s.v.apply()
		switch s.do {
		case cutAfter:
			return false
		case spoil:
			return s.spoil()
		}
		return state(0)
	case 12: // READDIR
		if s.do == drip {
			time.Sleep(drainGrace / 20)
			return reply(byte(104), id, uint32(1), "f", "f", uint32(0))
		}
		if s.names++; s.names > 1 {
			return state(1)
		}
		body := []any{byte(104), id, uint32(0)}
		count := uint32(0)
		for name, data := range f.data {
			if path.Dir(name) == s.path {
				count++
				body = append(body, path.Base(name), path.Base(name), uint32(1), uint64(len(data)))
			}
		}
		body[2] = count
		return reply(body...)
	case 13, 17: // REMOVE, STAT
		name := u.str()
		f.mu.Unlock()
		proceed, alive := s.begin(name, id)
		f.mu.Lock()
		if !proceed {
			return alive
		}
		defer s.end()
		data, held := f.data[name]
		if !held {
			return state(2)
		}
		if kind == 13 {
			delete(f.data, name)
			s.v.apply()
			return state(0)
		}
		return reply(byte(105), id, uint32(1), uint64(len(data)))
	}
	return state(8)
}

// ---- client

func (p sftpProtocol) client(t *testing.T, address string) client {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	c := &sftpClient{conn: conn, in: bufio.NewReader(conn), handles: map[string]string{}}
	_, _ = conn.Write(pack(byte(1), uint32(3)))
	if kind, _, err := receivePacket(c.in); err != nil || kind != 2 {
		t.Fatal("no VERSION", err)
	}
	return c
}

// nuisances are what bad clients send.
func (sftpProtocol) nuisances() map[string]string {
	hello := string(pack(byte(1), uint32(3)))
	stat := string(pack(byte(17), uint32(7), "/d/hang"))
	return map[string]string{"silence": "", "noise": "\xff\xff\xff\xf0noise", "half": hello + stat[:9], "huge": hello + "\x03\x93\x87\x00\x06",
		"twice": hello + stat + stat, "unknown": hello + strings.Repeat("\x00\x00\x00\x05\x06\x00\x00\x00\x01", 300)}
}

type sftpClient struct {
	conn    net.Conn
	in      *bufio.Reader
	id      uint32
	owed    []uint32
	handles map[string]string
}

func (c *sftpClient) ask(parts ...any) {
	c.id++
	c.owed = append(c.owed, c.id)
	_, _ = c.conn.Write(pack(append([]any{parts[0], c.id}, parts[1:]...)...))
}

// prepare opens what the scenario reads and writes.
func (c *sftpClient) prepare(t *testing.T, ids ...string) {
	for _, id := range ids {
		if strings.HasPrefix(id, "dir") {
			c.ask(byte(11), "/d/"+id)
		} else {
			c.ask(byte(3), "/d/"+id, uint32(1|2|8), uint32(0))
		}
		kind, u, err := receivePacket(c.in)
		if err != nil || kind != 102 {
			t.Fatalf("open %s: type %d, %v", id, kind, err)
		}
		u.u32()
		c.handles[id], c.owed = u.str(), nil
	}
}

func (c *sftpClient) send(id string, k kind) {
	switch k {
	case read:
		c.ask(byte(5), c.handles[id], uint64(0), uint32(2*unitsOf(id)))
	case write:
		c.ask(byte(6), c.handles[id], uint64(0), "BODY")
	case listing:
		c.ask(byte(12), c.handles[id])
	}
}

func (c *sftpClient) receive() (verdict, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(patience))
	kind, u, err := receivePacket(c.in)
	if err != nil {
		return "", err
	}
	id := u.u32()
	at := slices.Index(c.owed, id)
	if at < 0 {
		return "", fmt.Errorf("an answer to %d, which is not owed", id)
	}
	c.owed = slices.Delete(c.owed, at, at+1)
	if kind != 101 {
		return served, nil
	}
	code, words := u.u32(), u.str()
	switch {
	case code != 4:
		return served, nil
	case strings.HasPrefix(words, "BUSY"):
		return refused, nil
	}
	return failed, nil
}

func (c *sftpClient) quiet() error {
	c.ask(byte(200), "nothing")
	if v, err := c.receive(); err != nil || v != served {
		return fmt.Errorf("a second answer: %s, %s", v, fmt.Sprint(err)) // nil for a whole answer
	}
	return nil
}

func (c *sftpClient) close() { _ = c.conn.Close() }
