package resp

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"junctionwharf/internal/clientconn"
)

const (
	// maxNodeValueBytes bounds a node's value, which may be longer than the value of a request. The protocol defines
	// this bound.
	maxNodeValueBytes = 4 << 20
	// pieceBytes is the number of bytes of a long value that are buffered at a time. A larger buffer would cost more
	// memory for each stream. A smaller buffer would cost more system calls.
	pieceBytes = 16 << 10
	// pieceTimeout is how long a node may send nothing, or a client accept nothing. With a shorter timeout slow clients
	// would be disconnected. With a longer timeout a stalled client would occupy its node's connection for longer.
	pieceTimeout = 10 * time.Second
)

var (
	errStreamCut       = errors.New("value was not forwarded to the client completely")
	errStreamAbandoned = errors.New("no client waits for the value")
)

// stream is a long value of a node that is forwarded piece by piece, as fast as its client accepts it. The goroutine of
// the node's exchange blocks in wait while the client's writer writes the earlier answers of the connection and then
// runs passTo. Only the writer limits the time of the value: it fails if the client accepts nothing or the node sends
// nothing for pieceTimeout, and then abandons all values of its connection. stream implements broker.Streaming.
type stream struct {
	size           int
	reader         *bufio.Reader
	setReadTimeout func(time.Duration) // sets the timeout for the node's next bytes
	result         chan error          // the error of forwarding, nil if the value was forwarded completely
	end            sync.Once           // guards the send on result
	onEnd          func(complete bool) // set before the client's writer gets the stream, may be nil
}

func newStream(size int, reader *bufio.Reader, setReadTimeout func(time.Duration)) *stream {
	return &stream{
		size:           size,
		reader:         reader,
		setReadTimeout: setReadTimeout,
		result:         make(chan error, 1),
	}
}

// OnEnd implements broker.Streaming.
func (s *stream) OnEnd(call func(complete bool)) { s.onEnd = call }

// Close implements io.Closer. The loop closes a value for which no client waits.
func (s *stream) Close() error {
	s.abandon()
	return nil
}

// abandon ends the stream because no client waits for its value.
func (s *stream) abandon() { s.finish(errStreamAbandoned) }

// finish ends the stream with an error, or with nil for success. Only the first call has an effect.
func (s *stream) finish(err error) {
	s.end.Do(func() {
		s.result <- err
		if s.onEnd != nil {
			s.onEnd(err == nil)
		}
	})
}

// wait returns when the stream has ended or stopped is closed. It returns nil if the value was forwarded completely.
func (s *stream) wait(stopped <-chan struct{}) error {
	select {
	case err := <-s.result:
		return err
	case <-stopped:
		return errStreamAbandoned
	}
}

var pieceBuffers = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

// passTo writes the value and its line end to the client. After an error the client has not received the whole value,
// and its connection must be closed, so that the client detects that the value is incomplete.
func (s *stream) passTo(conn net.Conn) error {
	err := errStreamCut
	defer func() { s.finish(err) }() // also after a panic, since the node's exchange waits for it
	if cause := s.copyTo(conn); cause != nil {
		err = fmt.Errorf("%w: %w", errStreamCut, cause)
		return err
	}
	err = nil
	return nil
}

// copyTo copies the value and its line end to the client's connection.
func (s *stream) copyTo(conn net.Conn) error {
	piece := pieceBuffers.Get().(*[pieceBytes]byte)
	defer pieceBuffers.Put(piece)
	for left := s.size; left > 0; {
		s.setReadTimeout(pieceTimeout)
		n, err := s.reader.Read(piece[:min(left, pieceBytes)])
		if err != nil {
			return err
		}
		if err := writeAll(conn, net.Buffers{piece[:n]}); err != nil {
			return err
		}
		left -= n
	}
	s.setReadTimeout(pieceTimeout)
	ending := piece[:len(lineEnd)]
	if _, err := io.ReadFull(s.reader, ending); err != nil {
		return err
	}
	if string(ending) != lineEnd {
		return errReply // the client gets no line end, so that it detects the malformed value
	}
	return writeAll(conn, net.Buffers{ending})
}

// writeAll writes to a client. It fails if the client accepts no byte for pieceTimeout.
func writeAll(conn net.Conn, out net.Buffers) error {
	return clientconn.WriteAll(conn, out, pieceTimeout)
}
