package fleetharness

import (
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// relayBuffer is how many bytes are carried at a time.
	relayBuffer = 32 << 10
	// relayDialTimeout bounds the relay's dial to a broker on the same machine.
	relayDialTimeout = time.Second
)

// partition keeps some brokers from all others: it lies on the links between those in it and those out of it.
type partition struct {
	brokers       map[int]bool
	dropsSent     bool // what those in it send does not get through
	dropsReceived bool // what is sent to them does not get through
}

// blocks reports whether nothing gets from one broker to another.
func (p *partition) blocks(from, to int) bool {
	leaves := p.brokers[from] && !p.brokers[to]
	enters := p.brokers[to] && !p.brokers[from]
	return leaves && p.dropsSent || enters && p.dropsReceived
}

// partitions are those that hold now, and the connections that they lie on.
type partitions struct {
	mu      sync.Mutex // guards what follows
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

// Partition keeps the links over which the configuration is replicated, between some brokers and all others, from
// carrying: what these send, what they receive, or both. The returned function ends it.
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

// blocked reports whether nothing gets from one broker to another; p.mu is held.
func (p *partitions) blocked(from, to int) bool {
	return slices.ContainsFunc(p.active, func(active *partition) bool { return active.blocks(from, to) })
}

// awaitOpen waits until something gets from one broker to another again, and reports whether it had to wait.
func (p *partitions) awaitOpen(from, to int) (waited bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	waited = p.blocked(from, to)
	for p.blocked(from, to) && !p.closed {
		p.changed.Wait()
	}
	return waited
}

// add takes connections that close ends; after it they are closed at once.
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

// close ends all connections and all waits.
func (p *partitions) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for conn := range p.conns {
		_ = conn.Close()
	}
	p.changed.Broadcast()
}

// listenAgreementRelay stands in front of a broker: connections of others to it come here and are carried on, as long
// as no partition lies between the two. It ends with its listener.
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

// relayConnection carries a connection from one broker to another until it ends.
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

// copyUntilBlocked carries bytes from one broker to another, and closes both connections at its end. What stood on a
// link when a partition came was lost, so the connection ends once the partition does.
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
