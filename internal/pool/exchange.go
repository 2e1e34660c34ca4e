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
	// trailerTimeout is how long a node may take over what follows an answer while the client waits for it. Higher,
	// a client would wait for figures that do not come; lower, good connections would be closed more often.
	trailerTimeout = 100 * time.Millisecond
	// lateTrailerTimeout is the same where the result was delivered already, so that only the connection waits.
	lateTrailerTimeout = 3 * time.Second
)

// errSendingStopped is the error of an exchange that may not send any more.
var errSendingStopped = errors.New("sending was stopped")

// Exchange is one attempt's use of a connection. It is the broker.Handle of that attempt.
type Exchange struct {
	// Reader reads what the node sends.
	Reader *bufio.Reader

	started   time.Time
	onWritten func() // called once the exchange is fully written, may be nil
	onResult  func(broker.Result)
	ctx       context.Context
	cancel    context.CancelFunc

	writing sync.Mutex // held during a write to the connection; it is taken before mu

	mu             sync.Mutex // guards what follows
	conn           net.Conn   // nil before the exchange has it and after
	progress       broker.Progress
	sendingStopped bool
	delivered      bool // the result was delivered before the end
	ended          bool // stopped or finished
}

// Elapsed is the time since Pool.Start.
func (e *Exchange) Elapsed() time.Duration { return time.Since(e.started) }

// MessageSize is the number of bytes of a message.
func MessageSize(message net.Buffers) int {
	size := 0
	for _, part := range message {
		size += len(part)
	}
	return size
}

// Send writes a message. Once its first executableAfter bytes are written the node may execute the attempt, even if
// what follows them is lost; 0 is for a message that executes nothing.
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

// recordWritten moves the progress on after a write.
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

// Deliver hands the result over before the exchange ends: what follows belongs to whoever takes the result. It reports
// whether the result is still wanted. Stopped is closed if nobody takes it after all.
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

// Stopped is closed once the exchange was stopped.
func (e *Exchange) Stopped() <-chan struct{} { return e.ctx.Done() }

// SetReadTimeout makes the next reads fail unless something comes within a time.
func (e *Exchange) SetReadTimeout(timeout time.Duration) {
	e.mu.Lock()
	conn := e.conn
	e.mu.Unlock()
	if conn != nil {
		_ = conn.SetReadDeadline(time.Now().Add(timeout)) // fails on a closed connection only, as the next read does
	}
}

// ReadTrailer runs what reads the rest after the answer. If that fails the answer stands, and the connection is not
// used again.
func (e *Exchange) ReadTrailer(read func() error) {
	e.mu.Lock()
	conn := e.conn
	timeout := trailerTimeout
	if e.delivered {
		timeout = lateTrailerTimeout
	}
	e.mu.Unlock()
	_ = conn.SetReadDeadline(time.Now().Add(timeout)) // fails on a closed connection only, as the read does
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

// Stop implements broker.Handle. It waits for a write that is under way, which closing the connection ends.
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

// StopSending implements broker.Handle. An exchange that was fully written, or is being written, keeps its connection:
// closing it could lose the answer to what the node has executed.
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

// CancelUnlessWritten implements broker.Handle. It cuts a message that is being written: the client has gone, so that
// no answer can be lost.
func (e *Exchange) CancelUnlessWritten() {
	if conn, fullyWritten := e.forbidSending(); !fullyWritten {
		e.abort(conn)
	}
}

// forbidSending makes later sends fail and returns the connection and whether the exchange was fully written.
func (e *Exchange) forbidSending() (conn net.Conn, fullyWritten bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sendingStopped = true
	return e.conn, e.progress == broker.FullyWritten
}

// abort ends the exchange and its connection; conn is nil for an exchange that has none.
func (e *Exchange) abort(conn net.Conn) {
	e.cancel()
	if conn != nil {
		_ = conn.Close() // the exchange fails in either case
	}
}

// begin hands the connection to the exchange. It fails for an exchange that was stopped before.
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

// finish takes the connection back, so that a late Stop does not close it under its next user. It reports whether the
// result is still wanted, and whether the connection may be used again as far as the exchange knows.
func (e *Exchange) finish() (wanted, reusable bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	stopped := e.ended
	e.ended = true
	e.conn = nil
	return !stopped && !e.delivered, !stopped && !e.sendingStopped
}
