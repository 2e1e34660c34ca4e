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

// successorIndex is the index of the successor's listener: the kernel numbers the listeners at one address in the order
// in which they were opened, and this process's listener has index 0. Once this process's listener is closed, no
// listener has successorIndex, and the kernel then chooses a listener by itself.
const successorIndex = 1

// errNoSocketAccess is returned for a listener or connection that does not give access to its socket.
var errNoSocketAccess = errors.New("socket is not accessible")

// listenShared listens at an address that another process of the same user may listen at too.
var listenShared = net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
	return withSocket(raw, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
}}

// withSocket calls set with the file descriptor of raw and returns the error of either call.
func withSocket(raw syscall.RawConn, set func(fd int) error) error {
	var setError error
	if err := raw.Control(func(fd uintptr) { setError = set(int(fd)) }); err != nil {
		return err
	}
	return setError
}

// Listen listens for TCP connections at an address that another process of the same user may listen at too. It turns
// off Multipath TCP, Go's default, because RedirectNewConnections does not work with it.
func Listen(address string) (net.Listener, error) {
	config := listenShared
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp", address)
}

// ListenPacket listens for datagrams at an address that another process of the same user may listen at too.
func ListenPacket(address string) (*net.UDPConn, error) {
	conn, err := listenShared.ListenPacket(context.Background(), "udp", address)
	if err != nil {
		return nil, err
	}
	udp, isUDP := conn.(*net.UDPConn)
	if !isUDP { // unexpected: "udp" always gives a UDPConn
		_ = conn.Close()
		return nil, fmt.Errorf("%s: %w", address, errNoSocketAccess)
	}
	return udp, nil
}

// RedirectNewConnections makes the kernel direct all new connections to the successor's listener. Connections that are
// already queued at this listener stay there.
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

// AddressInUse reports whether a process listens at an address. It must be called before this process listens there.
// It also returns true if it cannot determine the answer. It binds a socket but does not listen, so no client can
// connect to the socket.
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
	defer func() { _ = unix.Close(fd) }() // the socket was never connected
	// With this option, connections that ended recently do not keep the address in use. If setting the option fails,
	// the result may be true although no process listens. Limits are then shared needlessly, but not exceeded.
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	return unix.Bind(fd, target) != nil
}

// socketAddress converts an address to the arguments of system calls.
func socketAddress(address netip.AddrPort) (family int, target unix.Sockaddr) {
	port := int(address.Port())
	if address.Addr().Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: port, Addr: address.Addr().As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: port, Addr: address.Addr().As16()}
}
