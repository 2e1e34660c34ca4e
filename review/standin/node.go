package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// storageNode stands in for a storage node: it serves one shard over RESP2, some requests at once, the others in turn.
type storageNode struct {
	name  string
	zone  string
	shard int
	dial  string // address in discovery's list
	rec   *recorder

	slots    chan struct{}                           // requests in work at once
	work     func(class string) time.Duration        // work of a request
	size     func(class string) int                  // bytes of its value
	hung     atomic.Bool                             // the node takes commands and answers nothing
	second   func() (copy bool, after time.Duration) // whether the answer is sent a second time; nil for never
	inflight atomic.Int64
	log      bool // record each command

	mu     sync.Mutex
	ran    map[string]int // executions by request id
	pieces []string       // the last pieces of data that the node took
}

// The node remembers some pieces of data. Another request for one of them costs less work.
const (
	rememberedPieces = 3
	rememberedCost   = 0.4
)

// cost returns the part of a request's work that its piece of data leaves.
func (n *storageNode) cost(piece string) float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	part := 1.0
	if slices.Contains(n.pieces, piece) {
		part = rememberedCost
	}
	n.pieces = append(slices.DeleteFunc(n.pieces, func(p string) bool { return p == piece }), piece)
	n.pieces = n.pieces[max(0, len(n.pieces)-rememberedPieces):]
	return part
}

func newNode(shard int, zone string, rec *recorder) *storageNode {
	return &storageNode{
		name:  fmt.Sprintf("s-%08x", 0x5be2a000+shard),
		zone:  zone,
		shard: shard,
		rec:   rec,
		slots: make(chan struct{}, 2),
		work:  func(string) time.Duration { return time.Duration(15+rand.IntN(10)) * time.Millisecond },
		size:  func(string) int { return 200 },
		ran:   map[string]int{},
	}
}

// start listens. With a delay above 0 the node is reached through a proxy that delays both directions by it.
func (n *storageNode) start(delay time.Duration) error {
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
	if delay > 0 {
		n.dial, err = startDelayProxy(n.dial, delay)
	}
	return err
}

// serve answers the commands of one connection in turn.
func (n *storageNode) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReaderSize(conn, 16<<10)
	var writing sync.Mutex
	var waiting atomic.Int64 // commands of this connection that are being read or have no answer
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		waiting.Add(1)
		args, err := readCommand(reader)
		if err != nil {
			return
		}
		for n.hung.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		answer := n.answer(args)
		writing.Lock()
		_, err = conn.Write(answer)
		waiting.Add(-1)
		writing.Unlock()
		if err != nil {
			return
		}
		if n.second == nil || answer[0] != '*' {
			continue
		}
		if again, after := n.second(); again {
			time.AfterFunc(after, func() {
				writing.Lock()
				defer writing.Unlock()
				if waiting.Load() == 0 && isQuiet(conn) { // only when nothing else is waiting on the connection
					n.rec.line("node %s sends the answer to %s a second time, %.1f ms later", n.name, args[2], float64(after.Microseconds())/1000)
					_, _ = conn.Write(answer)
				}
			})
		}
	}
}

// answer executes a command and returns its answer.
func (n *storageNode) answer(args []string) []byte {
	switch {
	case len(args) == 1 && strings.EqualFold(args[0], "PING"):
		return []byte("+PONG\r\n")
	case len(args) == 2 && strings.EqualFold(args[0], "INFO"):
		report := fmt.Sprintf("inflight=%d", n.inflight.Load())
		return fmt.Appendf(nil, "$%d\r\n%s\r\n", len(report), report)
	case len(args) < 4 || !strings.HasPrefix(args[0], "BLK."):
		return []byte("-SYNTAX\r\n")
	}
	options := parseOptions(args[3])
	if shard, _ := strconv.Atoi(options["shard"]); shard != n.shard && shard >= 0 {
		return []byte("-BUSY\r\n")
	}
	n.inflight.Add(1)
	defer n.inflight.Add(-1)
	n.slots <- struct{}{}
	time.Sleep(time.Duration(n.cost(args[1]) * float64(n.work(options["c"]))))
	<-n.slots
	n.mu.Lock()
	n.ran[args[2]]++
	n.mu.Unlock()
	if n.log {
		n.rec.line("node %s ran %s %s of %s", n.name, args[0], args[2], options["volume"])
	}
	value := valueFor(args[2], args[1], n.size(options["c"]))
	report := fmt.Sprintf("inflight=%d", n.inflight.Load())
	return fmt.Appendf(nil, "*3\r\n$%d\r\n%s\r\n$-1\r\n$%d\r\n%s\r\n", len(value), value, len(report), report)
}

// valueFor returns the value that a node makes for a request. It names the request, so that a client can tell it from others.
func valueFor(id, key string, size int) []byte {
	value := fmt.Appendf(nil, "made for %s, piece %s.", id, key)
	if len(value) < size {
		value = append(value, bytes.Repeat([]byte{'.'}, size-len(value))...)
	}
	return value
}

// isQuiet reports whether a socket holds no unread bytes.
func isQuiet(conn net.Conn) bool {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		_, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
	})
	return err == nil && quiet
}

func parseOptions(text string) map[string]string {
	options := map[string]string{}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		options[name] = value
	}
	return options
}

// readCommand reads an array of bulk strings.
func readCommand(reader *bufio.Reader) ([]string, error) {
	count, err := readCount(reader, '*')
	if err != nil {
		return nil, err
	}
	var args []string
	for range count {
		size, err := readCount(reader, '$')
		if err != nil {
			return nil, err
		}
		text := make([]byte, size+2)
		if _, err := io.ReadFull(reader, text); err != nil {
			return nil, err
		}
		args = append(args, string(text[:size]))
	}
	return args, nil
}

func readCount(reader *bufio.Reader, kind byte) (int, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != kind {
		return 0, fmt.Errorf("%q does not begin with %q", line, kind)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

// startDelayProxy forwards connections to an address and delays all bytes by the given time, in each direction.
func startDelayProxy(to string, delay time.Duration) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				_ = near.Close()
				continue
			}
			go delayBytes(near, far, delay)
			go delayBytes(far, near, delay)
		}
	}()
	return listener.Addr().String(), nil
}

type delayed struct {
	at   time.Time
	data []byte
}

func delayBytes(from, to net.Conn, delay time.Duration) {
	queue := make(chan delayed, 1024)
	go func() {
		defer func() { _ = to.Close() }()
		for d := range queue {
			time.Sleep(time.Until(d.at))
			if _, err := to.Write(d.data); err != nil {
				_ = from.Close()
			}
		}
	}()
	defer close(queue)
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			queue <- delayed{time.Now().Add(delay), bytes.Clone(buffer[:count])}
		}
		if err != nil {
			return
		}
	}
}
