package clientconn

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// drainChunkBytes is the size in bytes of one read of an InputDrain.
	drainChunkBytes = 64 << 10
	// drainBurstBytes is the input that all connections of a server may have discarded at once. It covers what the
	// sockets of one client hold. With a smaller value, the end of file behind that input would be found late.
	drainBurstBytes = 16 << 20
	// drainBytesPerSecond bounds the input that all connections of a server have discarded in the long run. With a
	// larger value, clients that keep sending would take processor time from other clients.
	drainBytesPerSecond = 64 << 20
)

// InputDrain discards the input of connections whose commands are not handled any more, but which still owe answers.
// All connections of a server share its rate. Its methods may be called from any goroutine.
type InputDrain struct {
	limiter *rate.Limiter
	buffers sync.Pool
}

// NewInputDrain returns an InputDrain for the connections of one server.
func NewInputDrain() *InputDrain {
	return &InputDrain{
		limiter: rate.NewLimiter(drainBytesPerSecond, drainBurstBytes),
		buffers: sync.Pool{New: func() any { return new([drainChunkBytes]byte) }},
	}
}

// UntilPeerCloses discards the input of a connection until the connection ends. It reports whether the connection ended
// because the peer closed it or it failed, and not because of a local close or an earlier read deadline. While other
// connections use up the rate, it reads nothing, but still notices a close of the peer that the socket knows of.
func (d *InputDrain) UntilPeerCloses(conn net.Conn) (peerClosed bool) {
	_ = conn.SetReadDeadline(time.Time{}) // fails only if the connection has ended, as does the read
	buffer := d.buffers.Get().(*[drainChunkBytes]byte)
	defer d.buffers.Put(buffer)
	for {
		if d.awaitTurn(conn) {
			return true
		}
		if _, err := conn.Read(buffer[:]); err != nil {
			return !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
		}
	}
}

// awaitTurn waits until the rate allows one more read. It returns true early if the peer closes the connection.
func (d *InputDrain) awaitTurn(conn net.Conn) (peerClosed bool) {
	for {
		turn := d.limiter.ReserveN(time.Now(), drainChunkBytes)
		delay := turn.Delay()
		if delay <= PeerCheckInterval {
			time.Sleep(delay)
			return false
		}
		turn.Cancel()
		time.Sleep(PeerCheckInterval)
		if PeerClosed(conn) {
			return true
		}
	}
}
