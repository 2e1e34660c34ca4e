// Package peer carries short messages between brokers as UDP datagrams.
//
// A message is one datagram of at most maxDatagramBytes. Datagrams may be lost, repeated or reordered, and the package
// does nothing about it: the messages are gossip, of which the next one replaces the last. Only the addresses of
// configured peers are heard.
//
// Endpoint owns its socket. Endpoint.Run reads it in the goroutine of its caller and returns after Endpoint.Close.
// Nothing outlives the process.
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

// maxDatagramBytes bounds a message; a longer one is neither sent nor heard. The protocol sets it.
const maxDatagramBytes = 256

// Endpoint is this broker's end of the exchange with its peers. Its methods may be called from any goroutine.
type Endpoint struct {
	conn      *net.UDPConn
	peers     []netip.AddrPort // by the peers' numbers, this broker included
	broadcast netip.AddrPort   // reaches all peers, not valid without one
	own       int              // this broker's number
}

// Listen opens an endpoint. peers are the addresses of all brokers by their numbers, this one (own) included; all is
// the address that reaches all of them, empty for none. An error names the faulty key of the configuration.
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

// Send sends data to one peer or, with scheduler.AllPeers, to all others. What cannot be sent is lost, as any datagram
// may be.
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

// Run posts what comes in until the endpoint is closed. Datagrams from elsewhere or too long are dropped.
func (e *Endpoint) Run(post func(broker.PeerMessage)) {
	buffer := make([]byte, maxDatagramBytes+1) // so that a longer datagram is noticed
	for {
		n, from, err := e.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // of an earlier send, as to a peer that is down
			continue
		}
		if sender := e.senderAt(from); sender >= 0 && n <= maxDatagramBytes {
			post(broker.PeerMessage{From: sender, Data: bytes.Clone(buffer[:n])})
		}
	}
}

// senderAt returns the number of the other broker with an address, below 0 for none.
func (e *Endpoint) senderAt(address netip.AddrPort) int {
	unmapped := netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
	for number, peer := range e.peers {
		if peer == unmapped && number != e.own {
			return number
		}
	}
	return -1
}

// Close ends Run.
func (e *Endpoint) Close() error { return e.conn.Close() }
