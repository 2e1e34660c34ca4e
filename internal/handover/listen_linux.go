package handover

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

var shared = net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
	var failed error
	if err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}); err != nil {
		return err
	}
	return failed
}}

// Listen listens for connections at an address that another process of this user may share. Multipath TCP, which Go
// listens for by default, would not let RedirectNewConnections choose.
func Listen(address string) (net.Listener, error) {
	shared := shared
	shared.SetMultipathTCP(false)
	return shared.Listen(context.Background(), "tcp", address)
}

// ListenPacket listens for datagrams in the same way.
func ListenPacket(address string) (*net.UDPConn, error) {
	conn, err := shared.ListenPacket(context.Background(), "udp", address)
	if err != nil {
		return nil, err
	}
	return conn.(*net.UDPConn), nil
}

// second is the place of a successor's listener among two: the kernel keeps them in the order in which they came. Once
// the first is closed there is no second, and the kernel goes back to its own choice.
const second = 1

// RedirectNewConnections has the kernel give all new connections to the successor's listener. What waits in the queue of ln
// stays there.
func RedirectNewConnections(ln net.Listener) error {
	raw, err := ln.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	choice := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: second}
	program := unix.SockFprog{Len: 1, Filter: &choice}
	var failed error
	if err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF, &program)
	}); err != nil {
		return err
	}
	return failed
}
