package peer

import (
	"net"
	"testing"
	"time"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

// waitLimit is how long a test waits for a datagram before it fails.
const waitLimit = 5 * time.Second

func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// receive reads a datagram.
func receive(t *testing.T, conn *net.UDPConn) string {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(waitLimit)); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 2*maxDatagramBytes)
	n, _, err := conn.ReadFromUDPAddrPort(buffer)
	if err != nil {
		t.Fatal(err)
	}
	return string(buffer[:n])
}

func send(t *testing.T, from *net.UDPConn, data []byte, to *net.UDPAddr) {
	t.Helper()
	if _, err := from.WriteToUDP(data, to); err != nil {
		t.Fatal(err)
	}
}

// Only datagrams from peers must be received, with the peer's number as sender. A broker must send nothing to itself.
// Datagrams of more than 256 bytes must be neither sent nor received.
func TestEndpoint(t *testing.T) {
	other := listenUDP(t)
	all := listenUDP(t)
	stranger := listenUDP(t)
	own := listenUDP(t)
	address := own.LocalAddr().String()
	if err := own.Close(); err != nil {
		t.Fatal(err)
	}
	peers := []string{other.LocalAddr().String(), address}
	endpoint, err := Listen(address, peers, all.LocalAddr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	messages := make(chan broker.PeerMessage, 8)
	ended := make(chan struct{})
	go func() {
		endpoint.Run(func(m broker.PeerMessage) { messages <- m })
		close(ended)
	}()
	tooLong := make([]byte, maxDatagramBytes+1)
	endpoint.Send(0, tooLong)
	endpoint.Send(1, []byte("self"))
	endpoint.Send(0, []byte("one"))
	endpoint.Send(scheduler.AllPeers, []byte("all"))
	if got := receive(t, other) + receive(t, all); got != "oneall" {
		t.Errorf("peer and broadcast address received %q, want %q", got, "oneall")
	}
	to := endpoint.conn.LocalAddr().(*net.UDPAddr)
	send(t, stranger, []byte("x"), to)
	send(t, other, tooLong, to)
	send(t, other, []byte("message"), to)
	if m := <-messages; m.From != 0 || string(m.Data) != "message" {
		t.Errorf("message %+v, want the datagram of peer 0", m)
	}
	if err := endpoint.Close(); err != nil {
		t.Error(err)
	}
	<-ended
}
