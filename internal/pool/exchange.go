package pool

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"junctionwharf/broker"
)

const (
	// trailerTimeout bounds the time to read the data that follows an answer while the client waits for the result.
	// With a larger value, clients would wait longer for load figures that never arrive. With a smaller value, usable
	// connections would be closed more often.
	trailerTimeout = 100 * time.Millisecond
	// lateTrailerTimeout replaces trailerTimeout if the result was delivered before, so that no client waits.
	lateTrailerTimeout = 3 * time.Second
)

// errSendingStopped is the error of an exchange that may no longer send.
var errSendingStopped = errors.New("sending was stopped")

// Exchange is one attempt's use of a connection. It is the broker.Handle of that attempt.
type Exchange struct {
	// Reader reads the data that the node sends.
	Reader *bufio.Reader

	started   time.Time
	onWritten func() // called once the request is fully written; may be nil
	onResult  func(broker.Result)
	ctx       context.Context
	cancel    context.CancelFunc

	writing sync.Mutex // held during a write to the connection; acquired before mu

	mu             sync.Mutex // guards the fields below
	conn           net.Conn   // nil before begin and after finish
	progress       broker.Progress
	sendingStopped bool
	delivered      bool // the result was delivered before the exchange ended
	ended          bool // stopped or finished
}

// Elapsed returns the time since Pool.Start.
func (e *Exchange) Elapsed() time.Duration { return time.Since(e.started) }

// MessageSize returns the number of bytes in a message.
func MessageSize(message net.Buffers) int {
	size := 0
	for _, part := range message {
		size += len(part)
	}
	return size
}

// Send writes a message. Once the first executableAfter bytes are written, the node may execute the request, even if
// the rest of the message is lost. For a message that makes the node execute nothing, executableAfter is 0.
func (e *Exchange) Send(message net.Buffers, executableAfter int) error {
	e.writing.Lock()
	defer e.writing.Unlock()
	e.mu.Lock()
	conn := e.conn
	stopped := e.ended || e.sendingStopped
	e.mu.Unlock()
	if stopped {
		return errSendingStopped
	}
	written, err := message.WriteTo(conn)
	e.recordWritten(written, executableAfter)
	return err
}

// recordWritten updates the progress after a write.
func (e *Exchange) recordWritten(written int64, executableAfter int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if executableAfter > 0 && written >= int64(executableAfter) {
		if e.progress != broker.FullyWritten && e.onWritten != nil {
			e.onWritten()
		}
		e.progress = broker.FullyWritten
		return
	}
	if written > 0 {
		e.progress = max(e.progress, broker.PartiallyWritten)
	}
}

// Deliver passes the result to onResult before the exchange ends, for example while the rest of the answer is still
// unread. It returns false, and does not call onResult, if the exchange was stopped. If the receiver stops the exchange
// later, the channel returned by Stopped is closed.
func (e *Exchange) Deliver(result broker.Result) bool {
	e.mu.Lock()
	wanted := !e.ended
	e.delivered = wanted
	e.mu.Unlock()
	if wanted {
		e.onResult(result)
	}
	return wanted
}

// Stopped returns a channel that is closed when the exchange is stopped or has ended.
func (e *Exchange) Stopped() <-chan struct{} { return e.ctx.Done() }

// SetReadTimeout sets a timeout, counted from now, after which reads fail.
func (e *Exchange) SetReadTimeout(timeout time.Duration) {
	e.mu.Lock()
	conn := e.conn
	e.mu.Unlock()
	if conn != nil {
		_ = conn.SetReadDeadline(time.Now().Add(timeout)) // fails only on a closed connection, as does the next read
	}
}

// ReadTrailer calls read, which reads the data that follows an answer, with a timeout. If read fails, the answer stays
// valid, but the connection is not reused.
func (e *Exchange) ReadTrailer(read func() error) {
	e.mu.Lock()
	conn := e.conn
	timeout := trailerTimeout
	if e.delivered {
		timeout = lateTrailerTimeout
	}
	e.mu.Unlock()
	_ = conn.SetReadDeadline(time.Now().Add(timeout)) // fails only on a closed connection, as does read
	if read() == nil && conn.SetReadDeadline(time.Time{}) == nil {
		return
	}
	e.mu.Lock()
	e.sendingStopped = true
	e.mu.Unlock()
}

func (e *Exchange) currentProgress() broker.Progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.progress
}

// Stop implements broker.Handle. It closes the connection, waits until a pending write has ended, and returns the
// progress.
func (e *Exchange) Stop() broker.Progress {
	e.mu.Lock()
	e.ended = true
	conn := e.conn
	e.mu.Unlock()
	e.abort(conn)
	e.writing.Lock()
	defer e.writing.Unlock()
	return e.currentProgress()
}

// StopSending implements broker.Handle. It closes the connection, unless the request is fully written or a write is in
// progress: closing the connection could then lose the answer to a request that the node has executed.
func (e *Exchange) StopSending() {
	conn, fullyWritten := e.forbidSending()
	if fullyWritten || !e.writing.TryLock() {
		return
	}
	defer e.writing.Unlock()
	if e.currentProgress() != broker.FullyWritten {
		e.abort(conn)
	}
}

// CancelUnlessWritten implements broker.Handle. Unlike StopSending, it also aborts a write in progress: the client has
// disconnected, so no answer can be lost.
func (e *Exchange) CancelUnlessWritten() {
	if conn, fullyWritten := e.forbidSending(); !fullyWritten {
		e.abort(conn)
	}
}

// forbidSending makes later sends fail. It returns the connection and whether the request was fully written.
func (e *Exchange) forbidSending() (conn net.Conn, fullyWritten bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sendingStopped = true
	return e.conn, e.progress == broker.FullyWritten
}

// abort cancels the exchange and closes its connection. conn is nil if the exchange has no connection.
func (e *Exchange) abort(conn net.Conn) {
	e.cancel()
	if conn != nil {
		_ = conn.Close() // the exchange fails even if the close fails
	}
}

// begin assigns a connection to the exchange. It returns false if the exchange was stopped before.
func (e *Exchange) begin(conn *connection) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended || e.sendingStopped {
		return false
	}
	e.conn = conn.Conn
	e.Reader = conn.reader
	return true
}

// finish detaches the connection from the exchange, so that a late Stop does not close the connection while another
// exchange uses it. wanted reports whether the exchange still has to report a result: it was not stopped and has not
// delivered one. reusable reports whether the exchange allows the connection to be reused.
func (e *Exchange) finish() (wanted, reusable bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	stopped := e.ended
	e.ended = true
	e.conn = nil
	return !stopped && !e.delivered, !stopped && !e.sendingStopped
}
