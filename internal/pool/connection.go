package pool

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"
)

// readBufferSize is the size of a connection's read buffer in bytes. A larger buffer would cost more memory, since
// there are thousands of connections. With a smaller buffer, a short answer would need several reads.
const readBufferSize = 4 << 10

// connection is a connection to a node together with its buffered reader.
type connection struct {
	net.Conn
	reader   *bufio.Reader
	lastUsed time.Time
}

func newConnection(conn net.Conn) *connection {
	return &connection{Conn: conn, reader: bufio.NewReaderSize(conn, readBufferSize), lastUsed: time.Now()}
}

// IsQuiet reports whether conn is open, the peer has not closed its sending side, and the socket holds no unread bytes.
func IsQuiet(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) { // unlike RawConn.Read, Control does not wait for a concurrent read
		var next [1]byte
		_, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK)
	})
	return err == nil && quiet
}
