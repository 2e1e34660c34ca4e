package metricsexport

import (
	"context"
	"errors"
	"io"
	"net"

	"junctionwharf/telemetry"
)

const (
	// sendBuffer bounds the bytes that the operating system buffers for a sink that does not read. With a larger
	// buffer, a dead sink is detected later, and the buffered bytes count as sent although they are lost. With a
	// smaller buffer, a healthy sink receives its intervals in more and smaller writes.
	sendBuffer = 64 << 10
	// discardBuffer is the size of the buffer for data from a sink, which is ignored.
	discardBuffer = 512
)

// errConnectionEnded replaces io.EOF in log lines and notifications.
var errConnectionEnded = errors.New("it ended the connection")

// dial connects in a goroutine, which ends with the dial. disconnect cancels the dial.
func (s *sink) dial() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancelDial = cancel
	id := s.connectionID
	go func() {
		conn, err := new(net.Dialer).DialContext(ctx, s.target.network, s.target.address)
		if err != nil {
			s.reduceFrom(id, telemetry.ConnectionFailed{Err: err})
			return
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(sendBuffer) // if this fails, a dead sink is detected later
		}
		s.connected(id, conn)
	}()
}

// connected starts to use a connection, or closes it if the dial has been canceled.
func (s *sink) connected(id int, conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id != s.connectionID {
		_ = conn.Close() // the connection was never used
		return
	}
	s.conn = conn
	go s.awaitEnd(id, conn)
	s.reduceLocked(telemetry.Connected{})
}

// disconnect cancels the dial in progress and closes the connection. This ends the goroutines of both. The close runs
// in its own goroutine, since the caller holds the lock.
func (s *sink) disconnect() {
	s.connectionID++
	if s.cancelDial != nil {
		s.cancelDial()
		s.cancelDial = nil
	}
	if s.conn != nil {
		conn := s.conn
		s.conn = nil
		go func() { _ = conn.Close() }() // the state machine sends the unsent batch again or drops it
	}
}

// reduceFrom handles an event of a connection if that connection is still in use. Without the check, an event of an
// earlier connection would end the new connection.
func (s *sink) reduceFrom(id int, event telemetry.SinkEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id != s.connectionID {
		return
	}
	if _, failed := event.(telemetry.ConnectionFailed); failed {
		s.disconnect()
	}
	s.reduceLocked(event)
}

// awaitEnd reports the end of the connection at once. Without it, the restart of a sink would only be detected at the
// next write. Its goroutine ends with the connection.
func (s *sink) awaitEnd(id int, conn net.Conn) {
	ignored := make([]byte, discardBuffer)
	for {
		_, err := conn.Read(ignored)
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			err = errConnectionEnded
		}
		s.reduceFrom(id, telemetry.ConnectionFailed{Err: err})
		return
	}
}

// write writes a frame. It runs in its own goroutine, which ends with the write. Closing the connection aborts the
// write.
func (s *sink) write(id int, conn net.Conn, frame []byte) {
	if _, err := conn.Write(frame); err != nil {
		s.reduceFrom(id, telemetry.ConnectionFailed{Err: err})
		return
	}
	s.reduceFrom(id, telemetry.FrameWritten{})
}
