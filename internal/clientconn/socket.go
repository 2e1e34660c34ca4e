package clientconn

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// discardBufferSize is the size in bytes of the buffer of one read that discards input.
const discardBufferSize = 4 << 10

// CloseWrite closes the sending side of a connection. The peer then reads EOF. Data from the peer can still be read.
func CloseWrite(conn net.Conn) {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // fails only if the connection has ended
	}
}

// DiscardInput reads and discards input until the connection ends, at least maxBytes are discarded, or the deadline is
// reached. A zero deadline means no deadline. Closing a connection with unread input would reset it, which might
// destroy an answer that was already written. DiscardInput reports whether the connection ended because the peer closed
// it or it failed, and not because of a local close.
func DiscardInput(conn net.Conn, deadline time.Time, maxBytes int) (peerClosed bool) {
	_ = conn.SetReadDeadline(deadline) // fails only if the connection has ended, as does the read
	buffer := make([]byte, discardBufferSize)
	for discarded := 0; discarded < maxBytes; {
		n, err := conn.Read(buffer)
		if err != nil {
			return !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
		}
		discarded += n
	}
	return false
}

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

// control calls a function with the file descriptor of a connection or a listener and returns the function's error.
func control(socket any, call func(fd int) error) error {
	sys, ok := socket.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return err
	}
	var callErr error
	if err := raw.Control(func(fd uintptr) { callErr = call(int(fd)) }); err != nil {
		return err
	}
	return callErr
}
