package pool

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"
)

// readBufferSize is the size of a connection's read buffer in bytes. Larger, each of thousands of connections would
// hold more memory; smaller, a short answer would take several reads.
const readBufferSize = 4 << 10

// connection is a connection to a node with what its reader has buffered.
type connection struct {
	net.Conn
	reader   *bufio.Reader
	lastUsed time.Time
}

func newConnection(conn net.Conn) *connection {
	return &connection{Conn: conn, reader: bufio.NewReaderSize(conn, readBufferSize), lastUsed: time.Now()}
}

// IsQuiet reports whether a connection is open and no byte of its peer stands unread in its socket.
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
	err = raw.Control(func(fd uintptr) { // RawConn.Read would wait for a goroutine that reads
		var next [1]byte
		_, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK)
	})
	return err == nil && quiet
}
