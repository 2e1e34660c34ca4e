package fleetharness

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// allBrokers replaces a broker's number for faults that affect all brokers.
const allBrokers = -1

// fakeNode is a fake storage node with slots, a queue, a speed, a slow start, and links that can have faults.
type fakeNode struct {
	fleet   *Fleet
	number  int
	shard   int
	name    string
	address string

	mu             sync.Mutex // guards the fields below
	changed        *sync.Cond // broadcast when faults or slots change
	listener       net.Listener
	conns          map[*nodeConn]bool
	dials          int
	peakConns      int
	slotsInUse     int
	inFlight       int           // commands in service or in the queue
	speed          float64       // factor; 1 is the usual speed
	startedAt      time.Duration // 0: not newly started
	reportsIdle    bool
	faults         map[int]linkFault // by broker number, or allBrokers
	random         *rand.Rand
	servedBySecond []int
	rejected       int
	recentUnits    []unitArrival // requests within the slow start window of a newly started node
	slowStart      []SlowStartSecond
	closed         bool
}

// newNode creates and starts a node. The node's number selects its random stream of the scenario's seed.
func newNode(f *Fleet, number, shard int, name string) (*fakeNode, error) {
	n := &fakeNode{
		fleet:   f,
		number:  number,
		shard:   shard,
		name:    name,
		address: f.address(nodeNet, number, nodePort),
		conns:   map[*nodeConn]bool{},
		speed:   1,
		faults:  map[int]linkFault{},
		random:  rand.New(rand.NewPCG(f.scenario.Seed, uint64(number))),
	}
	n.changed = sync.NewCond(&n.mu)
	return n, n.listen()
}

// listen starts to accept connections until close. It may be called again after close.
func (n *fakeNode) listen() error {
	listener, err := net.Listen("tcp4", n.address)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.listener = listener
	n.closed = false
	n.mu.Unlock()
	go n.acceptAll(listener)
	return nil
}

func (n *fakeNode) acceptAll(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		c := &nodeConn{Conn: conn, node: n, broker: n.fleet.brokerAt(conn.RemoteAddr())}
		n.mu.Lock()
		n.conns[c] = true
		n.dials++
		n.peakConns = max(n.peakConns, len(n.conns))
		n.mu.Unlock()
		go c.serve()
	}
}

// close stops the node: it resets all connections and refuses new ones.
func (n *fakeNode) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	n.closed = true
	_ = n.listener.Close() // the accept loop ends in any case
	n.resetConns()
	n.changed.Broadcast()
}

// resetConns resets all connections. The caller must hold n.mu.
func (n *fakeNode) resetConns() {
	for c := range n.conns {
		resetOnClose(c.Conn)
		_ = c.Close()
	}
}

// setFault changes the faults of the node's link to one broker, or to all brokers for allBrokers.
func (n *fakeNode) setFault(broker int, change func(*linkFault)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	fault := n.faults[broker]
	change(&fault)
	n.faults[broker] = fault
	n.changed.Broadcast()
}

// faultOf returns the faults of the link between a broker and the node. The caller must hold n.mu.
func (n *fakeNode) faultOf(broker int) linkFault {
	return n.faults[allBrokers].combine(n.faults[broker])
}

// setSpeed sets the node's speed factor.
func (n *fakeNode) setSpeed(speed float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.speed = speed
}

// setReportsIdle sets whether the node reports that it is idle or its actual load.
func (n *fakeNode) setReportsIdle(reportsIdle bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reportsIdle = reportsIdle
}

// resetAll resets all current connections.
func (n *fakeNode) resetAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resetConns()
}

// heal clears all faults of the node. It resets all connections, because data on silent links is lost.
func (n *fakeNode) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = map[int]linkFault{}
	n.speed = 1
	n.reportsIdle = false
	n.resetConns()
	n.changed.Broadcast()
}

// restart makes the node listen again as a newly started node.
func (n *fakeNode) restart() error {
	n.mu.Lock()
	n.startedAt = Now()
	n.mu.Unlock()
	return n.listen()
}

// nodeConn is a connection of a broker to a node.
type nodeConn struct {
	net.Conn
	node   *fakeNode
	broker int
}

// ended reports whether the broker has closed the connection. It asks the kernel, because this process may not yet have
// read the end of the connection. Tests use connections of other types, which count as open, and nil, which counts as
// closed.
func (c *nodeConn) ended() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return c.Conn == nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	ended := true
	_ = raw.Control(func(fd uintptr) { // fails if the connection is closed
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = err != nil || info.State != unix.BPF_TCP_ESTABLISHED
	})
	return ended
}
