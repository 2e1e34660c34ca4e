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
	// rejectReadTimeout is how long a connection over the limit may take to send something. Higher, silent newcomers
	// would hold the few slots for rejections; lower, slow clients would get no answer.
	rejectReadTimeout = 200 * time.Millisecond
	// rejectBufferSize is the size in bytes of the buffer for what a rejected connection sends.
	rejectBufferSize = 2048
	// maxLingerTime bounds the time between a rejection and the end of its connection. Higher, a client that goes on
	// sending would hold its slot for longer; lower, a reset could overtake the answer while a large value comes.
	maxLingerTime = time.Second / 2
	// lingerStep is the time without input after which a rejected connection ends while others wait for its slot.
	lingerStep = time.Millisecond
	// inputGrace is how long a connection that ends waits for input that is on its way: longer than a request is, since
	// input that comes after the close resets the peer. Higher, its slot would be taken for longer.
	inputGrace = 10 * time.Millisecond
)

var rejectBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, rejectBufferSize)
	return &buffer
}}

// reject answers a connection over the limit: a request with its rejection, a greeting with its answer, silence with
// the end. It buffers no request and knows no class.
func (s *Server) reject(conn net.Conn) {
	buffer := rejectBuffers.Get().(*[]byte)
	defer rejectBuffers.Put(buffer)
	_ = conn.SetReadDeadline(time.Now().Add(rejectReadTimeout)) // fails on a closed connection only, as the read does
	n, err := conn.Read(*buffer)
	if n == 0 || err != nil {
		return
	}
	answer := s.limits.Load().busyLine
	if strings.EqualFold(string((*buffer)[:n]), pingCommand) {
		answer = []byte(pongLine)
	}
	_ = conn.SetWriteDeadline(time.Now().Add(inputGrace)) // fails on a closed connection only, as the write does
	if _, err := conn.Write(answer); err != nil {
		return
	}
	clientconn.CloseWrite(conn)
	s.discardRest(conn, *buffer)
}

// discardRest reads and discards what comes after a rejection until nothing comes any more. A close with unread input
// would be a reset, which could overtake the answer.
func (s *Server) discardRest(conn net.Conn, buffer []byte) {
	quietFor := time.Duration(0)
	for end := time.Now().Add(maxLingerTime); time.Now().Before(end); {
		_ = conn.SetReadDeadline(time.Now().Add(lingerStep)) // fails on a closed connection only, as the read does
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
