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
	// maxConnections bounds the connections without an answer. If there are more, the oldest is closed. With a larger
	// value, forgotten sessions use more of the process's sockets. With a smaller value, two operators who work at
	// the same time close each other's connections.
	maxConnections = 8
	// maxLineBytes is the maximum length of a call in bytes. With a larger value, each connection uses more memory.
	// With a smaller value, a call with arguments does not fit.
	maxLineBytes = 256
	// maxAgreementLineBytes is the maximum length in bytes of an agree call, whose proposal is JSON. With a larger
	// value, eight connections use more memory than a small machine can spare. With a smaller value, a large change
	// must be proposed in several parts.
	maxAgreementLineBytes = 256 << 10
	// AgreementTimeout bounds the time to answer an agree call, which waits for the leader and for the participating
	// brokers, including the time to write the answer. With a smaller value, an operator gets no result for a change
	// that becomes active later. With a larger value, an operator notices an outage later.
	AgreementTimeout = 8 * time.Second
	// callTimeout bounds the time until a call is complete. With a smaller value, an operator who types by hand is
	// disconnected. With a larger value, idle connections stay open for longer.
	callTimeout = 6 * time.Second
	// answerTimeout bounds the time to write an answer. With a larger value, a client that does not read occupies a
	// connection for longer. With a smaller value, a long answer over a slow link is truncated.
	answerTimeout = time.Second
	// acceptRetryDelay is the pause after a failed accept, for example if there are no file descriptors left. With a
	// larger value, operators wait longer. With a smaller value, the loop uses processor time that requests need.
	acceptRetryDelay = 10 * time.Millisecond
)

// Server is the admin server of a broker.
type Server struct {
	handlers Handlers
	log      *slog.Logger
	listener net.Listener

	mu   sync.Mutex
	open []net.Conn // connections whose call is not answered yet, the oldest first
}

// Listen opens a server at an address. The caller must run Serve and Close.
func Listen(address string, handlers Handlers, log *slog.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	return &Server{handlers: handlers, log: log, listener: listener}, nil
}

// Close closes the listener, which ends Serve.
func (s *Server) Close() error {
	return s.listener.Close()
}

// Serve accepts connections and answers their calls until Close is called.
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

// accept registers a connection. If there are already maxConnections without an answer, it closes the oldest of them.
// Otherwise connections that never send a whole call would lock operators out.
func (s *Server) accept(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= maxConnections {
		_ = s.open[0].Close()
		s.open = s.open[1:]
	}
	s.open = append(s.open, conn)
}

// release removes a connection from the list of those without an answer.
func (s *Server) release(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.open, conn); i >= 0 {
		s.open = slices.Delete(s.open, i, i+1)
	}
}

// serve reads a call and writes its answer. A panic in a handler closes only this connection.
func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the answer is complete, or the client cannot receive it
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
		_, _ = conn.Write(withEnd(s.handlers.Agree(arguments))) // the client may have disconnected
		return
	}
	setDeadline(conn, answerTimeout)
	_, _ = conn.Write(s.handlers.answer(call, err)) // the client may have disconnected
}

// setDeadline bounds the time of further reads and writes. It fails only on a closed connection, on which they
// fail too.
func setDeadline(conn net.Conn, timeout time.Duration) {
	_ = conn.SetDeadline(time.Now().Add(timeout))
}

// readCall reads a line and returns it without surrounding white space. It returns bufio.ErrBufferFull if the line is
// too long, and another error if the line does not arrive.
func (s *Server) readCall(conn net.Conn) (string, error) {
	reader := bufio.NewReaderSize(conn, maxLineBytes)
	line, err := reader.ReadSlice('\n')
	long := errors.Is(err, bufio.ErrBufferFull)
	if long && s.handlers.Agree != nil && bytes.HasPrefix(line, []byte(agreementPrefix)) {
		line, err = readLongLine(reader, slices.Clone(line))
	}
	return strings.TrimSpace(string(line)), err
}

// readLongLine reads the rest of a line that begins with the given bytes. It returns bufio.ErrBufferFull if the line is
// longer than maxAgreementLineBytes.
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
