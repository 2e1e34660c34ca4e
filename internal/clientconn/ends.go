package clientconn

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// EndOfFile has a peer read an end of file, while what it sends can still be read.
func EndOfFile(conn net.Conn) {
	if half, can := conn.(interface{ CloseWrite() error }); can {
		half.CloseWrite()
	}
}

// Drop reads from a connection and drops what comes, until it or its peer ends it, most bytes came, or a time is reached (the zero time
// for none). It tells whether the peer ended it.
func Drop(conn net.Conn, until time.Time, most int) (left bool) {
	conn.SetReadDeadline(until)
	scratch := make([]byte, 4<<10)
	for dropped := 0; dropped < most; {
		n, err := conn.Read(scratch)
		if err != nil {
			return !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
		}
		dropped += n
	}
	return false
}

// PeerLeft tells whether a peer has ended its connection, even if bytes stand unread before that.
func PeerLeft(conn net.Conn) bool {
	left := false
	err := control(conn, func(fd int) error {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		left = n == 1 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		return err
	})
	return err == nil && left
}

var errNoneWaits = errors.New("no connection waits")

// acceptWaiting accepts a connection that waits in the kernel's queue. It waits for none.
func acceptWaiting(ln net.Listener) (net.Conn, error) {
	accepted := -1
	if control(ln, func(fd int) (err error) {
		accepted, _, err = unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		return err
	}) != nil {
		return nil, errNoneWaits
	}
	file := os.NewFile(uintptr(accepted), "accepted")
	defer file.Close() // FileConn has its own
	return net.FileConn(file)
}

// control calls a function with the descriptor of a connection or a listener, and returns its error.
func control(socket any, call func(fd int) error) error {
	sys, ok := socket.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = call(int(fd)) }); err != nil {
		return err
	}
	return failed
}
