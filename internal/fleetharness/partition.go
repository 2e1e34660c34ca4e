package fleetharness

import (
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// relayBuffer is the size in bytes of the buffer for copying.
	relayBuffer = 32 << 10
	// relayDialTimeout bounds the relay's dial to a broker on the same machine.
	relayDialTimeout = time.Second
)

// partition separates some brokers from all others. It affects only links between a member and a non-member.
type partition struct {
	brokers       map[int]bool
	dropsSent     bool // data from members to others is not delivered
	dropsReceived bool // data from others to members is not delivered
}

// blocks reports whether the partition blocks data from one broker to another.
func (p *partition) blocks(from, to int) bool {
	leaves := p.brokers[from] && !p.brokers[to]
	enters := p.brokers[to] && !p.brokers[from]
	return leaves && p.dropsSent || enters && p.dropsReceived
}

// partitions holds the active partitions and the connections that they may affect.
type partitions struct {
	mu      sync.Mutex // guards the fields below
	changed *sync.Cond // broadcast when a partition ends
	active  []*partition
	conns   map[net.Conn]bool
	closed  bool
}

func newPartitions() *partitions {
	p := &partitions{conns: map[net.Conn]bool{}}
	p.changed = sync.NewCond(&p.mu)
	return p
}

// Partition blocks the links over which the configuration is replicated, between some brokers and all others. It blocks
// data that these brokers send, receive, or both. The returned function ends the partition.
func (f *Fleet) Partition(dropsSent, dropsReceived bool, brokers ...int) (heal func()) {
	added := &partition{brokers: map[int]bool{}, dropsSent: dropsSent, dropsReceived: dropsReceived}
	for _, b := range brokers {
		added.brokers[b] = true
	}
	p := f.partitions
	p.mu.Lock()
	p.active = append(p.active, added)
	p.mu.Unlock()
	return sync.OnceFunc(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.active = slices.DeleteFunc(p.active, func(other *partition) bool { return other == added })
		p.changed.Broadcast()
	})
}

// blocked reports whether any partition blocks data from one broker to another. The caller must hold p.mu.
func (p *partitions) blocked(from, to int) bool {
	return slices.ContainsFunc(p.active, func(active *partition) bool { return active.blocks(from, to) })
}

// awaitOpen waits until data from one broker to another is not blocked. It reports whether it had to wait.
func (p *partitions) awaitOpen(from, to int) (waited bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	waited = p.blocked(from, to)
	for p.blocked(from, to) && !p.closed {
		p.changed.Wait()
	}
	return waited
}

// add registers connections that close will close. After close, it closes them at once.
func (p *partitions) add(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.conns[conn] = true
		if p.closed {
			_ = conn.Close()
		}
	}
}

func (p *partitions) remove(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.conns, conn)
	}
}

// close closes all connections and ends all waits.
func (p *partitions) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for conn := range p.conns {
		_ = conn.Close()
	}
	p.changed.Broadcast()
}

// listenAgreementRelay starts the relay in front of a broker. The relay accepts connections from other brokers and
// copies their data to the broker unless a partition separates the two. It ends when the listener is closed.
func (f *Fleet) listenAgreementRelay(to int) (net.Listener, error) {
	listener, err := net.Listen("tcp4", f.address(relayNet, to, agreementPort))
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go f.relayConnection(conn, f.brokerAt(conn.RemoteAddr()), to)
		}
	}()
	return listener, nil
}

// relayConnection copies data between two brokers in both directions until the connection ends.
func (f *Fleet) relayConnection(near net.Conn, from, to int) {
	defer func() { _ = near.Close() }()
	if from < 0 {
		return
	}
	far, err := net.DialTimeout("tcp4", f.address(brokerNet, to, agreementPort), relayDialTimeout)
	if err != nil {
		return
	}
	f.partitions.add(near, far)
	defer f.partitions.remove(near, far)
	var wait sync.WaitGroup
	wait.Go(func() { f.partitions.copyUntilBlocked(far, near, from, to) })
	wait.Go(func() { f.partitions.copyUntilBlocked(near, far, to, from) })
	wait.Wait()
}

// copyUntilBlocked copies bytes from one broker to another and closes both connections when it returns. Data that a
// partition blocked is lost, so the connection is closed after the partition ends.
func (p *partitions) copyUntilBlocked(destination, source net.Conn, from, to int) {
	defer func() { _ = source.Close() }()
	defer func() { _ = destination.Close() }()
	buffer := make([]byte, relayBuffer)
	for {
		n, err := source.Read(buffer)
		if err != nil {
			return
		}
		if p.awaitOpen(from, to) {
			return
		}
		if _, err := destination.Write(buffer[:n]); err != nil {
			return
		}
	}
}
