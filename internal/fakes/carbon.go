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

// ReceiverMode selects how a receiver treats its connections.
type ReceiverMode int32

// The modes of a receiver.
const (
	Reading    ReceiverMode = iota // reads all data
	NotReading                     // accepts connections and reads nothing
	Resetting                      // reads a few bytes, then resets the connection
	Trickling                      // reads one byte a second
)

const (
	// maxCarbonLine is the maximum length of a plaintext line in bytes. It exceeds the longest path that Carbon can
	// store.
	maxCarbonLine = 4096
	// maxCarbonPickle is the maximum size of a batch in bytes. Carbon has the same limit (MAX_LENGTH of its pickle
	// receiver).
	maxCarbonPickle = 1 << 20
	// bytesBeforeReset is the number of bytes that a Resetting receiver reads before it resets the connection. A line
	// has some 80 bytes. Thus the sender has used the connection successfully, and the reset cuts a line in two.
	bytesBeforeReset = 100
	// unreadBuffer is the size in bytes of the receive buffer of a connection in all modes except Reading. With the
	// system default of several megabytes, a sender would notice only after minutes that its data is not read.
	unreadBuffer = 4096
	// trickleInterval is the time between two bytes that a Trickling receiver reads.
	trickleInterval = time.Second
	// maxDatagram is the largest UDP datagram in bytes.
	maxDatagram = 64 << 10
)

// errResetByMode is returned by reads that reset the connection in mode Resetting. It does not indicate a fault of the
// sender.
var errResetByMode = errors.New("connection reset by a receiver in mode Resetting")

// Carbon is a fake of a Carbon receiver. It receives either plaintext lines over TCP and UDP on the same port, or
// pickles over TCP.
type Carbon struct {
	*PointStore

	pickles   bool
	listener  net.Listener
	datagrams net.PacketConn // nil if the receiver expects pickles
	mode      atomic.Int32   // a ReceiverMode

	mu          sync.Mutex // guards the fields below
	conns       map[net.Conn]bool
	closed      bool
	modeChanged chan struct{} // closed and replaced at each change of mode
}

// NewCarbon starts a receiver at a TCP address. A receiver of plaintext lines also listens on the same UDP port.
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
			_ = c.listener.Close() // the error of ListenPacket is returned
			return nil, err
		}
		go c.readDatagrams()
	}
	go c.acceptAll()
	return c, nil
}

// Address returns the listening address.
func (c *Carbon) Address() string { return c.listener.Addr().String() }

// SetMode changes the mode. The new mode also applies to open connections, from their next read.
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

// Close closes the listeners and resets all connections, as the kernel does for a killed process.
func (c *Carbon) Close() {
	_ = c.listener.Close() // acceptAll returns in any case
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

// resetConn closes a connection with a reset (RST).
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
			_ = tcp.SetReadBuffer(unreadBuffer) // best effort; with a larger buffer, the sender notices later
		}
		go c.serve(conn)
	}
}

// serve reads one connection until it ends.
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
		_, _ = io.ReadFull(r.Conn, make([]byte, bytesBeforeReset)) // the connection is reset even if fewer bytes arrive
		resetConn(r.Conn)
		return 0, errResetByMode
	default:
		return r.Conn.Read(b)
	}
}

// awaitModeChange waits for the next change of mode. It returns false if the receiver is closed before the call.
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

// readLines reads plaintext lines until the connection ends. An incomplete last line is an error.
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

// readDatagrams reads plaintext lines from datagrams until Close. In all modes except Reading, it drops them.
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

// readPickles reads batches until the connection ends. Each batch is preceded by its length in four bytes.
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
			return fmt.Errorf("pickle of %d bytes exceeds the limit of %d", size, maxCarbonPickle)
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
