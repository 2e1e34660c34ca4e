package fleetharness

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// maxPeerDatagram is the size in bytes of the largest datagram that a broker may send to a peer.
	maxPeerDatagram = 256
	// datagramBuffer is larger than maxPeerDatagram, so that the relay detects datagrams that are too long.
	datagramBuffer = 2048
)

// datagramRelay receives the datagrams that peers send to a broker. It forwards each datagram from the relay of the
// sender, so that the broker receives it from the address under which it knows the sender.
type datagramRelay struct {
	fleet    *Fleet
	conn     *net.UDPConn
	number   int // of the broker
	to       *net.UDPAddr
	received atomic.Int64 // datagrams
	bytes    atomic.Int64
}

func newDatagramRelay(f *Fleet, number int) (*datagramRelay, error) {
	address, err := net.ResolveUDPAddr("udp4", f.address(relayNet, number, peerPort))
	if err != nil {
		return nil, err
	}
	to, err := net.ResolveUDPAddr("udp4", f.address(brokerNet, number, peerPort))
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, err
	}
	return &datagramRelay{fleet: f, conn: conn, number: number, to: to}, nil
}

// run forwards datagrams until Fleet.Close closes the socket.
func (r *datagramRelay) run() {
	buffer := make([]byte, datagramBuffer)
	random := rand.New(rand.NewPCG(r.fleet.scenario.Seed, datagramStream+uint64(r.number)))
	for {
		n, from, err := r.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an earlier datagram was sent to a port on which no process listened
		}
		sender := r.fleet.brokerAt(from)
		if sender < 0 || sender >= len(r.fleet.datagramRelays) {
			continue
		}
		r.received.Add(1)
		r.bytes.Add(int64(n))
		if n > maxPeerDatagram {
			r.fleet.recorder.reportViolation(fmt.Sprintf("%s sent a datagram of %d bytes", brokerName(sender), n), nil)
		}
		r.forward(sender, buffer[:n], random)
	}
}

// forward delivers a datagram with the delay and loss of both brokers' links.
func (r *datagramRelay) forward(sender int, datagram []byte, random *rand.Rand) {
	through := r.fleet.datagramRelays[sender].conn
	receiving := r.fleet.brokers[r.number].datagramQuality()
	sending := r.fleet.brokers[sender].datagramQuality()
	if random.Float64() < receiving.loss || random.Float64() < sending.loss {
		return
	}
	late := linkQuality{delay: receiving.delay + sending.delay, jitter: receiving.jitter + sending.jitter}
	if span := late.transitTime(random); span > 0 {
		own := slices.Clone(datagram)
		time.AfterFunc(span, func() { _, _ = through.WriteToUDP(own, r.to) })
		return
	}
	_, _ = through.WriteToUDP(datagram, r.to) // lost if the broker does not listen, as on a network
}

// datagramQuality returns the quality of a broker's links to its peers.
func (b *broker) datagramQuality() linkQuality {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peerQuality
}
