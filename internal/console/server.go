package console

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxConnections bounds the connections without an answer; beyond it the oldest is closed. Higher, forgotten
	// sessions take more of the process's sockets; lower, two operators at once close each other's connections.
	maxConnections = 8
	// maxLineBytes bounds a call. Higher, each connection takes more memory; lower, a call with arguments does not fit.
	maxLineBytes = 256
	// maxAgreementLineBytes bounds an agree call, whose proposal is JSON. Higher, eight connections take more memory
	// than a small machine spares; lower, a large change must be proposed in parts.
	maxAgreementLineBytes = 256 << 10
	// AgreementTimeout bounds the answer to an agree call: it waits for the leader and for the brokers that take
	// part. Lower, an operator learns nothing about a change that then comes into force; higher, an outage is seen
	// later.
	AgreementTimeout = 8 * time.Second
	// callTimeout bounds the arrival of a call. Lower, an operator who types by hand is cut off; higher, idle
	// connections are kept for longer.
	callTimeout = 6 * time.Second
	// answerTimeout bounds the writing of an answer. Higher, a client that does not read keeps a connection for longer;
	// lower, a long answer over a slow link is cut.
	answerTimeout = time.Second
	// acceptRetryDelay is the pause after a failed accept, such as for want of file descriptors. Higher, operators
	// wait; lower, the loop takes processor time from requests.
	acceptRetryDelay = 10 * time.Millisecond
)

// Server answers calls.
type Server struct {
	handlers Handlers
	log      *slog.Logger
	listener net.Listener

	mu   sync.Mutex
	open []net.Conn // connections whose call is not answered yet, the oldest first
}

// Listen opens a server at an address. Close ends it.
func Listen(address string, handlers Handlers, log *slog.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	return &Server{handlers: handlers, log: log, listener: listener}, nil
}

// Close ends Serve.
func (s *Server) Close() error {
	return s.listener.Close()
}

// Serve answers calls until Close.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn("accept failed", "front", "console", "reason", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.accept(conn)
		go s.serve(conn)
	}
}

// accept registers a connection. It guards callers with a whole line against those that hold connections without one,
// which would otherwise lock operators out: the oldest of these is closed.
func (s *Server) accept(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= maxConnections {
		_ = s.open[0].Close()
		s.open = s.open[1:]
	}
	s.open = append(s.open, conn)
}

// release forgets a connection.
func (s *Server) release(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.open, conn); i >= 0 {
		s.open = slices.Delete(s.open, i, i+1)
	}
}

// serve reads a call and writes its answer. A panic in one call ends its connection only.
func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the client has the whole answer, or gave up
	defer s.release(conn)
	defer func() {
		if reason := recover(); reason != nil {
			s.log.Error("panic", "front", "console", "panic", reason)
		}
	}()
	setDeadline(conn, callTimeout)
	call, err := s.readCall(conn)
	if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
		return
	}
	arguments, isAgreement := strings.CutPrefix(call, agreementPrefix)
	if isAgreement && s.handlers.Agree != nil && err == nil {
		setDeadline(conn, AgreementTimeout)
		_, _ = conn.Write(withEnd(s.handlers.Agree(arguments))) // who asked may be gone
		return
	}
	setDeadline(conn, answerTimeout)
	_, _ = conn.Write(s.handlers.answer(call, err)) // who asked may be gone
}

// setDeadline bounds the next reads and writes. It fails only on a closed connection, as these then do.
func setDeadline(conn net.Conn, timeout time.Duration) {
	_ = conn.SetDeadline(time.Now().Add(timeout))
}

// readCall reads a line; bufio.ErrBufferFull is of one that is too long.
func (s *Server) readCall(conn net.Conn) (string, error) {
	reader := bufio.NewReaderSize(conn, maxLineBytes)
	line, err := reader.ReadSlice('\n')
	long := errors.Is(err, bufio.ErrBufferFull)
	if long && s.handlers.Agree != nil && bytes.HasPrefix(line, []byte(agreementPrefix)) {
		line, err = readLongLine(reader, slices.Clone(line))
	}
	return strings.TrimSpace(string(line)), err
}

// readLongLine reads the rest of a line whose beginning has come.
func readLongLine(reader *bufio.Reader, line []byte) ([]byte, error) {
	for len(line) < maxAgreementLineBytes {
		part, err := reader.ReadSlice('\n')
		line = append(line, part...)
		if err == nil || !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
	return line, bufio.ErrBufferFull
}
