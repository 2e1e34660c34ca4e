package peer

import (
	"net"
	"testing"
	"time"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

// Only peers are heard, by the number of their address, and no datagram exceeds 256 bytes.
func TestLink(t *testing.T) {
	socket := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	other, all, stranger, own := socket(), socket(), socket(), socket()
	address := own.LocalAddr().String()
	own.Close()
	link, err := Listen(address, []string{other.LocalAddr().String(), address}, all.LocalAddr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	heard, done := make(chan broker.Event, 8), make(chan struct{})
	go func() { link.Run(func(e broker.PeerMessage) { heard <- e }); close(done) }()
	read := func(c *net.UDPConn) string {
		b := make([]byte, 512)
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		n, _, err := c.ReadFromUDP(b)
		if err != nil {
			t.Fatal(err)
		}
		return string(b[:n])
	}
	link.Send(0, make([]byte, maxDatagram+1))
	link.Send(1, []byte("self"))
	link.Send(0, []byte("one"))
	link.Send(scheduler.AllPeers, []byte("all"))
	if got := read(other) + read(all); got != "oneall" {
		t.Errorf("%q", got)
	}
	to := net.UDPAddrFromAddrPort(link.conn.LocalAddr().(*net.UDPAddr).AddrPort())
	stranger.WriteToUDP([]byte("x"), to)
	other.WriteToUDP(make([]byte, maxDatagram+1), to)
	other.WriteToUDP([]byte("news"), to)
	if e := (<-heard).(broker.PeerMessage); e.From != 0 || string(e.Data) != "news" {
		t.Errorf("%+v", e)
	}
	link.Close()
	<-done
}
