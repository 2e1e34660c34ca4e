package front

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

// AwaitEnd waits until a peer ends its connection, for so long at the most. It reads nothing.
func AwaitEnd(conn net.Conn, most time.Duration) {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return
	}
	end := time.Now().Add(most)
	conn.SetReadDeadline(end)
	came := false
	if raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		came = n > 0
		return !errors.Is(err, unix.EAGAIN)
	}) == nil && came {
		time.Sleep(time.Until(end)) // behind what stands unread its end can't be seen
	}
}

// Drop reads from a connection and drops what comes, until it or its peer ends it, or most bytes came. It tells whether the peer
// ended it.
func Drop(conn net.Conn, most int) (left bool) {
	conn.SetReadDeadline(time.Time{})
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
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		left = err == nil && n == 1 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err == nil && left
}

var errNoneWaits = errors.New("no connection waits")

// acceptWaiting accepts a connection that waits in the kernel's queue. It waits for none.
func acceptWaiting(ln net.Listener) (net.Conn, error) {
	sys, ok := ln.(syscall.Conn)
	if !ok {
		return nil, errNoneWaits
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return nil, errNoneWaits
	}
	accepted := -1
	if raw.Control(func(fd uintptr) {
		accepted, _, err = unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	}) != nil || err != nil {
		return nil, errNoneWaits
	}
	file := os.NewFile(uintptr(accepted), "accepted")
	defer file.Close() // FileConn has its own
	return net.FileConn(file)
}
