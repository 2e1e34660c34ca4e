package fakes

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"
)

// minArguments is the minimum number of arguments of a command: its name, a key, an id and the options.
const minArguments = 4

// Node is a fake of a storage node that speaks RESP2. It serves a limited number of commands concurrently, queues
// further commands, and answers -BUSY if its queue is full.
type Node struct {
	Name  string
	Shard int

	listener    net.Listener
	serviceTime func(units float64) time.Duration
	slots       chan struct{} // one element per command in service
	capacity    int64         // maximum number of commands in service and in the queue
	inFlight    atomic.Int64
	served      atomic.Int64
	stallUntil  atomic.Int64 // Unix time in ns

	mu     sync.Mutex // guards the fields below
	conns  map[net.Conn]bool
	closed bool
}

// NewNode starts a node at an address. The node serves up to slots commands concurrently and queues up to queue more.
// serviceTime returns how long a command with the given number of units takes.
func NewNode(
	address, name string, shard, slots, queue int, serviceTime func(units float64) time.Duration,
) (*Node, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	n := &Node{
		Name:        name,
		Shard:       shard,
		listener:    listener,
		serviceTime: serviceTime,
		slots:       make(chan struct{}, slots),
		capacity:    int64(slots + queue),
		conns:       map[net.Conn]bool{},
	}
	go n.acceptAll()
	return n, nil
}

// Endpoint returns the node's entry for discovery's list.
func (n *Node) Endpoint() Endpoint {
	return Endpoint{
		Name:    n.Name,
		Address: n.listener.Addr().String(),
		Zone:    "a",
		Class:   "m1",
		Shard:   n.Shard,
		Health:  healthServing,
		Share:   1,
	}
}

// Served returns the number of commands served.
func (n *Node) Served() int { return int(n.served.Load()) }

// Stall suspends the service of new commands for a duration. Commands that arrive in the meantime wait.
func (n *Node) Stall(d time.Duration) { n.stallUntil.Store(time.Now().Add(d).UnixNano()) }

// Close stops the node and resets its connections, as if its process were killed.
func (n *Node) Close() {
	_ = n.listener.Close() // acceptAll returns in any case
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for conn := range n.conns {
		resetConn(conn)
	}
}

// acceptAll accepts connections until Close.
func (n *Node) acceptAll() {
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		n.conns[conn] = true
		closed := n.closed
		n.mu.Unlock()
		if closed {
			resetConn(conn)
			return
		}
		go n.serveConn(conn)
	}
}

// serveConn answers the commands of one connection until it ends.
func (n *Node) serveConn(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		n.mu.Lock()
		delete(n.conns, conn)
		n.mu.Unlock()
	}()
	in := redcon.NewReader(conn)
	for {
		command, err := in.ReadCommand()
		if err != nil {
			return
		}
		if _, err := io.WriteString(conn, n.serveCommand(command)); err != nil {
			return
		}
	}
}

// serveCommand waits for a slot, serves one command and returns its answer. It rejects a command if the queue is full.
func (n *Node) serveCommand(command redcon.Command) string {
	if len(command.Args) < minArguments {
		return "-ERR unknown command\r\n"
	}
	inFlight := n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	if inFlight > n.capacity {
		return "-BUSY\r\n"
	}
	n.slots <- struct{}{}
	defer func() { <-n.slots }()
	if stall := time.Until(time.Unix(0, n.stallUntil.Load())); stall > 0 {
		time.Sleep(stall)
	}
	time.Sleep(n.serviceTime(NumberField(string(command.Args[3]), "units")))
	n.served.Add(1)
	id := command.Args[2]
	report := fmt.Sprintf("inflight=%d", n.inFlight.Load())
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$%d\r\n%s\r\n", len(id), id, len(report), report)
}

// NumberField returns the number of a field of a command's options, which are NAME=VALUE pairs separated by commas. It
// returns 1 if the field is missing or not a number.
func NumberField(options, name string) float64 {
	for pair := range strings.SplitSeq(options, ",") {
		key, value, found := strings.Cut(pair, "=")
		if !found || key != name {
			continue
		}
		if n, err := strconv.ParseFloat(value, 64); err == nil {
			return n
		}
	}
	return 1
}
