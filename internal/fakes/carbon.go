package fakes

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// ReceiverMode is how a receiver treats its connections.
type ReceiverMode int32

// The modes of a receiver.
const (
	Reading    ReceiverMode = iota // reads all that comes
	NotReading                     // accepts and never reads
	Resetting                      // reads a little, then resets the connection
	Trickling                      // reads a byte a second
)

const (
	// maxCarbonLine is the longest plaintext line, in bytes, that is read; longer than any path that Carbon can file.
	maxCarbonLine = 4096
	// maxCarbonPickle is the largest batch in bytes, which is Carbon's own bound (MAX_LENGTH of its pickle receiver).
	maxCarbonPickle = 1 << 20
	// bytesBeforeReset is what a Resetting receiver reads first. A line is some 80 bytes long: the sender has seen its
	// connection work, and loses a line in the middle.
	bytesBeforeReset = 100
	// unreadBuffer is the receive buffer in bytes of a connection that is not read. With the system's default, of
	// megabytes, a sender would not notice for minutes that nobody reads.
	unreadBuffer = 4096
	// trickleInterval is the time between two bytes that a Trickling receiver reads.
	trickleInterval = time.Second
	// maxDatagram is the largest UDP datagram in bytes.
	maxDatagram = 64 << 10
)

// errResetByMode ends a connection in mode Resetting; it is no error of the sender.
var errResetByMode = errors.New("reset by the receiver's mode")

// Carbon is a fake of a Carbon receiver: plaintext lines over TCP and UDP at one port, or pickles over TCP.
type Carbon struct {
	*PointStore

	pickles   bool
	listener  net.Listener
	datagrams net.PacketConn // nil with pickles
	mode      atomic.Int32   // a ReceiverMode

	mu          sync.Mutex // guards what follows
	conns       map[net.Conn]bool
	closed      bool
	modeChanged chan struct{} // closed and made anew at each change of mode
}

// NewCarbon listens at a TCP address, and at the same port for datagrams unless it takes pickles.
func NewCarbon(address string, pickles bool, points *PointStore) (*Carbon, error) {
	c := &Carbon{
		PointStore:  points,
		pickles:     pickles,
		conns:       map[net.Conn]bool{},
		modeChanged: make(chan struct{}),
	}
	var err error
	c.listener, err = net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	if !pickles {
		c.datagrams, err = net.ListenPacket("udp", c.listener.Addr().String())
		if err != nil {
			_ = c.listener.Close() // the error that counts is the one above
			return nil, err
		}
		go c.readDatagrams()
	}
	go c.acceptAll()
	return c, nil
}

// Address returns where it listens.
func (c *Carbon) Address() string { return c.listener.Addr().String() }

// SetMode changes the mode, also of open connections that wait for their next bytes.
func (c *Carbon) SetMode(mode ReceiverMode) {
	c.mode.Store(int32(mode))
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		close(c.modeChanged)
		c.modeChanged = make(chan struct{})
	}
}

func (c *Carbon) currentMode() ReceiverMode { return ReceiverMode(c.mode.Load()) }

// Close ends the listener and resets all connections, as a killed process would.
func (c *Carbon) Close() {
	_ = c.listener.Close() // its accept loop ends in any case
	if c.datagrams != nil {
		_ = c.datagrams.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	close(c.modeChanged)
	for conn := range c.conns {
		resetConn(conn)
	}
}

// resetConn closes a connection by a reset (RST), as the kernel does for a killed process.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// acceptAll accepts connections until Close.
func (c *Carbon) acceptAll() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		c.mu.Lock()
		closed := c.closed
		c.conns[conn] = true
		c.mu.Unlock()
		if closed {
			resetConn(conn)
			return
		}
		if tcp, ok := conn.(*net.TCPConn); ok && c.currentMode() != Reading {
			_ = tcp.SetReadBuffer(unreadBuffer) // what the system takes in its place is no reading
		}
		go c.serve(conn)
	}
}

// serve reads one connection to its end.
func (c *Carbon) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		c.mu.Lock()
		delete(c.conns, conn)
		c.mu.Unlock()
	}()
	in := bufio.NewReaderSize(modeReader{conn, c}, maxCarbonLine)
	read := c.readLines
	if c.pickles {
		read = c.readPickles
	}
	err := read(in)
	if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, errResetByMode) {
		c.addError("carbon: %v", err)
	}
}

// modeReader reads a connection as the receiver's mode allows.
type modeReader struct {
	net.Conn
	carbon *Carbon
}

// Read implements io.Reader.
func (r modeReader) Read(b []byte) (int, error) {
	for r.carbon.currentMode() == NotReading {
		if !r.carbon.awaitModeChange() {
			return 0, net.ErrClosed
		}
	}
	switch r.carbon.currentMode() {
	case Trickling:
		time.Sleep(trickleInterval)
		return r.Conn.Read(b[:1])
	case Resetting:
		_, _ = io.ReadFull(r.Conn, make([]byte, bytesBeforeReset)) // it is reset, whatever came
		resetConn(r.Conn)
		return 0, errResetByMode
	default:
		return r.Conn.Read(b)
	}
}

// awaitModeChange waits for the next change of mode, and reports false once the receiver is closed.
func (c *Carbon) awaitModeChange() bool {
	c.mu.Lock()
	changed := c.modeChanged
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return false
	}
	<-changed
	return true
}

// readLines reads plaintext lines. Half a line at the end is an error.
func (c *Carbon) readLines(in *bufio.Reader) error {
	for {
		line, err := in.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" {
			return nil
		}
		if err != nil {
			return err
		}
		c.addLine(strings.TrimSuffix(line, "\n"))
	}
}

func (c *Carbon) addLine(line string) {
	point, err := ParseLine(line)
	if err != nil {
		c.addError("carbon: %v", err)
		return
	}
	c.add(point)
}

// readDatagrams reads plaintext lines from datagrams until Close. A receiver that is not Reading loses them.
func (c *Carbon) readDatagrams() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := c.datagrams.ReadFrom(buffer)
		if err != nil {
			return
		}
		if c.currentMode() != Reading {
			continue
		}
		for line := range bytes.Lines(buffer[:n]) {
			c.addLine(string(bytes.TrimSuffix(line, []byte("\n"))))
		}
	}
}

// readPickles reads batches, each behind its length in four bytes.
func (c *Carbon) readPickles(in *bufio.Reader) error {
	for {
		var size uint32
		err := binary.Read(in, binary.BigEndian, &size)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if size > maxCarbonPickle {
			return fmt.Errorf("a pickle of %d bytes", size)
		}
		body := make([]byte, size)
		if _, err := io.ReadFull(in, body); err != nil {
			return err
		}
		points, err := ParsePickle(body)
		if err != nil {
			return err
		}
		c.add(points...)
	}
}
