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
	// greetTimeout bounds the time to connect to the predecessor, and then the time until its first message. With a
	// larger value, a hanging predecessor delays the start for longer. With a smaller value, a busy predecessor may
	// hand over no state, and a request with an id that is open there is accepted a second time.
	greetTimeout = 500 * time.Millisecond
	// writeTimeout bounds the time to write one message. A process that does not read for that long is disconnected.
	// With a larger value, a hanging process is disconnected later, and messages to it are queued for longer. With a
	// smaller value, a short stall of the machine ends a working handover.
	writeTimeout = 500 * time.Millisecond
	// acceptRetryDelay is the pause after a failed accept, for example if there are no file descriptors left. With a
	// larger value, a successor waits longer and gives up after greetTimeout. With a smaller value, the loop uses
	// processor time that requests need.
	acceptRetryDelay = 500 * time.Millisecond
	// sendQueueLength is the maximum number of messages queued for the other process. With a larger value, a hanging
	// process costs more memory. With a smaller value, a burst of requests ends a working handover.
	sendQueueLength = 4096
)

// Callbacks are the functions that a Coordinator calls. For one connection, only one goroutine at a time calls them.
type Callbacks struct {
	Connected    func() StateMessage // the other process has connected; returns the first message for a successor
	Received     func(StateMessage)  // the other process has sent a message
	Disconnected func()              // the connection to the other process has ended
}

// Coordinator owns the socket at which processes of one broker connect, and the connection to the other process.
type Coordinator struct {
	callbacks Callbacks
	listener  net.Listener // for successors; acceptSuccessors ends when Close closes it

	mu   sync.Mutex
	peer *peerConn // the other process; nil for none
}

// SocketPath returns the path of the Unix socket for the processes of a broker that listens at the address listen.
func SocketPath(dir, listen string) string {
	name := strings.NewReplacer(":", "-", "/", "-").Replace(listen)
	return filepath.Join(dir, "junctionwharf-"+name+".sock")
}

// Open connects to the process that listens at path, if there is one, and replaces its socket. found reports whether a
// process answered. In that case, Open has called Callbacks.Connected, and Callbacks.Received with the state that the
// process handed over. Open fails if the socket cannot be created.
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

// connectToPredecessor connects to the process at path, calls Callbacks.Connected, and passes the first message of that
// process to Callbacks.Received. It returns nil if no process answers.
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

// replaceSocket listens at path. It renames the new socket over an existing file, which the predecessor or a killed
// process has created. With a predecessor, a process therefore listens at path at any time.
func replaceSocket(path string) (net.Listener, error) {
	temporary := path + "." + strconv.Itoa(os.Getpid())
	_ = os.Remove(temporary) // a killed process with the same id may have left it
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

// acceptSuccessors accepts successors, one at a time, until the listener is closed.
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

// serveSuccessor exchanges messages with a successor until the connection ends. It closes the connection at once if
// another process is already connected.
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

// setPeer stores peer as the connection to the other process. It returns false if another process is already connected.
func (c *Coordinator) setPeer(peer *peerConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peer != nil {
		return false
	}
	c.peer = peer
	return true
}

// readFrom passes the messages of the other process to Callbacks.Received until the connection ends, and then calls
// Callbacks.Disconnected.
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

// Send queues a message to the other process, if one is connected. It does not block: if the queue is full, since the
// other process no longer reads, Send closes the connection.
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

// Close closes the listener and the connection. It does not remove the socket's file, because the file may already
// belong to a successor. A file without a listener does no harm.
func (c *Coordinator) Close() {
	_ = c.listener.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peer != nil {
		c.peer.close()
	}
}

// peerConn is the connection to the other process. Coordinator.readFrom reads from it, and closes it and done at its
// end. Closing done ends the writing goroutine.
type peerConn struct {
	conn      net.Conn
	successor bool // the other process started later than this one
	decoder   *json.Decoder
	encoder   *json.Encoder
	queue     chan StateMessage
	done      chan struct{} // closed by readFrom when the connection has ended
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

// close closes the connection. The next read then fails in readFrom, which ends the writing goroutine.
func (p *peerConn) close() {
	_ = p.conn.Close()
}

// readFirst reads the predecessor's first message, which must arrive within greetTimeout.
func (p *peerConn) readFirst() (StateMessage, error) {
	// This fails only on a closed connection, and then the read fails as well.
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

// writeFrom writes a first message and then the queued ones.
func (p *peerConn) writeFrom(first StateMessage) {
	if p.write(first) {
		p.writeQueue()
	}
}

// writeQueue writes queued messages until the connection ends.
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

// write writes a message and reports whether it succeeded. On failure it closes the connection.
func (p *peerConn) write(message StateMessage) bool {
	// This fails only on a closed connection, and then the write fails as well.
	_ = p.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if p.encoder.Encode(message) != nil {
		p.close()
		return false
	}
	return true
}
