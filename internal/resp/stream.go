package resp

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// maxNodeValueBytes bounds a node's value: nodes give more than a request may hold. The protocol sets it.
	maxNodeValueBytes = 4 << 20
	// pieceBytes is how much of a long value is buffered at a time. Higher, each stream takes more memory; lower, it
	// takes more system calls.
	pieceBytes = 16 << 10
	// pieceTimeout bounds the time in which a node gives nothing, or a client takes nothing. Lower, slow clients would
	// be cut off; higher, a stalled one would hold its node's connection for longer.
	pieceTimeout = 10 * time.Second
	// claimTimeout is how long a value waits for its client's turn. Longer than any client waits for its other answers.
	claimTimeout = time.Minute
)

var (
	errStreamCut       = errors.New("a value was not passed on whole")
	errStreamAbandoned = errors.New("no client takes the value")
)

// stream is a long value on its way from a node. It is passed on piece by piece, as fast as its client takes it. The
// goroutine of the node's exchange waits in wait while the client's writer runs passTo. It implements broker.Streaming.
type stream struct {
	size           int
	reader         *bufio.Reader
	setReadTimeout func(time.Duration) // bounds the node's next bytes
	claimed        chan struct{}       // closed when a client takes the value
	result         chan error          // how passing it on ended
	end            sync.Once           // sends result
	onEnd          func(complete bool) // set before a client takes the value, nil for none
}

func newStream(size int, reader *bufio.Reader, setReadTimeout func(time.Duration)) *stream {
	return &stream{
		size:           size,
		reader:         reader,
		setReadTimeout: setReadTimeout,
		claimed:        make(chan struct{}),
		result:         make(chan error, 1),
	}
}

// OnEnd implements broker.Streaming.
func (s *stream) OnEnd(call func(complete bool)) { s.onEnd = call }

// Close implements io.Closer for the loop, which closes a value that no client takes.
func (s *stream) Close() error {
	s.abandon()
	return nil
}

// abandon gives the value up.
func (s *stream) abandon() { s.finish(errStreamAbandoned) }

// finish ends the stream; only the first call counts.
func (s *stream) finish(err error) {
	s.end.Do(func() {
		s.result <- err
		if s.onEnd != nil {
			s.onEnd(err == nil)
		}
	})
}

// wait returns once the value was passed on or given up, or stopped is closed.
func (s *stream) wait(stopped <-chan struct{}) error {
	timer := time.NewTimer(claimTimeout)
	defer timer.Stop()
	select {
	case err := <-s.result:
		return err
	case <-stopped:
		return errStreamAbandoned
	case <-timer.C:
		s.abandon()
	case <-s.claimed:
	}
	select {
	case err := <-s.result:
		return err
	case <-stopped:
		return errStreamAbandoned
	}
}

var pieceBuffers = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

// passTo writes the value to its client, the line end included. After an error the client has less than the whole
// value, and its connection must end: so it can tell that the value is incomplete.
func (s *stream) passTo(conn net.Conn) error {
	err := errStreamCut
	defer func() { s.finish(err) }() // after a panic, too: the node's exchange waits for it
	close(s.claimed)
	if cause := s.copyTo(conn); cause != nil {
		err = fmt.Errorf("%w: %w", errStreamCut, cause)
		return err
	}
	err = nil
	return nil
}

// copyTo copies the value and its line end.
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
		return errReply // without its line end the client can tell that the value is spoilt
	}
	return writeAll(conn, net.Buffers{ending})
}

// writeAll writes to a client that may take its time, as long as it takes something.
func writeAll(conn net.Conn, out net.Buffers) error {
	for {
		if err := conn.SetWriteDeadline(time.Now().Add(pieceTimeout)); err != nil {
			return err
		}
		n, err := out.WriteTo(conn)
		if n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
	}
}
