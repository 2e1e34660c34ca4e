// Package peer carries short messages between brokers as UDP datagrams.
package peer

import (
	"errors"
	"fmt"
	"net"
	"net/netip"

	"junctionwharf/broker"
	"junctionwharf/internal/handover"
	"junctionwharf/scheduler"
)

// maxDatagram is the most that a message may hold; a longer one is dropped, never sent.
const maxDatagram = 256

// Endpoint is this broker's end.
type Endpoint struct {
	conn  *net.UDPConn
	peers []netip.AddrPort
	all   netip.AddrPort
	own   int
}

// Listen listens at an address. peers are those of the whole tier, own included, by their numbers.
func Listen(listen string, peers []string, all string, own int) (*Endpoint, error) {
	l := &Endpoint{own: own}
	for i, p := range peers {
		address, err := netip.ParseAddrPort(p)
		if err != nil {
			return nil, fmt.Errorf("peers[%d]: %w", i, err)
		}
		l.peers = append(l.peers, address)
	}
	if all != "" {
		address, err := netip.ParseAddrPort(all)
		if err != nil {
			return nil, fmt.Errorf("peers_all: %w", err)
		}
		l.all = address
	}
	var err error
	if l.conn, err = handover.ListenPacket(listen); err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return l, nil
}

// Send sends data to one peer or, with scheduler.AllPeers, to all others. What can't be sent is lost, as
// a datagram may be.
func (l *Endpoint) Send(peer int, data []byte) {
	if len(data) > maxDatagram {
		return
	}
	switch {
	case peer >= 0 && peer < len(l.peers) && peer != l.own:
		l.conn.WriteToUDPAddrPort(data, l.peers[peer])
	case peer == scheduler.AllPeers && l.all.IsValid():
		l.conn.WriteToUDPAddrPort(data, l.all)
	}
}

// Run posts what comes in until the link is closed. Datagrams from elsewhere or too long are dropped.
func (l *Endpoint) Run(post func(broker.PeerMessage)) {
	buffer := make([]byte, maxDatagram+1)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		for i, p := range l.peers {
			if p == from && n <= maxDatagram && i != l.own {
				post(broker.PeerMessage{From: i, Data: append([]byte(nil), buffer[:n]...)})
				break
			}
		}
	}
}

// Close ends Run.
func (l *Endpoint) Close() error { return l.conn.Close() }
