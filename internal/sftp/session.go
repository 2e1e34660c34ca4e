package sftp

import (
	"net"
	"sync"
	"time"

	"junctionwharf/internal/clientconn"
	"junctionwharf/internal/pool"
)

const (
	// maxPending bounds the commands of one connection that wait for answers; beyond it nothing is read. Higher, one
	// client could take more memory; lower, clients that send ahead would wait for round trips.
	maxPending = 16
	// writeTimeout bounds the time in which a client takes its answers. Higher, a stalled client would hold its slot
	// for longer; lower, slow clients would be cut off.
	writeTimeout = 5 * time.Second
)

// session is one client connection. Its goroutines are read and write; either may end first.
type session struct {
	server *Server
	conn   net.Conn
	wake   chan struct{} // makes the writer look for answers

	mu               sync.Mutex        // guards what follows; the table's lock is never taken under it
	pending          []*pendingCommand // in the order of arrival
	hasSpace         *sync.Cond        // signalled when pending becomes shorter
	handles          map[string]*handle
	handlesOpened    uint64 // names the next handle
	insidePacket     bool   // a part of a packet has come
	writing          bool   // an answer is being written
	awaitingFirst    bool   // it came while the server drains and has had no command
	out              net.Buffers
	closeAfterOut    bool // the connection ends after what is in out
	closedToCommands bool // nothing more is taken
}

func newSession(server *Server, conn net.Conn) *session {
	s := &session{
		server:  server,
		conn:    conn,
		wake:    make(chan struct{}, 1),
		handles: map[string]*handle{},
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

// State implements clientconn.Connection. It returns no idle time, since all connections of this server may stay idle.
func (s *session) State() (clientconn.State, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case len(s.pending) > 0 || s.writing:
		return clientconn.Busy, 0
	case s.insidePacket:
		return clientconn.PartialCommand, 0
	}
	return clientconn.Idle, 0
}

// Evict implements clientconn.Connection.
func (s *session) Evict() bool { return s.closeToCommands() && s.conn.Close() == nil }

// closeToCommands makes the session take no further command, unless an answer is owed or something has come. Both are one
// step under the session's lock: a command may be read at this moment and would be forwarded although no client waits
// for it.
func (s *session) closeToCommands() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) > 0 || s.writing || len(s.out) > 0 || s.insidePacket || !pool.IsQuiet(s.conn) {
		return false
	}
	s.closedToCommands = true
	return true
}

// recoverPanic ends the connection on which a panic was met: it must not end the process. It is deferred.
func (s *session) recoverPanic() {
	if cause := recover(); cause != nil {
		s.server.logger.Error("panic", "panic", cause)
		s.close()
	}
}

// close closes the connection. Its error is ignored: the reader and the writer meet the same fault.
func (s *session) close() { _ = s.conn.Close() }

// handleInputEnd follows the last read: nobody waits for what is still owed. An answer to malformed input is written
// before the connection ends.
func (s *session) handleInputEnd() {
	s.mu.Lock()
	s.closedToCommands = true
	pending := s.pending
	s.pending = nil
	flush := s.closeAfterOut
	s.mu.Unlock()
	for _, command := range pending {
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

// write writes answers until the connection ends. It runs in a goroutine of its own and gives back the connection's
// slot.
func (s *session) write() {
	defer s.server.Remove(s)
	defer s.close()
	defer s.recoverPanic()
	for range s.wake {
		s.mu.Lock()
		out := s.out
		s.out = nil
		s.writing = len(out) > 0
		ended := s.closeAfterOut || s.closedToCommands
		idle := len(s.pending) == 0
		awaitingFirst := s.awaitingFirst
		s.mu.Unlock() // the table calls its connections under its own lock
		if !s.writeOut(out) || ended {
			return
		}
		if idle && s.server.ShouldClose(awaitingFirst) && s.closeToCommands() {
			return
		}
	}
}

// writeOut writes answers and reports whether more can be written.
func (s *session) writeOut(out net.Buffers) bool {
	if len(out) == 0 {
		return true
	}
	_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails on a closed connection only, as the write does
	if _, err := out.WriteTo(s.conn); err != nil {
		return false
	}
	s.mu.Lock()
	s.writing = false
	s.mu.Unlock()
	return true
}

// send queues a packet for the writer.
func (s *session) send(m net.Buffers) {
	s.mu.Lock()
	s.out = append(s.out, m...)
	s.mu.Unlock()
	s.Wake()
}

// sendStatus queues a STATUS packet for the writer.
func (s *session) sendStatus(id, code uint32, text string) {
	s.send(encodeStatus(id, code, text))
}
