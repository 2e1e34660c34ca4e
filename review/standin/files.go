package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Types of packets of SFTP version 3, from draft-ietf-secsh-filexfer-02.
const (
	packetInit    = 1
	packetVersion = 2
	packetOpen    = 3
	packetClose   = 4
	packetWrite   = 6
	packetStatus  = 101
	packetHandle  = 102

	openWrite  = 0x02
	openCreate = 0x08
)

// filePacket is a packet after its length.
type filePacket struct {
	kind byte
	id   uint32
	body []byte
}

func readFilePacket(reader *bufio.Reader) (filePacket, error) {
	var header [4]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return filePacket{}, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length < 5 || length > 256<<10 {
		return filePacket{}, fmt.Errorf("a packet of %d bytes", length)
	}
	text := make([]byte, length)
	if _, err := io.ReadFull(reader, text); err != nil {
		return filePacket{}, err
	}
	return filePacket{text[0], binary.BigEndian.Uint32(text[1:]), text[5:]}, nil
}

func encodeFilePacket(kind byte, id uint32, body []byte) []byte {
	out := binary.BigEndian.AppendUint32(nil, uint32(5+len(body)))
	out = append(out, kind)
	out = binary.BigEndian.AppendUint32(out, id)
	return append(out, body...)
}

func fileString(out []byte, text string) []byte {
	out = binary.BigEndian.AppendUint32(out, uint32(len(text)))
	return append(out, text...)
}

// cutString returns the string at the beginning of a packet's rest, and what follows it.
func cutString(rest []byte) (text, after []byte) {
	if len(rest) < 4 {
		return nil, nil
	}
	n := int(binary.BigEndian.Uint32(rest))
	if n > len(rest)-4 {
		return nil, nil
	}
	return rest[4 : 4+n], rest[4+n:]
}

// fileNode stands in for a storage node that takes file commands.
type fileNode struct {
	rec     *recorder
	slots   chan struct{}
	onWrite func(path string, offset uint64, began time.Time)
	dial    string
}

func (n *fileNode) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	n.dial = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go n.serve(conn)
		}
	}()
	return nil
}

func (n *fileNode) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	began := time.Now()
	status := func(id uint32) []byte {
		body := binary.BigEndian.AppendUint32(nil, 0)
		return encodeFilePacket(packetStatus, id, fileString(fileString(body, "ok"), "en"))
	}
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		arrived := time.Now()
		p, err := readFilePacket(reader)
		if err != nil {
			return
		}
		var out []byte
		switch p.kind {
		case packetInit:
			out = encodeFilePacket(packetVersion, 3, nil)
		case packetOpen: // the handle is the path
			began = arrived
			path, _ := cutString(p.body)
			out = encodeFilePacket(packetHandle, p.id, fileString(nil, string(path)))
		case packetWrite:
			path, rest := cutString(p.body)
			if len(rest) < 8 {
				return
			}
			n.slots <- struct{}{}
			time.Sleep(time.Duration(22+rand.IntN(14)) * time.Millisecond)
			<-n.slots
			n.onWrite(string(path), binary.BigEndian.Uint64(rest), began)
			out = status(p.id)
		default:
			out = status(p.id)
		}
		if _, err := conn.Write(out); err != nil {
			return
		}
	}
}

// fileSite is the site file of a broker that takes file commands, as deploy/site.toml.
const fileSite = `[sftp]
listen = "%s"
node_port = 0
connections = 32
unit_bytes = 16384

[sftp.command]
open = { class = "lesson-read" }
open_write = { class = "record-write" }
read = { class = "lesson-read" }
write = { class = "record-write" }
stat = { class = "lesson-read" }
list = { class = "bulk-export" }
remove = { class = "record-write" }

[[sftp.volume]]
prefix = "/exports"
volume = "00000003b4d60021"
plan = "completo"
shard = 0
hosts = 1
`

func init() { cases["leaving"] = playLeaving }

// playLeaving: clients send a row of writes at once and then leave. No attempt may begin more than 0.1 s after that.
func playLeaving(s *scene) (bool, error) {
	const clients, writes, size = 8, 40, 4096
	const rounds = 10
	var mu sync.Mutex
	left := map[string]time.Time{} // when the client of a file had closed its connection
	var late, wrote atomic.Int64
	n := &fileNode{rec: s.rec, slots: make(chan struct{}, 2)}
	n.onWrite = func(path string, offset uint64, began time.Time) {
		mu.Lock()
		at, gone := left[path]
		mu.Unlock()
		wrote.Add(1)
		after := began.Sub(at)
		if gone && after > 150*time.Millisecond {
			late.Add(1)
			s.rec.line("LATE: node ran the write of %s at %d, whose attempt began %.1f ms after the client had closed", path, offset, float64(after.Microseconds())/1000)
			return
		}
		s.rec.line("node ran the write of %s at %d", path, offset)
	}
	if err := n.start(); err != nil {
		return false, err
	}
	files, err := freePort("tcp")
	if err != nil {
		return false, err
	}
	s.site = filepath.Join(s.folder, "site.toml")
	if err := os.WriteFile(s.site, fmt.Appendf(nil, fileSite, files), 0o600); err != nil {
		return false, err
	}
	s.nodes = []*storageNode{{name: "s-5be2a000", zone: "hall-a", shard: 0, dial: n.dial}}
	if err := s.startDiscovery(); err != nil {
		return false, err
	}
	if err := s.startBrokers(1); err != nil {
		return false, err
	}
	for round := range rounds {
		var burst sync.WaitGroup
		for client := range clients {
			burst.Go(func() {
				path := fmt.Sprintf("/exports/grades-%d-%d", round, client)
				if err := s.writeAndLeave(files, path, writes, size, func() {
					mu.Lock()
					left[path] = time.Now()
					mu.Unlock()
				}); err != nil {
					s.rec.line("client of %s: %v", path, err)
				}
			})
		}
		burst.Wait()
		time.Sleep(2 * time.Second)
	}
	s.rec.summary("%d bursts of %d clients, each with %d writes; %d writes ran, %d of them in attempts that began more than 0.15 s after the client had closed",
		rounds, clients, writes, wrote.Load(), late.Load())
	if wrote.Load() == 0 {
		return false, errors.New("no write ran")
	}
	return late.Load() > 0, nil
}

// writeAndLeave opens a file, sends all writes at once, and closes the connection: with trouble after 50 ms, else after the
// last answer.
func (s *scene) writeAndLeave(address, path string, writes, size int, closed func()) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	reader := bufio.NewReader(conn)
	if _, err := conn.Write(encodeFilePacket(packetInit, 3, nil)); err != nil {
		return err
	}
	if _, err := readFilePacket(reader); err != nil {
		return err
	}
	open := binary.BigEndian.AppendUint32(fileString(nil, path), openWrite|openCreate)
	open = binary.BigEndian.AppendUint32(open, 0)
	if _, err := conn.Write(encodeFilePacket(packetOpen, 1, open)); err != nil {
		return err
	}
	p, err := readFilePacket(reader)
	if err != nil || p.kind != packetHandle {
		return fmt.Errorf("OPEN: packet %d, %w", p.kind, err)
	}
	handle, _ := cutString(p.body)
	var all []byte
	for i := range writes {
		body := binary.BigEndian.AppendUint64(fileString(nil, string(handle)), uint64(i*size))
		all = append(all, encodeFilePacket(packetWrite, uint32(2+i), fileString(body, strings.Repeat("x", size)))...)
	}
	s.rec.line("client sends %d writes of %s at once", writes, path)
	if _, err := conn.Write(all); err != nil {
		return err
	}
	if s.trouble {
		time.Sleep(50 * time.Millisecond)
	} else {
		for range writes {
			p, err := readFilePacket(reader)
			if err != nil {
				return err
			}
			s.rec.line("client got packet %d for command %d of %s", p.kind, p.id, path)
		}
	}
	_ = conn.Close()
	closed()
	s.rec.line("the client of %s has closed its connection", path)
	return nil
}
