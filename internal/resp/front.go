package resp

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/redcon"

	"junctionwharf/broker"
)

const (
	maxPipeline  = 256             // requests of one connection that wait for answers; beyond it nothing is read
	writeTime    = 5 * time.Second // a client that reads nothing for so long is given up
	acceptPause  = 10 * time.Millisecond
	closeForRoom = 50 * time.Millisecond
)

// Front serves the platform's clients.
type Front struct {
	loop  *broker.Loop
	log   func(string)
	room  chan struct{} // one for each connection
	mu    sync.Mutex
	conns map[*client]struct{}
	leave bool
	ln    net.Listener
}

// NewFront returns a front that holds most connections at the most.
func NewFront(loop *broker.Loop, most int, log func(string)) *Front {
	return &Front{loop: loop, log: log, room: make(chan struct{}, most), conns: map[*client]struct{}{}}
}

// Serve serves ln until it is closed.
func (f *Front) Serve(ln net.Listener) error {
	f.mu.Lock()
	f.ln = ln
	f.mu.Unlock()
	server := redcon.NewServerNetwork(ln.Addr().Network(), ln.Addr().String(), f.handle, nil, nil)
	server.AcceptError = func(err error) {
		f.log("clients: accept: " + err.Error())
		time.Sleep(acceptPause)
	}
	return server.Serve(&listener{Listener: ln, front: f})
}

// listener accepts a client when there is room for it.
type listener struct {
	net.Listener
	front *Front
}

// Accept implements net.Listener. It guards against a full socket table: a client that finds no room waits
// in the kernel's queue, while connections without requests give way.
func (l *listener) Accept() (net.Conn, error) {
	for taken := false; !taken; {
		select {
		case l.front.room <- struct{}{}:
			taken = true
		case <-time.After(closeForRoom):
			l.front.closeIdlest()
		}
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.front.room
		return nil, err
	}
	return &guard{Conn: conn}, nil
}

// handle gets the guard's first command and takes the connection from redcon, whose own loop would read
// nothing more before a request is answered.
func (f *Front) handle(conn redcon.Conn, _ redcon.Command) {
	c := &client{front: f, in: conn.Detach(), conn: conn.NetConn(), wake: make(chan struct{}, 1), used: time.Now()}
	f.mu.Lock()
	f.conns[c] = struct{}{}
	f.mu.Unlock()
	go c.read()
	go c.write()
}

func (f *Front) forget(c *client) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, held := f.conns[c]; held {
		delete(f.conns, c)
		<-f.room
	}
}

// closeIdlest closes the connection that has been without a request for longest.
func (f *Front) closeIdlest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var idlest *client
	for c := range f.conns {
		if c.idle() && (idlest == nil || c.used.Before(idlest.used)) {
			idlest = c
		}
	}
	if idlest != nil {
		idlest.conn.Close()
	}
}

// Drain takes no more connections and closes each as soon as it waits for no answer.
func (f *Front) Drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leave = true
	if f.ln != nil {
		f.ln.Close()
	}
	for c := range f.conns {
		c.signal()
	}
}

// Clients tells how many connections are open.
func (f *Front) Clients() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

func (f *Front) leaving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leave
}

// client is one connection. Its slots are the answers owed, in the order of the commands.
type client struct {
	front *Front
	in    redcon.DetachedConn
	conn  net.Conn
	wake  chan struct{}

	mu    sync.Mutex
	slots []*slot
	room  *sync.Cond
	used  time.Time
	ended bool // nothing more is read; what is owed is still written unless gone
	gone  bool
}

type slot struct {
	id    uint64 // of the request in the core, 0 for none
	ready bool
	last  bool // the connection ends after it
	text  net.Buffers
}

func (c *client) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *client) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.slots) == 0
}

// stopPanic guards the process against a fault met by one connection.
func (c *client) stopPanic() {
	if r := recover(); r != nil {
		c.front.log(fmt.Sprintf("clients: panic: %v", r))
		c.conn.Close()
	}
}

func (c *client) read() {
	defer c.end()
	defer c.stopPanic()
	for {
		cmd, err := c.in.ReadCommand()
		if err != nil {
			if errors.Is(err, errProtocol) || strings.HasPrefix(err.Error(), errProtocol.Error()[:14]) {
				c.refuse(errProtocol)
			}
			return
		}
		if !c.take(cmd) {
			return
		}
	}
}

// refuse answers malformed input and ends the connection behind the answer.
func (c *client) refuse(err error) {
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	c.push(&slot{ready: true, last: true, text: net.Buffers{[]byte("-ERR " + err.Error() + "\r\n")}})
}

// take takes one command and tells whether to read on.
func (c *client) take(cmd redcon.Command) bool {
	if len(cmd.Args) == 1 && strings.EqualFold(string(cmd.Args[0]), "PING") {
		return c.push(&slot{ready: true, text: net.Buffers{[]byte("+PONG\r\n")}})
	}
	req, err := parse(cmd.Raw, cmd.Args)
	if err != nil {
		c.refuse(err)
		return false
	}
	s := &slot{}
	if !c.push(s) {
		return false
	}
	id := c.front.loop.Submit(req, func(final broker.Final) {
		text := answer(final)
		c.mu.Lock()
		s.ready, s.text = true, text
		c.mu.Unlock()
		c.signal()
	})
	c.mu.Lock()
	s.id = id
	c.mu.Unlock()
	return true
}

// push queues an answer owed. It waits while too many are owed.
func (c *client) push(s *slot) bool {
	c.mu.Lock()
	for len(c.slots) >= maxPipeline && !c.gone {
		if c.room == nil {
			c.room = sync.NewCond(&c.mu)
		}
		c.room.Wait()
	}
	c.slots = append(c.slots, s)
	c.used = time.Now()
	gone := c.gone
	c.mu.Unlock()
	if s.ready {
		c.signal()
	}
	return !gone
}

// end follows the last read: but for an answer to malformed input, the client has gone away.
func (c *client) end() {
	c.mu.Lock()
	gone := !c.ended
	if gone {
		c.gone = true
	}
	var left []uint64
	for _, s := range c.slots {
		if gone && !s.ready && s.id > 0 {
			left = append(left, s.id)
		}
	}
	c.mu.Unlock()
	if gone {
		c.conn.Close()
	}
	for _, id := range left {
		c.front.loop.Leave(id)
	}
	c.signal()
}

func (c *client) write() {
	defer c.front.forget(c)
	defer c.conn.Close()
	defer c.stopPanic()
	for range c.wake {
		out, last, gone := c.ready()
		if gone {
			return
		}
		if len(out) > 0 {
			c.conn.SetWriteDeadline(time.Now().Add(writeTime))
			if g, ok := c.conn.(*guard); ok { // the socket itself gathers, a wrapper would not
				_, err := out.WriteTo(g.Conn)
				if err != nil {
					return
				}
			}
		}
		if last || c.front.leaving() && c.idle() {
			return
		}
	}
}

// ready takes the answers that are next in order.
func (c *client) ready() (out net.Buffers, last, gone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.slots) > 0 && c.slots[0].ready && !last {
		out = append(out, c.slots[0].text...)
		last = c.slots[0].last
		c.slots = c.slots[1:]
	}
	if c.room != nil {
		c.room.Signal()
	}
	return out, last, c.gone
}

// answer words a final answer.
func answer(final broker.Final) net.Buffers {
	switch final.Verdict {
	case broker.Served:
		value, _ := final.Value.([]byte)
		head := strconv.AppendInt([]byte{'$'}, int64(len(value)), 10)
		return net.Buffers{append(head, '\r', '\n'), value, []byte("\r\n")}
	case broker.Refused:
		text := []byte("-BUSY")
		if final.After > 0 {
			text = strconv.AppendInt(append(text, ' '), int64((final.After+999)/1000), 10)
		}
		return net.Buffers{append(text, '\r', '\n')}
	}
	return net.Buffers{[]byte("-ERR failed\r\n")}
}
