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

// dropTime bounds how long what comes is dropped where a pause would end it.
const dropTime = time.Second / 2

// Drop reads from a connection and drops what comes, until it or its peer ends it, or most bytes came; with a pause above 0 also once
// nothing has come for that, or dropTime is over. It tells whether the peer ended it.
func Drop(conn net.Conn, pause time.Duration, most int) (left bool) {
	scratch := make([]byte, 4<<10)
	end := time.Now().Add(dropTime)
	for dropped := 0; dropped < most && (pause == 0 || time.Now().Before(end)); {
		if pause > 0 {
			conn.SetReadDeadline(time.Now().Add(pause))
		} else {
			conn.SetReadDeadline(time.Time{})
		}
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
