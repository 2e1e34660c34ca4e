package fleetharness

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// allBrokers stands in place of a broker's number for what concerns every one.
const allBrokers = -1

// fakeNode is a fake of a storage node: so many slots, a queue, a speed, a slow start, and links that it has faults on.
type fakeNode struct {
	fleet   *Fleet
	number  int
	shard   int
	name    string
	address string

	mu             sync.Mutex // guards what follows
	changed        *sync.Cond // broadcast when faults or slots change
	listener       net.Listener
	conns          map[*nodeConn]bool
	dials          int
	peakConns      int
	slotsInUse     int
	inFlight       int           // commands in service and in the queue
	speed          float64       // 1 is the usual one
	startedAt      time.Duration // 0: long ago
	reportsIdle    bool
	faults         map[int]linkFault // by broker, or allBrokers
	random         *rand.Rand
	servedBySecond []int
	rejected       int
	recentUnits    []unitArrival // of a node that has just started
	slowStart      []SlowStartSecond
	closed         bool
}

// newNode starts a node. Its draws come from a stream of the scenario's seed that its number tells.
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

// listen accepts connections until close; it may be called again afterwards.
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

// close ends it: connections are reset, new ones refused.
func (n *fakeNode) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	n.closed = true
	_ = n.listener.Close() // its accept loop ends in any case
	n.resetConns()
	n.changed.Broadcast()
}

// resetConns resets all connections; n.mu is held.
func (n *fakeNode) resetConns() {
	for c := range n.conns {
		resetOnClose(c.Conn)
		_ = c.Close()
	}
}

// setFault changes what is wrong with the node, seen by one broker or by allBrokers.
func (n *fakeNode) setFault(broker int, change func(*linkFault)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	fault := n.faults[broker]
	change(&fault)
	n.faults[broker] = fault
	n.changed.Broadcast()
}

// faultOf is what is wrong between a broker and the node; n.mu is held.
func (n *fakeNode) faultOf(broker int) linkFault {
	return n.faults[allBrokers].combine(n.faults[broker])
}

// setSpeed changes the node's speed.
func (n *fakeNode) setSpeed(speed float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.speed = speed
}

// setReportsIdle has the node report that it is idle, or the truth.
func (n *fakeNode) setReportsIdle(reportsIdle bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reportsIdle = reportsIdle
}

// resetAll resets all connections once.
func (n *fakeNode) resetAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resetConns()
}

// heal ends all that is wrong with the node. What stood on a silent link is reset.
func (n *fakeNode) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = map[int]linkFault{}
	n.speed = 1
	n.reportsIdle = false
	n.resetConns()
	n.changed.Broadcast()
}

// restart has the node listen again as one that has just started.
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

// ended reports whether the broker has ended the connection, as the kernel knows it: what this process has read may
// lag. Tests have connections that are none, and nil for one that has ended.
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
	_ = raw.Control(func(fd uintptr) { // fails for a connection that has ended
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = err != nil || info.State != unix.BPF_TCP_ESTABLISHED
	})
	return ended
}
