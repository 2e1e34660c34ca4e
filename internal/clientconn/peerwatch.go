package clientconn

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// PeerCheckInterval is the interval at which a connection whose input is not read is checked for a close by its peer.
// With a larger value, requests of disconnected clients would be forwarded for longer. With a smaller value, such
// connections would cost more processor time.
const PeerCheckInterval = 50 * time.Millisecond

// PeerClosed reports whether the peer has closed its sending side or the connection, even if unread bytes precede the
// close.
func PeerClosed(conn net.Conn) bool {
	peerClosed := false
	err := control(conn, func(fd int) error {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		ready, err := unix.Poll(fds, 0)
		peerClosed = ready == 1 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		return err
	})
	return err == nil && peerClosed
}

// WhileWatchingPeer calls wait, which blocks the goroutine that reads from conn. If the peer closes the connection
// meanwhile, WhileWatchingPeer calls onClosed once, from another goroutine. onClosed must end the wait. The blocked
// reader cannot detect the close itself: an end of file is read only after all input before it.
func WhileWatchingPeer(conn net.Conn, wait, onClosed func()) {
	done := make(chan struct{})
	defer close(done)
	go func() {
		ticker := time.NewTicker(PeerCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			if PeerClosed(conn) {
				onClosed()
				return
			}
		}
	}()
	wait()
}
