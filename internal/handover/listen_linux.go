package handover

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// successorIndex is the place of a successor's listener among two: the kernel keeps them in the order in which they
// came. Once the first is closed there is no second, and the kernel goes back to its own choice.
const successorIndex = 1

// errNoSocketAccess is of a listener that does not give access to its socket.
var errNoSocketAccess = errors.New("no access to the listener's socket")

// listenShared listens at an address that another process of this user may share.
var listenShared = net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
	return withSocket(raw, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
}}

// withSocket calls set with a connection's file descriptor.
func withSocket(raw syscall.RawConn, set func(fd int) error) error {
	var setError error
	if err := raw.Control(func(fd uintptr) { setError = set(int(fd)) }); err != nil {
		return err
	}
	return setError
}

// Listen listens for connections at an address that another process of this user may share. Multipath TCP, which Go
// listens for by default, would not let RedirectNewConnections choose.
func Listen(address string) (net.Listener, error) {
	config := listenShared
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp", address)
}

// ListenPacket listens for datagrams in the same way.
func ListenPacket(address string) (*net.UDPConn, error) {
	conn, err := listenShared.ListenPacket(context.Background(), "udp", address)
	if err != nil {
		return nil, err
	}
	udp, isUDP := conn.(*net.UDPConn)
	if !isUDP { // the network "udp" has no other type
		_ = conn.Close()
		return nil, fmt.Errorf("%s: %w", address, errNoSocketAccess)
	}
	return udp, nil
}

// RedirectNewConnections has the kernel give all new connections to the successor's listener. What waits in the queue
// of this listener stays there.
func RedirectNewConnections(listener net.Listener) error {
	conn, hasSocket := listener.(syscall.Conn)
	if !hasSocket {
		return errNoSocketAccess
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	choice := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: successorIndex}
	program := unix.SockFprog{Len: 1, Filter: &choice}
	return withSocket(raw, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF, &program)
	})
}

// AddressInUse reports whether another process listens at an address, which this one does not yet, or that cannot be
// known. It only binds and does not listen: no client reaches it.
func AddressInUse(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return true
	}
	family, target := socketAddress(parsed)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return true
	}
	defer func() { _ = unix.Close(fd) }() // it was never connected
	// Connections that ended a moment ago do not count. If the option fails they do, and the caller is only more
	// careful.
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	return unix.Bind(fd, target) != nil
}

// socketAddress is an address for system calls, with its family.
func socketAddress(address netip.AddrPort) (family int, target unix.Sockaddr) {
	port := int(address.Port())
	if address.Addr().Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: port, Addr: address.Addr().As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: port, Addr: address.Addr().As16()}
}
