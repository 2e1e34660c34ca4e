// Package peer carries short messages between brokers as UDP datagrams.
//
// A message is one datagram of at most maxDatagramBytes. Datagrams may be lost, repeated or reordered. The package does
// not correct this, since the messages are gossip: a later message replaces an earlier one about the same subject.
// Datagrams from addresses that do not belong to a configured peer are dropped.
//
// Endpoint owns its socket. Endpoint.Run reads the socket in the caller's goroutine and returns after Endpoint.Close.
// Nothing is kept outside the process.
package peer

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/netip"

	"junctionwharf/broker"
	"junctionwharf/internal/handover"
	"junctionwharf/scheduler"
)

// maxDatagramBytes is the maximum size of a message. The protocol defines it. Longer messages are neither sent nor
// received.
const maxDatagramBytes = 256

// Endpoint exchanges messages with this broker's peers. Its methods may be called from any goroutine.
type Endpoint struct {
	conn      *net.UDPConn
	peers     []netip.AddrPort // by broker number, including this broker
	broadcast netip.AddrPort   // address that reaches all peers; not valid if there is no such address
	own       int              // number of this broker
}

// Listen opens an endpoint on the address listen. peers are the addresses of all brokers by number, including this one,
// whose number is own. all is the address that reaches all brokers, or empty. Errors name the faulty configuration key.
func Listen(listen string, peers []string, all string, own int) (*Endpoint, error) {
	e := &Endpoint{own: own}
	for i, peer := range peers {
		address, err := netip.ParseAddrPort(peer)
		if err != nil {
			return nil, fmt.Errorf("peers[%d]: %w", i, err)
		}
		e.peers = append(e.peers, address)
	}
	if all != "" {
		address, err := netip.ParseAddrPort(all)
		if err != nil {
			return nil, fmt.Errorf("peers_all: %w", err)
		}
		e.broadcast = address
	}
	conn, err := handover.ListenPacket(listen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	e.conn = conn
	return e, nil
}

// Send sends data to one peer or, for scheduler.AllPeers, to the address of all peers. Data that is too long, has no
// address to go to, or cannot be sent is dropped, since any datagram may be lost.
func (e *Endpoint) Send(peer int, data []byte) {
	if len(data) > maxDatagramBytes {
		return
	}
	var to netip.AddrPort
	switch {
	case peer >= 0 && peer < len(e.peers) && peer != e.own:
		to = e.peers[peer]
	case peer == scheduler.AllPeers && e.broadcast.IsValid():
		to = e.broadcast
	default:
		return
	}
	_, _ = e.conn.WriteToUDPAddrPort(data, to) // a datagram may be lost anyway
}

// Run passes received messages to post until the endpoint is closed. It drops datagrams that are too long or do not
// come from a peer.
func (e *Endpoint) Run(post func(broker.PeerMessage)) {
	buffer := make([]byte, maxDatagramBytes+1) // one byte more, to detect longer datagrams
	for {
		n, from, err := e.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // caused by an earlier send, for example to a peer that is down
			continue
		}
		if sender := e.senderAt(from); sender >= 0 && n <= maxDatagramBytes {
			post(broker.PeerMessage{From: sender, Data: bytes.Clone(buffer[:n])})
		}
	}
}

// senderAt returns the number of the peer with the given address, or -1 if there is none.
func (e *Endpoint) senderAt(address netip.AddrPort) int {
	unmapped := netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
	for number, peer := range e.peers {
		if peer == unmapped && number != e.own {
			return number
		}
	}
	return -1
}

// Close closes the socket, which ends Run.
func (e *Endpoint) Close() error { return e.conn.Close() }
