// Package console is the operators' door: one line in, one answer out, on a listener of its own.
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
	most             = 8               // connections at once; beyond it the one unfinished for longest gives way
	lineBytes        = 256             // of a call
	agreeBytes       = 256 << 10       // where there are calls of the agreed document
	AgreementTimeout = 8 * time.Second // for the answer to one of these
	lineTime         = 6 * time.Second // for a call to come whole
	answerTime       = time.Second     // for its answer to be taken
	acceptPause      = 10 * time.Millisecond
)

// The words that answers begin or end with.
const (
	success = "SUCCESS"
	failure = "FAILURE"
	endWord = "EOT"

	agreeWord = "agree "
)

// Handlers is what operators may ask for. The functions must not wait for anything.
type Handlers struct {
	Check func() error             // nil if clients are taken
	Vars  func() []byte            // the figures, in lines
	Nodes func() []byte            // the list of storage nodes and where it comes from, in lines; nil for none
	Agree func(call string) []byte // calls of the agreed document, which may wait for AgreementTimeout; nil for none
}

// Server answers calls.
type Server struct {
	calls Handlers
	log   *slog.Logger
	ln    net.Listener

	mu      sync.Mutex
	waiting []net.Conn // the callers, the one that came first in front
}

// Listen listens at an address.
func Listen(address string, calls Handlers, log *slog.Logger) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	return &Server{calls: calls, log: log, ln: ln}, nil
}

// Close ends Serve.
func (d *Server) Close() error { return d.ln.Close() }

// Serve answers calls until Close.
func (d *Server) Serve() {
	for {
		conn, err := d.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			d.log.Warn("accept failed", "front", "console", "reason", err)
			time.Sleep(acceptPause)
			continue
		}
		d.enter(conn)
		go d.serve(conn)
	}
}

// enter guards callers with a whole line against those that hold a connection without one: these give way.
func (d *Server) enter(conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.waiting) >= most {
		d.waiting[0].Close()
		d.waiting = d.waiting[1:]
	}
	d.waiting = append(d.waiting, conn)
}

func (d *Server) leave(conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, c := range d.waiting {
		if c == conn {
			d.waiting = append(d.waiting[:i:i], d.waiting[i+1:]...)
			return
		}
	}
}

func (d *Server) serve(conn net.Conn) {
	defer conn.Close()
	defer d.leave(conn)
	defer func() { // a fault in one call ends its connection only
		if r := recover(); r != nil {
			d.log.Error("panic", "front", "console", "panic", r)
		}
	}()
	conn.SetDeadline(time.Now().Add(lineTime))
	in := bufio.NewReaderSize(conn, lineBytes)
	line, err := in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) && d.calls.Agree != nil && bytes.HasPrefix(line, []byte(agreeWord)) {
		line, err = readLine(in, slices.Clone(line))
	}
	if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
		return
	}
	call := strings.TrimSpace(string(line))
	if rest, is := strings.CutPrefix(call, agreeWord); is && d.calls.Agree != nil && err == nil {
		conn.SetDeadline(time.Now().Add(AgreementTimeout))
		conn.Write(append(d.calls.Agree(rest), endWord+"\n"...))
		return
	}
	conn.SetDeadline(time.Now().Add(answerTime))
	conn.Write(d.answer(call, err))
}

// readLine reads on behind what has come of a long line.
func readLine(in *bufio.Reader, line []byte) ([]byte, error) {
	for len(line) < agreeBytes {
		part, err := in.ReadSlice('\n')
		line = append(line, part...)
		if err == nil || !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
	return line, bufio.ErrBufferFull
}

func (d *Server) answer(call string, err error) []byte {
	switch {
	case err != nil:
		return []byte(failure + " the line is too long\n")
	case call == "check":
		if err := d.calls.Check(); err != nil {
			return []byte(failure + " " + err.Error() + "\n")
		}
		return []byte(success + "\n")
	case call == "vars":
		return append(d.calls.Vars(), endWord+"\n"...)
	case call == "nodes" && d.calls.Nodes != nil:
		return append(d.calls.Nodes(), endWord+"\n"...)
	}
	return []byte(failure + " unknown call: check or vars\n")
}
