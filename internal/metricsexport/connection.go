package metricsexport

import (
	"context"
	"errors"
	"io"
	"net"

	"junctionwharf/telemetry"
)

const (
	// sendBuffer bounds the bytes that the operating system takes for a sink that does not read. Higher, a dead sink
	// is noticed later, and what the system holds counts as sent though it is lost; lower, a healthy one gets its
	// intervals in more, smaller writes.
	sendBuffer = 64 << 10
	// discardBuffer is for what a sink sends, which is ignored.
	discardBuffer = 512
)

// errConnectionEnded stands for io.EOF in log lines and notifications.
var errConnectionEnded = errors.New("it ended the connection")

// dial connects in a goroutine that ends with the dial; disconnect cancels it.
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
			_ = tcp.SetWriteBuffer(sendBuffer) // without it the sink works, and is noticed later when it is dead
		}
		s.connected(id, conn)
	}()
}

// connected takes a connection into use, or closes it if the dial was cancelled meanwhile.
func (s *sink) connected(id int, conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id != s.connectionID {
		_ = conn.Close() // nothing was written on it
		return
	}
	s.conn = conn
	go s.awaitEnd(id, conn)
	s.reduceLocked(telemetry.Connected{})
}

// disconnect cancels the dial in progress and closes the connection, which ends their goroutines. The close runs in a
// goroutine of its own: the caller holds the lock.
func (s *sink) disconnect() {
	s.connectionID++
	if s.cancelDial != nil {
		s.cancelDial()
		s.cancelDial = nil
	}
	if s.conn != nil {
		conn := s.conn
		s.conn = nil
		go func() { _ = conn.Close() }() // what was not sent is sent again or counted as dropped
	}
}

// reduceFrom takes an event of a connection, if that is still the one in use. An event of an earlier connection would
// be taken for one of the new connection, and end it.
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

// awaitEnd reports the connection's end as soon as it comes; without it, a sink that restarted would be noticed at the
// next write. It ends with the connection.
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

// write writes a frame in a goroutine of its own, which ends with the write; closing the connection ends it early.
func (s *sink) write(id int, conn net.Conn, frame []byte) {
	if _, err := conn.Write(frame); err != nil {
		s.reduceFrom(id, telemetry.ConnectionFailed{Err: err})
		return
	}
	s.reduceFrom(id, telemetry.FrameWritten{})
}
