// Package console is the operators' door: one line in, one answer out, on a listener of its own.
package console

import (
	"bufio"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	most        = 8               // connections at once; beyond it the one unfinished for longest gives way
	lineBytes   = 256             // of a call
	lineTime    = 6 * time.Second // for a call to come whole
	answerTime  = time.Second     // for its answer to be taken
	acceptPause = 10 * time.Millisecond
)

// The words that answers begin or end with.
const (
	success = "SUCCESS"
	failure = "FAILURE"
	endWord = "EOT"
)

// Calls is what operators may ask for. The functions must not wait for anything.
type Calls struct {
	Check func() error  // nil if clients are taken
	Vars  func() []byte // the figures, in lines
	Nodes func() []byte // the list of storage nodes and where it comes from, in lines; nil for none
}

// Door answers calls.
type Door struct {
	calls Calls
	log   *slog.Logger
	ln    net.Listener

	mu      sync.Mutex
	waiting []net.Conn // the callers, the one that came first in front
}

// Open listens at an address.
func Open(address string, calls Calls, log *slog.Logger) (*Door, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	return &Door{calls: calls, log: log, ln: ln}, nil
}

// Close ends Serve.
func (d *Door) Close() error { return d.ln.Close() }

// Serve answers calls until Close.
func (d *Door) Serve() {
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
func (d *Door) enter(conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.waiting) >= most {
		d.waiting[0].Close()
		d.waiting = d.waiting[1:]
	}
	d.waiting = append(d.waiting, conn)
}

func (d *Door) leave(conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, c := range d.waiting {
		if c == conn {
			d.waiting = append(d.waiting[:i:i], d.waiting[i+1:]...)
			return
		}
	}
}

func (d *Door) serve(conn net.Conn) {
	defer conn.Close()
	defer d.leave(conn)
	defer func() { // a fault in one call ends its connection only
		if r := recover(); r != nil {
			d.log.Error("panic", "front", "console", "panic", r)
		}
	}()
	conn.SetDeadline(time.Now().Add(lineTime))
	line, err := bufio.NewReaderSize(conn, lineBytes).ReadSlice('\n')
	if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
		return
	}
	conn.SetDeadline(time.Now().Add(answerTime))
	conn.Write(d.answer(strings.TrimSpace(string(line)), err))
}

func (d *Door) answer(call string, err error) []byte {
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
