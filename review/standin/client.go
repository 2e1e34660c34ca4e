package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"
)

// request is a client's request.
type request struct {
	id, key, volume string
	class, plan     string
	waitMS          int
	units, shard    int
	body            []byte // of a write
}

func newHex() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

func newRequest(class string, shard int) request {
	r := request{id: newHex(), key: newHex(), volume: fmt.Sprintf("%016x", 0x3b4d60000+shard*8+rand.IntN(6)), class: class, plan: "padrao",
		units: 1 + rand.IntN(3), shard: shard}
	switch class {
	case classRead:
		r.waitMS = readWaitMS
	case classWrite:
		r.waitMS = writeWaitMS
		r.body = []byte("BODY")
	case classExport:
		r.waitMS = exportWaitMS
	}
	return r
}

// encode returns the command of a request.
func (r request) encode() []byte {
	options := fmt.Sprintf("c=%s,t=%s,d=%d,volume=%s,units=%d,shard=%d,hosts=1", r.class, r.plan, r.waitMS, r.volume, r.units, r.shard)
	name, count := "BLK.READ", 4
	if r.body != nil {
		name, count = "BLK.WRITE", 5
	}
	out := fmt.Appendf(nil, "*%d\r\n", count)
	for _, part := range []string{name, r.key, r.id, options} {
		out = fmt.Appendf(out, "$%d\r\n%s\r\n", len(part), part)
	}
	if r.body != nil {
		out = fmt.Appendf(out, "$%d\r\n", len(r.body))
		out = append(out, r.body...)
		out = append(out, "\r\n"...)
	}
	return out
}

// answer is what a client read.
type answer struct {
	kind  string // served, refused, failed or none
	value []byte
	text  string
}

// readAnswer reads one answer of a broker.
func readAnswer(reader *bufio.Reader) (answer, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return answer{kind: "none"}, err
	}
	line = strings.TrimRight(line, "\r\n")
	switch {
	case strings.HasPrefix(line, "$"):
		size, err := strconv.Atoi(line[1:])
		if err != nil || size < 0 {
			return answer{kind: "failed", text: line}, err
		}
		value := make([]byte, size+2)
		if _, err := io.ReadFull(reader, value); err != nil {
			return answer{kind: "none", text: "a value that is not whole"}, err
		}
		return answer{kind: "served", value: value[:size]}, nil
	case strings.HasPrefix(line, "-BUSY"):
		return answer{kind: "refused", text: line}, nil
	}
	return answer{kind: "failed", text: line}, nil
}

// session is a client's connection to a broker.
type session struct {
	conn   net.Conn
	reader *bufio.Reader
}

func connect(address string) (*session, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &session{conn, bufio.NewReader(conn)}, nil
}

// ask sends a request and reads its answer, at the latest after the given time.
func (s *session) ask(r request, within time.Duration) (answer, time.Duration, error) {
	began := time.Now()
	_ = s.conn.SetDeadline(began.Add(within))
	if _, err := s.conn.Write(r.encode()); err != nil {
		return answer{kind: "none"}, 0, err
	}
	sent := time.Now()
	a, err := readAnswer(s.reader)
	return a, time.Since(sent), err
}

func (s *session) close() { _ = s.conn.Close() }
