package resp

import (
	"sync"
	"sync/atomic"

	"junctionwharf/broker"
	"junctionwharf/internal/clientconn"
)

const (
	// smallBytes is the part of a request and its answer, in bytes, that every connection may buffer without a
	// reservation, for the request that it answers next. The limit on connections accounts for it. Requests of this
	// size are therefore served whatever other connections buffer.
	smallBytes = 4 << 10
	// queuedOverhead is the memory, in bytes, of a request behind an unanswered one, besides its command and its answer.
	// The limit on connections accounts for one request per connection only.
	queuedOverhead = 1 << 10
)

// The names of the metrics of a server's memory, as the console shows them.
const (
	metricBufferedBytes   = "buffered_bytes"
	metricRejectedMemory  = "memory_refused"
	metricStreamedMemory  = "memory_streamed"
	metricDiscardedMemory = "memory_discarded"
	metricRejectedIDs     = "memory_ids_refused"
)

// serverMemory is the memory that the requests of all connections of a server share. Its methods may be called from any
// goroutine.
type serverMemory struct {
	budget    *clientconn.ByteBudget
	sizes     *answerSizes
	rejected  atomic.Uint64 // requests whose command did not fit
	streamed  atomic.Uint64 // values that were streamed because they did not fit
	discarded atomic.Uint64 // values that were discarded because they did not fit

	rejectedIDs atomic.Uint64 // requests whose IDs could not have been kept
}

func newServerMemory(maxBytes int) *serverMemory {
	return &serverMemory{budget: clientconn.NewByteBudget(maxBytes), sizes: newAnswerSizes()}
}

// metrics returns how much memory is reserved, in bytes, and how often it was not enough.
func (s *serverMemory) metrics() []broker.Metric {
	return []broker.Metric{
		{Name: metricBufferedBytes, Value: uint64(s.budget.Reserved())},
		{Name: metricRejectedMemory, Value: s.rejected.Load(), Counter: true},
		{Name: metricStreamedMemory, Value: s.streamed.Load(), Counter: true},
		{Name: metricDiscardedMemory, Value: s.discarded.Load(), Counter: true},
		{Name: metricRejectedIDs, Value: s.rejectedIDs.Load(), Counter: true},
	}
}

// requestMemory accounts for the bytes of one request and its answer in the server's budget. All bytes are reserved
// before they are read:
//   - A request whose answer is the next one of its connection never waits for memory, since its client's time runs. If
//     there is no memory, its command is rejected, or its value is streamed.
//   - A queued request, which is behind an unanswered one, waits until there is memory for its command and for an
//     answer of the expected size, or until it is no longer queued. Its client's time does not run while an earlier
//     answer is pending. If the answer is larger than expected and there is no memory, the value is discarded.
type requestMemory struct {
	server      *serverMemory
	reservation *clientconn.Reservation

	// Set before the submission of the request.
	class  string
	isNext func() bool // reports whether the answer is the next one of the connection

	mu      sync.Mutex // guards the fields below
	queued  bool
	command int // bytes of the command, 0 once the request is answered
	answer  int // bytes that are reserved for the answer, or bytes of the answer
}

// newRequest returns the memory of a request, of which nothing is reserved yet.
func (s *serverMemory) newRequest() *requestMemory {
	return &requestMemory{server: s, reservation: s.budget.NewReservation()}
}

// reserved returns the size of the reservation in bytes. The caller holds m.mu.
func (m *requestMemory) reserved() int {
	if m.queued {
		return queuedBytes(m.command, m.answer)
	}
	return max(0, m.command+m.answer-smallBytes)
}

// queuedBytes returns the size of a queued request's reservation in bytes.
func queuedBytes(command, answer int) int { return queuedOverhead + command + answer }

// tryCommand reserves memory for a command of size bytes without waiting, and reports whether there was enough.
func (m *requestMemory) tryCommand(size int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.command
	m.command = size
	if !m.reservation.TryResize(m.reserved()) {
		m.command = before
		return false
	}
	return true
}

// tryQueued reserves memory for a queued request, and reports whether there was enough. Only the reading goroutine
// calls it, before the request is submitted.
func (m *requestMemory) tryQueued(command, answer int) bool {
	reserved := m.reservation.TryResizeQueued(queuedBytes(command, answer))
	if reserved {
		m.setQueued(command, answer)
	}
	return reserved
}

// awaitQueued is tryQueued, but waits until there is enough memory. It returns false if it receives from stop first.
func (m *requestMemory) awaitQueued(command, answer int, stop <-chan struct{}) bool {
	reserved := m.reservation.AwaitResize(queuedBytes(command, answer), stop)
	if reserved {
		m.setQueued(command, answer)
	}
	return reserved
}

func (m *requestMemory) setQueued(command, answer int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.queued = true
	m.command = command
	m.answer = answer
}

// valueHandling is what happens to a node's value.
type valueHandling int

const (
	valueBuffered  valueHandling = iota
	valueStreamed                // the value is forwarded piece by piece
	valueDiscarded               // there is no memory for the value, and the client cannot receive it yet
)

// handlingOf decides what happens to a node's value of size bytes. It reserves memory for a value that is buffered.
func (m *requestMemory) handlingOf(size int) valueHandling {
	switch {
	case size > maxValueBytes:
		return valueStreamed
	case size <= 0 || m == nil: // m is nil for a health check
		return valueBuffered
	}
	m.server.sizes.record(m.class, size)
	if m.reserveValue(size) {
		return valueBuffered
	}
	if m.isNext() {
		m.server.streamed.Add(1)
		return valueStreamed
	}
	m.server.discarded.Add(1)
	return valueDiscarded
}

// reserveValue reserves memory for a value of size bytes without waiting, and reports whether there was enough.
func (m *requestMemory) reserveValue(size int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if size <= m.answer {
		return true
	}
	before := m.answer
	m.answer = size
	resize := m.reservation.TryResize
	if m.queued {
		resize = m.reservation.TryGrowQueued
	}
	if !resize(m.reserved()) {
		m.answer = before
		return false
	}
	return true
}

// answered releases what the request no longer needs: its command, and all but size bytes of its answer.
func (m *requestMemory) answered(size int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.command = 0
	m.answer = size
	m.reservation.ForceResize(m.reserved())
}

// end releases the reservation.
func (m *requestMemory) end() { m.reservation.End() }

// reserve reserves memory for the command that is being read, of which command bytes are buffered, and for an answer of
// the expected size if the command is queued. It waits only while an earlier answer is pending, for memory and for a
// place among the pending replies. It returns false, and releases the command's memory, if there is not enough or the
// connection has ended.
func (c *client) reserve(command, answer int) bool {
	c.awaitSpace()
	if c.memory == nil {
		c.memory = c.server.memory.newRequest()
	}
	for c.isQueued() {
		if c.memory.tryQueued(command, answer) || c.awaitMemory(command, answer) {
			return true
		}
	}
	if !c.hasEnded() && c.memory.tryCommand(command) {
		return true
	}
	c.releaseMemory()
	return false
}

// awaitMemory waits for memory for a queued command. It returns false if no answer is pending any longer or the
// connection has ended.
func (c *client) awaitMemory(command, answer int) bool {
	reserved := false
	c.whileWatchingPeer(func() { reserved = c.memory.awaitQueued(command, answer, c.idle) })
	return reserved
}

// isNext reports whether a reply is the first pending one.
func (c *client) isNext(reply *pendingReply) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) > 0 && c.pending[0] == reply
}

// isQueued reports whether a command that is being read is behind an unanswered one, on a connection that has not
// ended.
func (c *client) isQueued() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owesReply() && !c.gone && !c.released
}

// hasEnded reports whether the client has disconnected or the writer has ended.
func (c *client) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gone || c.released
}

// rejectWithoutMemory rejects a command for which there is no memory, and reports whether to read on. first holds the
// first bytes of the command. No answer is pending, since the command would have waited otherwise.
func (c *client) rejectWithoutMemory(first []byte) bool {
	if c.hasEnded() {
		return false
	}
	class, isRequest := classOf(first)
	if !isRequest {
		return c.refuseWithoutMemory()
	}
	if !c.beginDirectReply() {
		return false // the connection has ended
	}
	c.server.memory.rejected.Add(1)
	c.server.loop.CountRejection(class)
	return c.writeDirectReply(c.server.limits.Load().busyLine, c.server.loop.SheddingLoad())
}

// refuseWithoutMemory answers a command that is no request, and for which there is no memory, with an error. It reports
// whether to read on.
func (c *client) refuseWithoutMemory() (readOn bool) {
	c.server.malformed.record(errMalformed)
	if !c.beginDirectReply() {
		return false // the connection has ended
	}
	return c.writeDirectReply(errorLine(errMalformed), c.server.loop.SheddingLoad())
}

// takeMemory returns the memory of the command that was read. The caller must end it.
func (c *client) takeMemory() *requestMemory {
	memory := c.memory
	c.memory = nil
	return memory
}

// releaseMemory releases the memory of a command that was read and is not pending.
func (c *client) releaseMemory() {
	if memory := c.takeMemory(); memory != nil {
		memory.end()
	}
}

// endMemory releases the memory of a reply.
func (r *pendingReply) endMemory() {
	if r.memory != nil {
		r.memory.end()
	}
}
