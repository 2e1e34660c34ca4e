package fakes

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	pickle "github.com/kisielk/og-rek"
)

// ReceiverMode is how a receiver treats its connections.
type ReceiverMode int32

// The manners.
const (
	Reading    ReceiverMode = iota
	NotReading              // accepts and never reads
	Resetting               // reads a little, then resets the connection
	Trickling               // takes a byte a second
)

// Carbon is a stand-in for a Carbon receiver: plaintext lines over TCP and UDP at one port, or pickles over TCP.
type Carbon struct {
	*PointStore

	pickles bool
	ln      net.Listener
	packets net.PacketConn // nil with pickles
	manner  atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
	ended bool
	woken chan struct{} // closed and made anew at each change of manner
}

const (
	maxLine   = 4096
	maxPickle = 1 << 20
	resetsAt  = 100 // bytes

	smallBuffer = 4096
)

// NewCarbon listens at a TCP address, and at the same port for datagrams unless it takes pickles.
func NewCarbon(address string, pickles bool, points *PointStore) (*Carbon, error) {
	c := &Carbon{PointStore: points, pickles: pickles, conns: map[net.Conn]bool{}, woken: make(chan struct{})}
	var err error
	if c.ln, err = net.Listen("tcp", address); err != nil {
		return nil, err
	}
	if !pickles {
		if c.packets, err = net.ListenPacket("udp", c.ln.Addr().String()); err != nil {
			_ = c.ln.Close()
			return nil, err
		}
		go c.datagrams()
	}
	go c.accept()
	return c, nil
}

// Address is where it listens.
func (c *Carbon) Address() string { return c.ln.Addr().String() }

// SetMode changes the manner, also of open connections that wait for their next bytes.
func (c *Carbon) SetMode(m ReceiverMode) {
	c.manner.Store(int32(m))
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		close(c.woken)
		c.woken = make(chan struct{})
	}
}

// Close ends the listener and resets all connections, as a killed process would.
func (c *Carbon) Close() {
	_ = c.ln.Close()
	if c.packets != nil {
		_ = c.packets.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	close(c.woken)
	for conn := range c.conns {
		reset(conn)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (c *Carbon) accept() {
	for {
		conn, err := c.ln.Accept()
		if err != nil {
			return
		}
		c.mu.Lock()
		ended := c.ended
		c.conns[conn] = true
		c.mu.Unlock()
		if ended {
			reset(conn)
			return
		}
		if tcp, ok := conn.(*net.TCPConn); ok && ReceiverMode(c.manner.Load()) != Reading {
			_ = tcp.SetReadBuffer(smallBuffer) // what the system takes in its place is no reading
		}
		go func() {
			defer func() {
				_ = conn.Close()
				c.mu.Lock()
				delete(c.conns, conn)
				c.mu.Unlock()
			}()
			in := bufio.NewReaderSize(mannered{conn, c}, maxLine)
			var err error
			if c.pickles {
				err = c.readPickles(in)
			} else {
				err = c.readLines(in)
			}
			if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, errReset) {
				c.fault("carbon: %v", err)
			}
		}()
	}
}

var errReset = errors.New("reset by manner")

// mannered reads as the receiver's manner allows.
type mannered struct {
	net.Conn
	c *Carbon
}

func (m mannered) Read(b []byte) (int, error) {
	for ReceiverMode(m.c.manner.Load()) == NotReading {
		m.c.mu.Lock()
		woken, ended := m.c.woken, m.c.ended
		m.c.mu.Unlock()
		if ended {
			return 0, net.ErrClosed
		}
		<-woken
	}
	if ReceiverMode(m.c.manner.Load()) == Trickling {
		time.Sleep(time.Second)
		return m.Conn.Read(b[:1])
	}
	if ReceiverMode(m.c.manner.Load()) == Resetting {
		_, _ = io.ReadFull(m.Conn, make([]byte, resetsAt))
		reset(m.Conn)
		return 0, errReset
	}
	return m.Conn.Read(b)
}

func (c *Carbon) readLines(in *bufio.Reader) error {
	for {
		line, err := in.ReadString('\n')
		if err == io.EOF && line == "" {
			return nil
		}
		if err != nil {
			return err // half a line at the end is none
		}
		c.takeLine(strings.TrimSuffix(line, "\n"))
	}
}

func (c *Carbon) takeLine(line string) {
	p, err := ParseLine(line)
	if err != nil {
		c.fault("carbon: %v", err)
		return
	}
	c.add(p)
}

// ParseLine reads a plaintext line: a path, a value and a time.
func ParseLine(line string) (Point, error) {
	fields := strings.Split(line, " ")
	if len(fields) != 3 || len(line) > maxLine {
		return Point{}, fmt.Errorf("%q has not three fields", line)
	}
	if err := checkPath(fields[0]); err != nil {
		return Point{}, err
	}
	value, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return Point{}, fmt.Errorf("%q: its value is no number", line)
	}
	stamp, err := strconv.ParseInt(fields[2], 10, 64)
	if err != nil || stamp <= 0 {
		return Point{}, fmt.Errorf("%q: its time is no whole number above 0", line)
	}
	return Point{fields[0], stamp, value}, nil
}

// checkPath turns down what Carbon would file in the wrong place.
func checkPath(path string) error {
	name, tags, tagged := strings.Cut(path, ";")
	for part := range strings.SplitSeq(name, ".") {
		if part == "" || strings.ContainsAny(part, " \t\r\n/\\*?[]{}\x00") {
			return fmt.Errorf("path %q has a bad part %q", path, part)
		}
	}
	if !tagged {
		return nil
	}
	for tag := range strings.SplitSeq(tags, ";") {
		key, value, found := strings.Cut(tag, "=")
		if !found || key == "" || value == "" || value[0] == '~' {
			return fmt.Errorf("path %q has a bad tag %q", path, tag)
		}
	}
	return nil
}

func (c *Carbon) datagrams() {
	b := make([]byte, 64<<10)
	for {
		n, _, err := c.packets.ReadFrom(b)
		if err != nil {
			return
		}
		if ReceiverMode(c.manner.Load()) != Reading {
			continue
		}
		for line := range bytes.Lines(b[:n]) {
			c.takeLine(string(bytes.TrimSuffix(line, []byte("\n"))))
		}
	}
}

func (c *Carbon) readPickles(in *bufio.Reader) error {
	for {
		var size uint32
		if err := binary.Read(in, binary.BigEndian, &size); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		if size > maxPickle {
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

// ParsePickle reads a batch: [(path, (time, value)), ...].
func ParsePickle(body []byte) ([]Point, error) {
	value, err := pickle.NewDecoder(bytes.NewReader(body)).Decode()
	if err != nil {
		return nil, fmt.Errorf("pickle: %w", err)
	}
	list, ok := value.([]any)
	if !ok {
		return nil, fmt.Errorf("pickle: a %T is no list", value)
	}
	var points []Point
	for _, entry := range list {
		pair, ok := entry.(pickle.Tuple)
		if !ok || len(pair) != 2 {
			return nil, fmt.Errorf("pickle: %v is no pair", entry)
		}
		path, isPath := pair[0].(string)
		inner, isPair := pair[1].(pickle.Tuple)
		if !isPath || !isPair || len(inner) != 2 {
			return nil, fmt.Errorf("pickle: %v is no point", entry)
		}
		if err := checkPath(path); err != nil {
			return nil, err
		}
		stamp, err := wholeOf(inner[0])
		if err != nil {
			return nil, err
		}
		n, err := wholeOf(inner[1])
		if err != nil {
			return nil, err
		}
		points = append(points, Point{path, int64(stamp), n})
	}
	return points, nil
}

func wholeOf(value any) (float64, error) {
	switch n := value.(type) {
	case int64:
		return float64(n), nil
	case float64:
		return n, nil
	case *big.Int:
		f, _ := new(big.Float).SetInt(n).Float64()
		return f, nil
	}
	return 0, fmt.Errorf("pickle: a %T is no number", value)
}
