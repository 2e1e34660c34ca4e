package sftp

import (
	"time"

	"junctionwharf/internal/clientconn"
	"junctionwharf/internal/pool"
)

// commandOverhead is the memory of a pending command in bytes, besides its data and its answer. The limit on
// connections accounts for the packet that is being read.
const commandOverhead = 2 << 10

// memoryBytes returns the memory of an operation and its longest answer in bytes. A listing may need more, which
// reserveListing reserves.
func (op *operation) memoryBytes() int {
	size := commandOverhead + len(op.path) + len(op.attrs) + len(op.data)
	switch op.command {
	case Read:
		size += int(op.length)
	case List:
		size += MaxPacketBytes
	case Open, OpenWrite, Write, Remove, Stat:
	}
	return size
}

// reserveListing reserves memory for a listing of size bytes without waiting, and reports whether there was enough.
func (op *operation) reserveListing(size int) bool {
	if op.memory == nil || size <= MaxPacketBytes { // no memory is accounted for without a session
		return true
	}
	return op.memory.TryResize(op.memoryBytes() - MaxPacketBytes + size)
}

// reserve reserves memory for an operation and its answer. While the session has other commands or answers, it waits
// until there is enough, at most until the deadline. Otherwise it never waits. It returns nil if there is not enough,
// and the command must be rejected.
func (s *session) reserve(op *operation, deadline time.Time) *clientconn.Reservation {
	memory := s.server.budget.NewReservation()
	size := op.memoryBytes()
	if memory.TryResizeQueued(size) {
		return memory
	}
	timer := time.AfterFunc(time.Until(deadline), s.signalIdle)
	defer timer.Stop()
	reserved := false
	s.whileWatchingPeer(func() {
		for !reserved && s.isBusy() && time.Now().Before(deadline) {
			reserved = memory.AwaitResize(size, s.idle)
		}
	})
	if reserved || memory.TryResize(size) {
		return memory
	}
	return nil
}

// isBusy reports whether a command or an answer is pending on a session that accepts commands.
func (s *session) isBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.closedToCommands && !s.writerEnded && (len(s.pending) > 0 || s.unwritten > 0)
}

// signalIdle ends a wait of the reader for memory.
func (s *session) signalIdle() {
	select {
	case s.idle <- struct{}{}:
	default:
	}
}

// awaitSpace waits while maxPending commands and answers are pending, so that the answers to a client that does not
// read stay bounded.
func (s *session) awaitSpace() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending)+s.unwritten < maxPending || s.closedToCommands || s.writerEnded {
		return
	}
	s.whileWatchingPeer(func() {
		for len(s.pending)+s.unwritten >= maxPending && !s.closedToCommands && !s.writerEnded {
			s.hasSpace.Wait()
		}
	})
}

// whileWatchingPeer runs wait, which blocks the reader. If the client disconnects in the meantime, whileWatchingPeer
// cancels its commands, closes the connection and ends the wait.
func (s *session) whileWatchingPeer(wait func()) {
	clientconn.WhileWatchingPeer(s.conn, wait, func() {
		s.handleInputEnd()
		s.hasSpace.Broadcast()
		s.signalIdle()
	})
}

// endMemory releases the memory of a command that gets no answer.
func (c *pendingCommand) endMemory() {
	if c.memory != nil {
		c.memory.End()
	}
}

// holdNames makes the handle hold the names of a listed directory, and accounts for their bytes until they are read or
// the handle is closed. The caller holds session.mu.
func (h *handle) holdNames(budget *clientconn.ByteBudget, names [][]byte) {
	h.listed = true
	h.names = names
	h.releaseNames()
	if h.closed {
		return
	}
	h.memory = budget.NewReservation()
	h.memory.ForceResize(pool.MessageSize(names))
}

// releaseNames releases the memory of the names. The caller holds session.mu.
func (h *handle) releaseNames() {
	if h.memory != nil {
		h.memory.End()
		h.memory = nil
	}
}

// release releases the memory of the handle and of its names. The caller holds session.mu.
func (h *handle) release() {
	h.releaseNames()
	if h.own != nil {
		h.own.End()
	}
}
