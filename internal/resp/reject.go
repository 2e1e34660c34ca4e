package resp

import (
	"errors"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"junctionwharf/internal/clientconn"
)

const (
	// rejectReadTimeout is how long a connection over the limit may take to send its first bytes. A larger value would
	// let silent connections occupy the few slots for rejections. With a smaller value slow clients would get no
	// answer.
	rejectReadTimeout = 200 * time.Millisecond
	// rejectBufferSize is the size in bytes of the buffer for the input of a rejected connection.
	rejectBufferSize = 2048
	// maxLingerTime bounds the time from a rejection to the close of its connection. With a larger value a client that
	// keeps sending would occupy its slot for longer. With a smaller value a reset could overtake the answer while a
	// large request still arrives.
	maxLingerTime = time.Second / 2
	// lingerStep is the time without input after which a rejected connection is closed if other connections wait for
	// its slot.
	lingerStep = time.Millisecond
	// inputGrace is how long the server waits for input in transit before it closes a connection. It is longer than the
	// transit time of a request, since input that arrives after the close resets the connection. With a larger value
	// connections would occupy their slots for longer.
	inputGrace = 10 * time.Millisecond
)

var rejectBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, rejectBufferSize)
	return &buffer
}}

// reject answers a connection over the limit: a greeting with its answer, and any other input with a rejection. A
// silent connection gets no answer. reject buffers no request and does not look for its class. The caller closes conn.
func (s *Server) reject(conn net.Conn) {
	buffer := rejectBuffers.Get().(*[]byte)
	defer rejectBuffers.Put(buffer)
	_ = conn.SetReadDeadline(time.Now().Add(rejectReadTimeout)) // fails only on a closed connection, as does the read
	n, err := conn.Read(*buffer)
	if n == 0 || err != nil {
		return
	}
	answer := s.limits.Load().busyLine
	if strings.EqualFold(string((*buffer)[:n]), pingCommand) {
		answer = []byte(pongLine)
	}
	_ = conn.SetWriteDeadline(time.Now().Add(inputGrace)) // fails only on a closed connection, as does the write
	if _, err := conn.Write(answer); err != nil {
		return
	}
	clientconn.CloseWrite(conn)
	s.discardRest(conn, *buffer)
}

// discardRest reads and discards the input after a rejection until no more arrives for inputGrace, or for lingerStep if
// other connections wait for a slot. A close with unread input would reset the connection, and the reset could overtake
// the answer.
func (s *Server) discardRest(conn net.Conn, buffer []byte) {
	quietFor := time.Duration(0)
	for end := time.Now().Add(maxLingerTime); time.Now().Before(end); {
		_ = conn.SetReadDeadline(time.Now().Add(lingerStep)) // fails only on a closed connection, as does the read
		_, err := conn.Read(buffer)
		if err == nil {
			quietFor = 0
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		quietFor += lingerStep
		if quietFor >= inputGrace || s.HasWaiters() {
			return
		}
	}
}
