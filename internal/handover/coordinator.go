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
)

const (
	// greetTimeout bounds the connection to the old process and its first message. Higher, a start beside a hanging
	// process is late by as much; lower, a busy old process hands nothing over, and open ids are accepted twice.
	greetTimeout = 500 * time.Millisecond
	// writeTimeout bounds the writing of one message; a process that does not read for so long counts as gone.
	// Higher, the queue below fills behind a hanging process; lower, a short stall of the machine ends a sound
	// handover.
	writeTimeout = 500 * time.Millisecond
	// acceptRetryDelay is the pause after a failed accept, such as for want of file descriptors. Higher, a successor
	// waits longer and gives up after greetTimeout; lower, the loop takes processor time from requests.
	acceptRetryDelay = 500 * time.Millisecond
	// sendQueueLength is how many messages may wait for the other process. Higher, a hanging process costs more memory;
	// lower, a burst of requests ends a sound handover.
	sendQueueLength = 4096
)

// Callbacks is what a process does about the other one. They are called by one goroutine at a time.
type Callbacks struct {
	Connected    func() StateMessage // the other process is there; returns the first message for a successor
	Received     func(StateMessage)  // the other process sent something
	Disconnected func()              // the other process is gone
}

// Coordinator holds the place where processes of one broker meet, and the connection to the other one.
type Coordinator struct {
	callbacks Callbacks
	listener  net.Listener // for successors; its goroutine, acceptSuccessors, ends with Close

	mu   sync.Mutex
	peer *peerConn // the other process; nil for none
}

// SocketPath is the Unix socket at which processes that listen at one address meet.
func SocketPath(dir, listen string) string {
	name := strings.NewReplacer(":", "-", "/", "-").Replace(listen)
	return filepath.Join(dir, "junctionwharf-"+name+".sock")
}

// Open connects to the process that answers at path, if there is one, and takes its place there. It returns whether it
// found one; Callbacks.Received has had all that it handed over by then.
func Open(path string, callbacks Callbacks) (c *Coordinator, found bool, err error) {
	c = &Coordinator{callbacks: callbacks}
	predecessor := c.connectToPredecessor(path)
	c.listener, err = replaceSocket(path)
	if err != nil {
		if predecessor != nil {
			predecessor.close()
		}
		return nil, false, err
	}
	if predecessor != nil {
		go predecessor.writeQueue()
		go c.readFrom(predecessor)
	}
	go c.acceptSuccessors()
	return c, predecessor != nil, nil
}

// connectToPredecessor returns the connection to the process at path, whose state it has passed on, or nil.
func (c *Coordinator) connectToPredecessor(path string) *peerConn {
	conn, err := net.DialTimeout("unix", path, greetTimeout)
	if err != nil {
		return nil
	}
	peer := newPeerConn(conn)
	first, err := peer.readFirst()
	if err != nil {
		peer.close()
		return nil
	}
	c.callbacks.Connected()
	c.callbacks.Received(first)
	c.peer = peer
	return peer
}

// replaceSocket listens at path. A file that is left of a killed process, or the old process's, gives way to the new
// socket by a rename, without a moment in which nobody answers.
func replaceSocket(path string) (net.Listener, error) {
	temporary := path + "." + strconv.Itoa(os.Getpid())
	_ = os.Remove(temporary) // left by a process of the same id; usually there is none
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: temporary, Net: "unix"})
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false)
	if err := os.Rename(temporary, path); err != nil {
		_ = listener.Close()
		return nil, err
	}
	return listener, nil
}

// acceptSuccessors serves successors, one at a time, until the listener is closed.
func (c *Coordinator) acceptSuccessors() {
	for {
		conn, err := c.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		c.serveSuccessor(conn)
	}
}

// serveSuccessor keeps the connection to a successor until that is gone. With another process already there it is
// refused.
func (c *Coordinator) serveSuccessor(conn net.Conn) {
	peer := newPeerConn(conn)
	peer.successor = true
	if !c.setPeer(peer) {
		peer.close()
		return
	}
	first := c.callbacks.Connected()
	go peer.writeFrom(first)
	c.readFrom(peer)
}

// setPeer makes peer the other process, unless there is one.
func (c *Coordinator) setPeer(peer *peerConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peer != nil {
		return false
	}
	c.peer = peer
	return true
}

// readFrom passes on what the other process sends until it is gone.
func (c *Coordinator) readFrom(peer *peerConn) {
	for {
		message, err := peer.read()
		if err != nil {
			break
		}
		c.callbacks.Received(message)
	}
	peer.close()
	close(peer.done)
	c.mu.Lock()
	c.peer = nil
	c.mu.Unlock()
	c.callbacks.Disconnected()
}

// Send sends a message to the other process, if there is one. It does not block: a process that reads nothing any
// more is disconnected once its queue is full.
func (c *Coordinator) Send(message StateMessage) {
	c.mu.Lock()
	peer := c.peer
	c.mu.Unlock()
	if peer == nil {
		return
	}
	select {
	case peer.queue <- message:
	default:
		peer.close()
	}
}

// HasSuccessor reports whether a successor is connected.
func (c *Coordinator) HasSuccessor() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peer != nil && c.peer.successor
}

// Close disconnects. The socket's file stays: it may be a successor's, and one at which nobody answers does no harm.
func (c *Coordinator) Close() {
	_ = c.listener.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peer != nil {
		c.peer.close()
	}
}

// peerConn is the connection to the other process. Coordinator.readFrom owns it: it ends the writing goroutine by done.
type peerConn struct {
	conn      net.Conn
	successor bool // the other process started later than this one
	decoder   *json.Decoder
	encoder   *json.Encoder
	queue     chan StateMessage
	done      chan struct{} // closed when the other process is gone
}

func newPeerConn(conn net.Conn) *peerConn {
	return &peerConn{
		conn:    conn,
		decoder: json.NewDecoder(conn),
		encoder: json.NewEncoder(conn),
		queue:   make(chan StateMessage, sendQueueLength),
		done:    make(chan struct{}),
	}
}

// close ends the connection: the reader fails, and with it the writer.
func (p *peerConn) close() {
	_ = p.conn.Close()
}

// readFirst reads the predecessor's first message, which comes at once or not at all.
func (p *peerConn) readFirst() (StateMessage, error) {
	// It fails only on a closed connection, as the read then does.
	_ = p.conn.SetReadDeadline(time.Now().Add(greetTimeout))
	message, err := p.read()
	if err == nil {
		_ = p.conn.SetReadDeadline(time.Time{})
	}
	return message, err
}

func (p *peerConn) read() (StateMessage, error) {
	var message StateMessage
	err := p.decoder.Decode(&message)
	return message, err
}

// writeFrom writes a first message, then the queue.
func (p *peerConn) writeFrom(first StateMessage) {
	if p.write(first) {
		p.writeQueue()
	}
}

// writeQueue writes what is queued until the other process is gone.
func (p *peerConn) writeQueue() {
	for {
		select {
		case <-p.done:
			return
		case message := <-p.queue:
			if !p.write(message) {
				return
			}
		}
	}
}

// write reports whether a message was written; if not, the connection is closed.
func (p *peerConn) write(message StateMessage) bool {
	// It fails only on a closed connection, as the write then does.
	_ = p.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if p.encoder.Encode(message) != nil {
		p.close()
		return false
	}
	return true
}
