// Package handover lets a new process of a broker take over from the old one. The two meet over a Unix socket and
// share what the rules ask of them as one broker: the list of nodes, the ids of open requests, what peers say.
package handover

import (
	"encoding/json"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"junctionwharf/internal/discovery"
)

const (
	greetTime = 500 * time.Millisecond // for the old process to hand over what it holds
	writeTime = 500 * time.Millisecond // for the other process to take a message; one that hangs counts as gone
	backlog   = 4096                   // messages that wait for the other process
)

// StateMessage is what one process tells the other. Each field that is set counts.
type StateMessage struct {
	Endpoints      *discovery.EndpointList `json:"List,omitempty"`   // the whole list that the old process holds
	OpenedRequests []string                `json:"Opened,omitempty"` // ids of requests that were taken
	EndedRequests  []string                `json:"Ended,omitempty"`  // ids of requests that are over
	PeerOrdinal    int                     `json:"From,omitempty"`   // the peer that said PeerMessage
	PeerMessage    []byte                  `json:"Heard,omitempty"`
}

// Callbacks is what a process does about the other one. Its methods are called by one goroutine at a time.
type Callbacks struct {
	Connected    func() StateMessage // the other process came; what it is told first
	Received     func(StateMessage)  // it told something
	Disconnected func()              // it is gone
}

// Coordinator is where processes of one broker meet.
type Coordinator struct {
	side Callbacks
	ln   net.Listener

	mu   sync.Mutex
	line *line // to the other process, nil for none
}

// SocketPath is where processes that listen at one address meet.
func SocketPath(dir, listen string) string {
	return filepath.Join(dir, "junctionwharf-"+strings.NewReplacer(":", "-", "/", "-").Replace(listen)+".sock")
}

// Open meets the process that answers at path, if there is one, and takes its place there. It returns whether it
// met one; Callbacks.Received has had all that it handed over by then.
func Open(path string, side Callbacks) (o *Coordinator, met bool, err error) {
	o = &Coordinator{side: side}
	if conn, err := net.DialTimeout("unix", path, greetTime); err == nil {
		l := newLine(conn)
		conn.SetReadDeadline(time.Now().Add(greetTime))
		var first StateMessage
		if l.in.Decode(&first) == nil {
			conn.SetReadDeadline(time.Time{})
			side.Connected()
			side.Received(first)
			o.line, met = l, true
		} else {
			conn.Close()
		}
	}
	// A file that is left of a killed process, or the old one's, gives way to this name without a moment in between.
	fresh := path + "." + strconv.Itoa(os.Getpid())
	os.Remove(fresh)
	ln, err := net.Listen("unix", fresh)
	if err == nil {
		ln.(*net.UnixListener).SetUnlinkOnClose(false)
		if err = os.Rename(fresh, path); err != nil {
			ln.Close()
		}
	}
	if err != nil {
		if o.line != nil {
			o.line.conn.Close()
		}
		return nil, false, err
	}
	o.ln = ln
	if o.line != nil {
		go o.follow(o.line)
	}
	go o.accept()
	return o, met, nil
}

// accept meets successors, one at a time.
func (o *Coordinator) accept() {
	for {
		conn, err := o.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(writeTime)
			continue
		}
		l := newLine(conn)
		l.successor = true
		o.mu.Lock()
		taken := o.line != nil
		if !taken {
			o.line = l
		}
		o.mu.Unlock()
		if taken {
			conn.Close()
			continue
		}
		first := o.side.Connected()
		go l.write(&first)
		o.read(l)
	}
}

// follow keeps the line to the predecessor.
func (o *Coordinator) follow(l *line) {
	go l.write(nil)
	o.read(l)
}

// read takes what the other process tells until it is gone.
func (o *Coordinator) read(l *line) {
	for {
		var news StateMessage
		if l.in.Decode(&news) != nil {
			break
		}
		o.side.Received(news)
	}
	l.conn.Close()
	close(l.ended)
	o.mu.Lock()
	o.line = nil
	o.mu.Unlock()
	o.side.Disconnected()
}

// Send tells the other process, if there is one. It does not block.
func (o *Coordinator) Send(news StateMessage) {
	o.mu.Lock()
	l := o.line
	o.mu.Unlock()
	if l == nil {
		return
	}
	select {
	case l.out <- news:
	default: // it takes nothing any more
		l.conn.Close()
	}
}

// HasSuccessor tells whether a successor is there.
func (o *Coordinator) HasSuccessor() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.line != nil && o.line.successor
}

// Close parts. The socket file stays: it may be a successor's, and one that nobody answers at does no harm.
func (o *Coordinator) Close() {
	o.ln.Close()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.line != nil {
		o.line.conn.Close()
	}
}

// line is a connection to the other process.
type line struct {
	conn      net.Conn
	successor bool // the other process came later
	in        *json.Decoder
	out       chan StateMessage
	ended     chan struct{}
}

func newLine(conn net.Conn) *line {
	return &line{conn: conn, in: json.NewDecoder(conn), out: make(chan StateMessage, backlog), ended: make(chan struct{})}
}

func (l *line) write(first *StateMessage) {
	out := json.NewEncoder(l.conn)
	if first != nil {
		l.conn.SetWriteDeadline(time.Now().Add(writeTime))
		if out.Encode(first) != nil {
			l.conn.Close()
			return
		}
	}
	for {
		select {
		case <-l.ended:
			return
		case news := <-l.out:
			l.conn.SetWriteDeadline(time.Now().Add(writeTime))
			if out.Encode(news) != nil {
				l.conn.Close()
				return
			}
		}
	}
}
