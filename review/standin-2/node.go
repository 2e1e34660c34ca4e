package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// request is a command as a node got it. The fields come from its list of names and values.
type request struct {
	verb, piece, id string
	class, volume   string
	shard, told     int // told: the value of d
	units           float64
	body            string
	received        time.Time // when its last byte was read
}

func parseRequest(words []string) (request, error) {
	r := request{received: time.Now()}
	if len(words) < 4 {
		return r, errRESP
	}
	r.verb = strings.ToUpper(words[0])
	if r.verb != "BLK.READ" && r.verb != "BLK.WRITE" {
		return r, errRESP
	}
	r.piece, r.id = words[1], words[2]
	for _, option := range strings.Split(words[3], ",") {
		name, value, _ := strings.Cut(option, "=")
		switch name {
		case "c":
			r.class = value
		case "volume":
			r.volume = value
		case "shard":
			r.shard, _ = strconv.Atoi(value)
		case "d":
			r.told, _ = strconv.Atoi(value)
		case "units":
			r.units, _ = strconv.ParseFloat(value, 64)
		}
	}
	if len(words) > 4 {
		r.body = words[4]
	}
	return r, nil
}

// node is a storage node. It serves up to its slots at once, in turn of arrival, and answers a request with a value
// that names the request. PING and INFO load are probes.
type node struct {
	name     string
	shard    int
	listener net.Listener
	log      *recorder
	// serve, if set, replaces the ordinary service of a request.
	serve func(c *nodeConn, r request)

	slots    chan struct{}
	inflight atomic.Int64

	mu    sync.Mutex
	conns map[*nodeConn]bool
}

// nodeConn is one connection to a node.
type nodeConn struct {
	net.Conn
	node    *node
	reader  *bufio.Reader
	writing sync.Mutex
}

const nodeSlots = 4 // 2 cores with 2 slots each

func newNode(name string, shard int, log *recorder) (*node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{name: name, shard: shard, listener: listener, log: log, slots: make(chan struct{}, nodeSlots),
		conns: map[*nodeConn]bool{}}
	go n.accept()
	return n, nil
}

func (n *node) address() string { return n.listener.Addr().String() }

func (n *node) accept() {
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			return
		}
		c := &nodeConn{Conn: conn, node: n}
		c.reader = bufio.NewReader(conn)
		n.mu.Lock()
		n.conns[c] = true
		n.mu.Unlock()
		go n.handle(c)
	}
}

func (n *node) handle(c *nodeConn) {
	defer func() {
		_ = c.Close()
		n.mu.Lock()
		delete(n.conns, c)
		n.mu.Unlock()
	}()
	for {
		words, err := readCommand(c.reader)
		if err != nil {
			return
		}
		switch strings.ToUpper(words[0]) {
		case "PING":
			c.send("+PONG\r\n")
			continue
		case "INFO":
			c.send(bulk(n.report()))
			continue
		case "CLIENT", "SELECT":
			c.send("+OK\r\n")
			continue
		}
		r, err := parseRequest(words)
		if err != nil {
			n.log.printf("node %s: SYNTAX %q", n.name, words)
			c.send("-SYNTAX\r\n")
			continue
		}
		n.log.printf("node %s: got %s %s class=%s d=%d", n.name, r.verb, r.id, r.class, r.told)
		if r.shard >= 0 && r.shard != n.shard {
			c.send("-BUSY\r\n")
			continue
		}
		n.inflight.Add(1)
		if n.serve != nil {
			n.serve(c, r)
		} else {
			n.work(r)
			c.send(n.answer(r))
		}
		n.inflight.Add(-1)
	}
}

// work occupies a slot for the time that the class takes.
func (n *node) work(r request) {
	n.slots <- struct{}{}
	time.Sleep(workOf(r.class))
	<-n.slots
}

// answer is the whole answer to a request: its value, no figures on use, and the load report.
func (n *node) answer(r request) string {
	return "*3\r\n" + bulk(valueOf(r.id)) + "$-1\r\n" + bulk(n.report())
}

func (n *node) report() string { return fmt.Sprintf("inflight=%d", n.inflight.Load()) }

func (c *nodeConn) send(text string) {
	c.writing.Lock()
	defer c.writing.Unlock()
	_, _ = c.Write([]byte(text))
}

// valueOf is the value that a node makes for a request.
func valueOf(id string) string { return "value of " + id }

func bulk(text string) string { return fmt.Sprintf("$%d\r\n%s\r\n", len(text), text) }

// workOf is the mean work of a class on a node.
func workOf(class string) time.Duration {
	switch class {
	case "record-write":
		return 28 * time.Millisecond
	case "bulk-export":
		return 50 * time.Millisecond
	}
	return 20 * time.Millisecond
}
