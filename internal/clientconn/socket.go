package clientconn

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
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
// reached. Closing a connection with unread input would reset it, which might destroy an answer that was already
// written.
func DiscardInput(conn net.Conn, deadline time.Time, maxBytes int) {
	_ = conn.SetReadDeadline(deadline) // fails only if the connection has ended, as does the read
	buffer := make([]byte, discardBufferSize)
	for discarded := 0; discarded < maxBytes; {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		discarded += n
	}
}

// WriteAll writes buffers to a connection, however long the peer takes to read them. It fails if the peer accepts no
// byte for stallTimeout.
func WriteAll(conn net.Conn, out net.Buffers, stallTimeout time.Duration) error {
	for {
		if err := conn.SetWriteDeadline(time.Now().Add(stallTimeout)); err != nil {
			return err
		}
		n, err := out.WriteTo(conn)
		if n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
	}
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
