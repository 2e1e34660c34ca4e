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

// minArguments is how many arguments each command of the protocol has at least: its name, a key, an id and its options.
const minArguments = 4

// Node is a fake of a storage node that speaks RESP2: it serves so many commands at once, lets others wait, and answers
// -BUSY when its queue is full.
type Node struct {
	Name  string
	Shard int

	listener    net.Listener
	serviceTime func(units float64) time.Duration
	slots       chan struct{} // one element for each command that is being served
	capacity    int64         // commands in service or in the queue
	inFlight    atomic.Int64
	served      atomic.Int64
	stallUntil  atomic.Int64 // Unix ns

	mu     sync.Mutex // guards what follows
	conns  map[net.Conn]bool
	closed bool
}

// NewNode listens at an address. It serves slots commands at once and queues queue more; serviceTime tells how long a
// command of so many units takes.
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

// Endpoint returns the node's entry in discovery's list.
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

// Served returns how many commands it has served.
func (n *Node) Served() int { return int(n.served.Load()) }

// Stall has the node serve nothing for a while: commands that come meanwhile wait.
func (n *Node) Stall(d time.Duration) { n.stallUntil.Store(time.Now().Add(d).UnixNano()) }

// Close kills the node: its connections are reset.
func (n *Node) Close() {
	_ = n.listener.Close() // its accept loop ends in any case
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

// serveConn answers the commands of one connection to its end.
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

// serveCommand serves one command and returns its answer.
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

// NumberField reads a number from a command's options, NAME=VALUE separated by commas; 1 if it is not there.
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
