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
	maxAnswer  = 4 << 20          // bytes of a value: nodes give more than a request may hold
	pieceBytes = 16 << 10         // of a long value, held at a time
	pieceTime  = 10 * time.Second // a peer that neither gives nor takes anything for so long is given up
	claimTime  = time.Minute      // a client whose turn has not come by then never takes its value
)

var (
	errCut     = errors.New("a value was not passed on whole")
	errDropped = errors.New("nobody takes the value")
)

// stream is a long value on its way from a node. It is passed on in pieces as its client takes them.
type stream struct {
	size  int
	in    *bufio.Reader
	await func(time.Duration) // bounds the node's next bytes
	claim chan struct{}       // closed when a client takes it
	ended chan error          // how passing it on ended
	once  sync.Once
	onEnd func(whole bool) // set before a client takes it
}

// OnEnd implements broker.Lasting.
func (v *stream) OnEnd(call func(whole bool)) { v.onEnd = call }

func newStream(size int, in *bufio.Reader, await func(time.Duration)) *stream {
	return &stream{size: size, in: in, await: await, claim: make(chan struct{}), ended: make(chan error, 1)}
}

// Close gives the value up. It implements io.Closer for the core.
func (v *stream) Close() error {
	v.end(errDropped)
	return nil
}

func (v *stream) end(err error) {
	v.once.Do(func() {
		v.ended <- err
		if v.onEnd != nil {
			v.onEnd(err == nil)
		}
	})
}

// wait returns once the value was passed on or given up, or stopped is closed.
func (v *stream) wait(stopped <-chan struct{}) error {
	timer := time.NewTimer(claimTime)
	defer timer.Stop()
	select {
	case err := <-v.ended:
		return err
	case <-stopped:
		return errDropped
	case <-timer.C:
		v.end(errDropped)
	case <-v.claim:
	}
	select {
	case err := <-v.ended:
		return err
	case <-stopped:
		return errDropped
	}
}

var pieces = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

// passTo writes the value to its client, the closing CR LF included. After an error the client has less than the
// whole, and its connection must end.
func (v *stream) passTo(conn net.Conn) error {
	err := errCut
	defer func() { v.end(err) }()
	close(v.claim)
	piece := pieces.Get().(*[pieceBytes]byte)
	defer pieces.Put(piece)
	for left := v.size; left > 0; {
		v.await(pieceTime)
		n, failed := v.in.Read(piece[:min(left, pieceBytes)])
		if failed != nil {
			return fmt.Errorf("%w: %w", errCut, failed)
		}
		if failed := writeAll(conn, net.Buffers{piece[:n]}); failed != nil {
			return fmt.Errorf("%w: %w", errCut, failed)
		}
		left -= n
	}
	v.await(pieceTime)
	if _, failed := io.ReadFull(v.in, piece[:2]); failed != nil || piece[0] != '\r' || piece[1] != '\n' {
		return errCut // without its end, the client can tell that the value is spoilt
	}
	if failed := writeAll(conn, net.Buffers{piece[:2]}); failed != nil {
		return fmt.Errorf("%w: %w", errCut, failed)
	}
	err = nil
	return nil
}

// writeAll writes to a client that may take its time, as long as it takes something.
func writeAll(conn net.Conn, out net.Buffers) error {
	for {
		conn.SetWriteDeadline(time.Now().Add(pieceTime))
		n, err := out.WriteTo(conn)
		if n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
	}
}
