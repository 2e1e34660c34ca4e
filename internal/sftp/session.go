package sftp

import (
	"net"
	"sync"
	"time"

	"junctionwharf/internal/clientconn"
	"junctionwharf/internal/pool"
)

const (
	// maxPending bounds the pending commands and unwritten answers of one connection. At the limit, the reader waits
	// before it handles another command. With a larger value, one client could use more memory. With a smaller value,
	// clients that pipeline commands would wait for round trips.
	maxPending = 16
	// writeTimeout is how long a client may accept nothing of its answers. With a larger value, a stalled client would
	// occupy its slot for longer. With a smaller value, slow clients would be disconnected.
	writeTimeout = 5 * time.Second
)

// session is one client connection. Two goroutines, read and write, serve it. Either of them may end first.
type session struct {
	server *Server
	conn   net.Conn
	wake   chan struct{} // makes the writer check for answers
	// idle receives a value when no command or answer is pending any longer, the session ends, or a wait for memory is
	// over. It ends a wait for memory.
	idle chan struct{}
	// generations records which input came under which mapping.
	generations clientconn.InputGenerations[*Mapping]
	// The reading goroutine uses the fields received and mapping.
	received int64    // bytes of input that were read
	mapping  *Mapping // that the packet which is being handled came under

	mu               sync.Mutex        // guards the fields below; the table's lock is never acquired while mu is held
	pending          []*pendingCommand // in the order of arrival
	hasSpace         *sync.Cond        // signaled when answers were written, or the session ends
	handles          map[string]*handle
	handlesOpened    uint64                    // number of handles opened so far, from which handles are named
	insidePacket     bool                      // part of a packet has been received
	writing          bool                      // an answer is being written
	awaitingFirst    bool                      // accepted while the server drains, no command received yet
	out              net.Buffers               // encoded answers that the writer has not taken yet
	outMemory        []*clientconn.Reservation // memory of the answers in out
	unwritten        int                       // answers in out and answers that are being written
	writerEnded      bool                      // no more answers are written
	closeAfterOut    bool                      // the connection closes after the packets in out are written
	closedToCommands bool                      // no further command is accepted
}

func newSession(server *Server, conn net.Conn) *session {
	s := &session{
		server:  server,
		conn:    conn,
		wake:    make(chan struct{}, 1),
		idle:    make(chan struct{}, 1),
		handles: map[string]*handle{},
		mapping: server.mapping.Load(),
	}
	s.hasSpace = sync.NewCond(&s.mu)
	return s
}

// Wake implements clientconn.Connection.
func (s *session) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// State implements clientconn.Connection. It always reports an idle time of 0, since all connections of this server may
// stay idle.
func (s *session) State() (clientconn.State, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case len(s.pending) > 0 || s.writing || len(s.out) > 0:
		return clientconn.Busy, 0
	case s.insidePacket:
		return clientconn.PartialCommand, 0
	}
	return clientconn.Idle, 0
}

// Evict implements clientconn.Connection.
func (s *session) Evict() bool { return s.closeToCommands() && s.conn.Close() == nil }

// closeToCommands makes the session accept no further commands and reports whether it did. It returns false if an
// answer is pending or input has been received. The check and the change happen in one step under s.mu. Otherwise, a
// command that is read at the same time could be forwarded although its connection is closed.
func (s *session) closeToCommands() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) > 0 || s.writing || len(s.out) > 0 || s.insidePacket || !pool.IsQuiet(s.conn) {
		return false
	}
	s.closedToCommands = true
	return true
}

// recoverPanic ends the connection after a panic, so that the panic does not end the process. It must be deferred.
func (s *session) recoverPanic() {
	if cause := recover(); cause != nil {
		s.server.logger.Error("panic", "panic", cause)
		s.close()
	}
}

// close closes the connection. It ignores the error, since the reader and the writer detect the same failure.
func (s *session) close() { _ = s.conn.Close() }

// handleInputEnd runs after the last read. It cancels all pending commands, since their answers are no longer written.
// An answer to malformed input is still written before the connection closes.
func (s *session) handleInputEnd() {
	s.mu.Lock()
	s.closedToCommands = true
	pending := s.pending
	s.pending = nil
	for _, h := range s.handles {
		h.release()
	}
	flush := s.closeAfterOut
	s.mu.Unlock()
	for _, command := range pending {
		command.endMemory()
		if command.timer != nil {
			command.timer.Stop()
		}
		if command.submitted {
			s.server.loop.Cancel(command.loopID)
		}
	}
	if !flush {
		s.close()
	}
	s.Wake()
}

// write writes answers until the connection ends, and then removes the connection from the table. It runs in its own
// goroutine.
func (s *session) write() {
	defer s.server.Remove(s)
	defer s.handleOutputEnd()
	defer s.close()
	defer s.recoverPanic()
	for range s.wake {
		s.mu.Lock()
		out := s.out
		memory := s.outMemory
		taken := s.unwritten
		s.out = nil
		s.outMemory = nil
		s.writing = len(out) > 0
		ended := s.closeAfterOut || s.closedToCommands
		idle := len(s.pending) == 0
		awaitingFirst := s.awaitingFirst
		s.mu.Unlock() // not held for ShouldClose, since the table calls State with its own lock held
		written := s.writeOut(out)
		s.finishAnswers(taken, memory)
		if !written || ended {
			return
		}
		if idle && s.server.ShouldClose(awaitingFirst) && s.closeToCommands() {
			return
		}
	}
}

// writeOut writes packets and reports whether more packets can be written.
func (s *session) writeOut(out net.Buffers) bool {
	if len(out) == 0 {
		return true
	}
	if clientconn.WriteAll(s.conn, out, writeTimeout) != nil {
		return false
	}
	s.mu.Lock()
	s.writing = false
	s.mu.Unlock()
	return true
}

// finishAnswers records that the writer has finished a number of answers, and releases their memory.
func (s *session) finishAnswers(count int, memory []*clientconn.Reservation) {
	for _, answer := range memory {
		answer.End()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unwritten -= count
	s.hasSpace.Signal()
	if s.unwritten == 0 && len(s.pending) == 0 {
		s.signalIdle()
	}
}

// handleOutputEnd runs when the writer has ended. Answers that it has not taken are dropped.
func (s *session) handleOutputEnd() {
	s.mu.Lock()
	s.writerEnded = true
	memory := s.outMemory
	s.outMemory = nil
	s.mu.Unlock()
	s.finishAnswers(0, memory)
	s.signalIdle()
}

// send queues a packet for the writer.
func (s *session) send(m net.Buffers) {
	s.mu.Lock()
	s.appendOut(m)
	s.mu.Unlock()
	s.Wake()
}

// appendOut adds an answer to those that the writer takes next. The caller holds s.mu.
func (s *session) appendOut(m net.Buffers) {
	s.out = append(s.out, m...)
	s.unwritten++
}

// sendStatus queues a STATUS packet for the writer.
func (s *session) sendStatus(id, code uint32, text string) {
	s.send(encodeStatus(id, code, text))
}
