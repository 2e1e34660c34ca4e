package resp

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"junctionwharf/broker"
	"junctionwharf/internal/clientconn"
	"junctionwharf/internal/pool"
)

const (
	maxPipeline = 64               // requests of one connection that wait for answers; beyond it nothing is read
	lingerTime  = time.Second / 2  // between the refusal of a connection for which there is no room and its end, at the most
	lingerStep  = time.Millisecond // of silence, after which it ends while others wait in the kernel's queue
	logEvery    = 10 * time.Second
)

// Server serves the platform's clients.
type Server struct {
	*clientconn.Table
	loop   *broker.Loop
	terms  atomic.Pointer[RequestLimits]
	log    *slog.Logger
	budget *clientconn.ByteBudget

	mu      sync.Mutex
	open    map[string]struct{} // ids of requests that wait for their answer
	others  map[string]struct{} // and of those that wait at the broker's other process
	tell    func(id string, opened bool)
	faults  int       // commands turned away since the last line about them
	faultAt time.Time // of that line
}

// NewServer returns a front that holds most connections, and bytes of requests and answers, at the most. Beyond maxIdle
// connections idle ones end.
func NewServer(loop *broker.Loop, terms RequestLimits, most, maxIdle, bytes int, log *slog.Logger) *Server {
	log = log.With("front", "clients")
	f := &Server{Table: clientconn.NewTable(most, maxIdle, log), loop: loop, log: log, budget: clientconn.NewByteBudget(bytes),
		open: map[string]struct{}{}, others: map[string]struct{}{}, tell: func(string, bool) {}}
	f.SetLimits(terms)
	return f
}

// OnRequestChange has each id that opens or ends told to the broker's other process. It comes before Serve; tell does not block.
func (f *Server) OnRequestChange(tell func(id string, opened bool)) { f.tell = tell }

// OpenRequestIDs returns the ids of the requests that wait for their answer.
func (f *Server) OpenRequestIDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.open))
}

// UpdateRemoteRequests takes what the other process tells of its requests.
func (f *Server) UpdateRemoteRequests(opened, ended []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range opened {
		f.others[id] = struct{}{}
	}
	for _, id := range ended {
		delete(f.others, id)
	}
}

// ForgetRemoteRequests forgets the other process, which is gone.
func (f *Server) ForgetRemoteRequests() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.others)
}

// RejectOverLimit has up to so many connections at a time beyond the limit answered and ended. It comes before Serve.
func (f *Server) RejectOverLimit(most int) {
	f.Table.RejectOverLimit(most, f.reject, f.loop.SheddingLoad)
}

// ResizeBudget changes how many bytes of requests and answers there may be.
func (f *Server) ResizeBudget(bytes int) { f.budget.Resize(bytes) }

// SetLimits changes what requests may ask for from now on.
func (f *Server) SetLimits(terms RequestLimits) {
	terms.busy = answer(broker.Response{Verdict: broker.Rejected, RetryAfter: terms.After})[0]
	f.terms.Store(&terms)
}

// enter notes the id of a request. It guards the one final answer, and the rule on second attempts at nodes,
// against an id that is open already.
func (f *Server) enter(id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, here := f.open[id]
	if _, there := f.others[id]; here || there {
		return fmt.Errorf("%w: a request with this id is open", errForm)
	}
	f.open[id] = struct{}{}
	f.tell(id, true)
	return nil
}

func (f *Server) leave(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, open := f.open[id]; open {
		delete(f.open, id)
		f.tell(id, false)
	}
}

// fault logs what was turned away, now and then.
func (f *Server) fault(err error) {
	f.mu.Lock()
	f.faults++
	count, now := f.faults, time.Now()
	due := now.Sub(f.faultAt) >= logEvery
	if due {
		f.faults, f.faultAt = 0, now
	}
	f.mu.Unlock()
	if due {
		f.log.Warn("commands turned away", "count", count, "last", err)
	}
}

// Serve serves ln until Close.
func (f *Server) Serve(ln net.Listener) error {
	l := &listener{Listener: ln, table: f.Table}
	server := redcon.NewServerNetwork(ln.Addr().Network(), ln.Addr().String(), f.handle, nil, func(redcon.Conn, error) { l.handed.Done() })
	return server.Serve(l)
}

// reject answers a connection beyond the limit: a request gets its refusal at once, a greeting its answer, and
// silence its end. It keeps no buffer of a request and knows no class. What comes behind the answer is read and dropped, so
// that no reset overtakes the answer.
func (f *Server) reject(conn net.Conn) {
	buffer := rejectBuffers.Get().(*[]byte)
	defer rejectBuffers.Put(buffer)
	conn.SetReadDeadline(time.Now().Add(rejectTime))
	n, err := conn.Read(*buffer)
	if n == 0 || err != nil {
		return
	}
	text := f.terms.Load().busy
	if greeting := "*1\r\n$4\r\nPING\r\n"; strings.EqualFold(string((*buffer)[:n]), greeting) {
		text = []byte("+PONG\r\n")
	}
	conn.SetWriteDeadline(time.Now().Add(partTime))
	if _, err := conn.Write(text); err != nil {
		return
	}
	clientconn.CloseWrite(conn)
	for end, silent := time.Now().Add(lingerTime), time.Duration(0); time.Now().Before(end); {
		conn.SetReadDeadline(time.Now().Add(lingerStep))
		switch _, err = conn.Read(*buffer); {
		case err == nil:
			silent = 0
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return
		default:
			if silent += lingerStep; silent >= partTime || f.HasWaiters() {
				return
			}
		}
	}
}

// rejectTime is how long a connection beyond the limit may take to say something.
const rejectTime = 200 * time.Millisecond

var rejectBuffers = sync.Pool{New: func() any { b := make([]byte, 2048); return &b }}

// listener hands redcon guarded connections, as many as there is room for.
type listener struct {
	net.Listener
	table  *clientconn.Table
	handed sync.WaitGroup // connections that redcon has still
}

// Accept implements net.Listener. Its end guards connections that were just accepted: redcon closes those that it still has.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.table.Accept(l.Listener)
	if err != nil {
		l.handed.Wait()
		return nil, err
	}
	l.handed.Add(1)
	return &guard{Conn: conn}, nil
}

// handle gets the guard's first command and takes the connection from redcon, whose own loop would read
// nothing more before a request is answered.
func (f *Server) handle(conn redcon.Conn, _ redcon.Command) {
	c := newClient(f, conn.Detach(), conn.NetConn().(*guard))
	c.fresh = f.Add(c)
	go c.read()
	go c.write()
}

func newClient(f *Server, in redcon.DetachedConn, g *guard) *client {
	c := &client{front: f, in: in, conn: g, guard: g, wake: make(chan struct{}, 1)}
	c.room = sync.NewCond(&c.mu)
	if f.loop != nil {
		g.refuse = c.refuseCrowd
	}
	// Guards against a connection that was taking a command when it was asked to leave: it looks again.
	g.rested = func() {
		if f.Draining() {
			c.Wake()
		}
	}
	return c
}

// client is one connection. Its slots are the answers owed, in the order of the commands.
type client struct {
	front *Server
	in    redcon.DetachedConn
	conn  net.Conn
	guard *guard
	wake  chan struct{}
	away  atomic.Bool // it has left, though its end of file is not read yet

	mu      sync.Mutex
	slots   []*slot
	room    *sync.Cond
	used    time.Time // when the last answer went out
	fresh   bool      // it came while others leave and has had no request
	asked   bool      // a request came
	writing bool      // an answer is being written
	direct  bool      // by the reader
	leave   leave     // set by who wants it to end, but for left
	ended   bool      // nothing more is read; what is owed is still written unless gone
	gone    bool

	released bool // the writer has ended and given all slots back
}

type slot struct {
	id      uint64 // of the request in the core, 0 for none
	name    string // its client's id for it
	ready   bool
	refusal bool // by admission control
	last    bool // the connection ends after it
	size    int  // of the budget
	text    net.Buffers
	long    *stream // the value that follows text, nil for none
}

// Wake implements front.Connection.
func (c *client) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Look implements front.Connection.
func (c *client) State() (clientconn.State, time.Duration) {
	c.mu.Lock()
	owed, used := c.owes(), c.used
	c.mu.Unlock()
	switch {
	case owed:
		return clientconn.Busy, 0
	case c.guard == nil:
		return clientconn.Idle, time.Since(used)
	}
	switch c.guard.phase.Load() {
	case resting:
		return clientconn.Idle, time.Since(used)
	case halfWay:
		return clientconn.PartialCommand, 0
	}
	return clientconn.Busy, 0
}

// leave is whether a connection is to end.
type leave int

const (
	stays   leave = iota
	gently        // it is to end unless a request comes
	evicted       // it ends: its place was given away
	left          // it has ended
)

// End implements front.Connection.
func (c *client) Evict() bool { return c.part(evicted) }

// part has the connection end unless an answer is owed or a request has come. It only asks: the goroutine that reads is woken and
// does it, since no other can tell that nothing was read at this moment. Of a crowd that has asked for nothing each is closed at
// once: those behind it wait for the place. It tells whether the connection is to end, and is false if it was to before.
func (c *client) part(how leave) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owes() || c.leave >= how || c.released {
		return false
	}
	phase := c.guard.phase.Load()
	if phase == working || phase == halfWay && how == gently || !pool.IsQuiet(c.guard.Conn) {
		return false
	}
	c.leave = how
	if how == evicted && phase == resting && !c.asked {
		c.conn.Close()
	}
	c.guard.poke()
	return true
}

// leaves ends the connection if it is to end and nothing has come. It is for the goroutine that reads. It guards a request that
// crosses the end: what has been read, or stands to be read, is taken, or refused where the place is another's, and only an
// empty connection is closed, whole and at once. Were it closed with unread input, the reset could overtake the answers before; were it
// half closed first, a request that comes meanwhile would be taken, by the protocol. came says that a request has been read.
func (c *client) leaves(came bool) (ended, done bool) {
	c.mu.Lock()
	how, half := c.leave, c.guard.phase.Load() == halfWay && !came
	switch {
	case how == stays:
		c.mu.Unlock()
		return false, false
	case c.owes() || how == gently && (came || half || !pool.IsQuiet(c.guard.Conn)):
		c.leave = stays
		c.guard.rest()
		c.mu.Unlock()
		return false, false
	case came:
		c.guard.poke() // it looks again behind this
		c.mu.Unlock()
		c.busy()
		return false, true
	case !pool.IsQuiet(c.guard.Conn):
		c.guard.rest()
		c.mu.Unlock()
		return false, true
	}
	c.leave = left
	c.mu.Unlock()
	if half {
		c.busy()
		clientconn.CloseWrite(c.guard.Conn)
		clientconn.DiscardInput(c.guard.Conn, time.Now().Add(partTime), dropMost) // the rest of what was refused
	}
	c.conn.Close()
	return true, true
}

// busy refuses what has been read. No answer waits, so that there is room for a line.
func (c *client) busy() {
	writeAll(c.guard.Conn, net.Buffers{c.front.terms.Load().busy})
}

// stopPanic guards the process against a fault met by one connection.
func (c *client) stopPanic() {
	if r := recover(); r != nil {
		c.front.log.Error("panic", "panic", r)
		c.conn.Close()
	}
}

func (c *client) read() {
	defer c.end()
	defer c.stopPanic()
	for {
		cmd, err := c.in.ReadCommand()
		idle := errors.Is(err, os.ErrDeadlineExceeded)
		if err == nil || idle {
			if ended, done := c.leaves(err == nil); ended {
				return
			} else if done {
				continue
			}
		}
		switch {
		case idle && (c.owed() || c.guard.woken() || !pool.IsQuiet(c.guard.Conn)):
			continue // it says nothing because it waits, it was asked to leave and stays, or a request has begun to come
		case errors.Is(err, errProtocol) || errors.Is(err, errSlow):
			c.refuse(err)
			c.drop()
			return
		case err != nil:
			return
		}
		if !c.take(cmd) {
			c.drop()
			return
		}
		c.guard.whole()
	}
}

// dropMost bounds the bytes that are read and dropped behind the last that counts.
const dropMost = 16 << 20

// drop reads what comes behind the last that counts and drops it: the end of a connection with unread input would be a reset,
// which overtakes the answers. It ends with the connection, or past a bound. Where the client sends its end of file while requests wait it has left, or it waits for its answers still: these are given at once.
func (c *client) drop() {
	if !clientconn.DiscardInput(c.guard.Conn, time.Time{}, dropMost) {
		return
	}
	c.mu.Lock()
	var waiting []uint64
	for _, s := range c.slots {
		if !s.ready && s.id > 0 {
			waiting = append(waiting, s.id)
		}
	}
	c.mu.Unlock()
	for _, id := range waiting {
		c.front.loop.Expedite(id)
	}
}

// owed tells whether the client waits for an answer or takes one.
func (c *client) owed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owes()
}

func (c *client) owes() bool { return len(c.slots) > 0 || c.writing }

// refuse answers malformed input and ends the connection behind the answer.
func (c *client) refuse(err error) {
	c.front.fault(err)
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
	if err == nil {
		err = c.front.terms.Load().check(req)
	}
	if err != nil {
		c.refuse(err)
		return false
	}
	if loop := c.front.loop; loop.Backlogged() {
		c.watching(func() { loop.WaitForCapacity(c.away.Load) })
	}
	if refused := c.front.loop.Admit(req); refused != nil {
		return c.refuseAdmission(refused)
	}
	s := &slot{size: len(cmd.Raw), name: string(cmd.Args[2])}
	if err := c.front.enter(s.name); err != nil {
		c.refuse(err)
		return false
	}
	if budget := c.front.budget; !budget.TryReserve(s.size) {
		took := false
		if c.watching(func() { took = budget.Reserve(s.size, c.away.Load) }); !took {
			c.front.leave(s.name)
			return false
		}
	}
	if !c.push(s) {
		c.front.leave(s.name)
		return false
	}
	id := c.front.loop.SubmitAdmitted(req, func(final broker.Response) {
		c.front.leave(s.name)
		text := answer(final)
		value, _ := final.Value.([]byte)
		long, _ := final.Value.(*stream)
		c.mu.Lock()
		if !c.released {
			c.front.budget.ForceReserve(len(value))
			s.ready, s.text, s.long, s.size = true, text, long, s.size+len(value)
		} else if long != nil {
			long.Close()
		}
		c.mu.Unlock()
		c.Wake()
	})
	c.mu.Lock()
	s.id = id
	c.mu.Unlock()
	return true
}

// refuseCrowd answers a request, as it came, where the broker's own processor is the bound and too many wait for it: it is neither
// read nor kept, which costs a third of a refusal behind its parsing. It tells whether it did.
func (c *client) refuseCrowd(raw []byte) bool {
	if !c.front.loop.Overloaded() {
		return false
	}
	_, rest, found := bytes.Cut(raw, blockCommand)
	if !found || len(raw)-len(rest) > 16 {
		return false // a greeting, or something that wants its error
	}
	if !c.beginDirect() {
		return false
	}
	class := ""
	if _, after, found := bytes.Cut(rest, classField); found {
		name, _, _ := bytes.Cut(after, []byte(","))
		class = string(name)
	}
	c.front.loop.RejectOverload(class)
	return c.sayDirect(c.front.terms.Load().busy, true)
}

var blockCommand, classField = []byte("\r\nBLK."), []byte("\r\nc=")

// refuseAdmission answers what admission refused: from here where nothing else is owed, which spares a broker that has too much to do
// the way through the writer. It tells whether the connection is of further use.
func (c *client) refuseAdmission(final *broker.Response) bool {
	if !c.beginDirect() {
		return c.push(&slot{ready: true, refusal: true, text: answer(*final)})
	}
	return c.sayDirect(answer(*final)[0], c.front.loop.SheddingLoad())
}

// beginDirect tells whether nothing else is owed, so that the goroutine that read a request may answer it itself. Then it must,
// by sayDirect.
func (c *client) beginDirect() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.slots) > 0 || c.writing || c.released {
		return false
	}
	c.writing, c.direct, c.fresh, c.asked = true, true, false, true
	return true
}

// sayDirect writes such an answer and tells whether the connection is of further use.
func (c *client) sayDirect(text []byte, overloaded bool) bool {
	c.front.RequestReceived(c, overloaded)
	_, err := c.socket().Write(text)
	c.mu.Lock()
	c.writing, c.direct, c.used = false, false, time.Now()
	c.mu.Unlock()
	if c.front.Draining() {
		c.Wake() // it looked while this was under way
	}
	return err == nil
}

// socket is the connection itself, which gathers as a wrapper would not.
func (c *client) socket() net.Conn {
	if c.guard != nil {
		return c.guard.Conn
	}
	return c.conn
}

// push queues an answer owed. It waits while too many are owed.
func (c *client) push(s *slot) bool {
	c.mu.Lock()
	if len(c.slots) >= maxPipeline && !c.released {
		c.watching(func() {
			for len(c.slots) >= maxPipeline && !c.released {
				c.room.Wait()
			}
		})
	}
	released := c.released
	if released { // the writer has ended, so nobody would give the slot back
		c.front.budget.Release(s.size)
	} else {
		c.slots = append(c.slots, s)
	}
	c.fresh = false
	c.asked = c.asked || s.name != "" || s.refusal
	c.mu.Unlock()
	if s.name == "" && !s.refusal {
		c.front.GreetingReceived(c)
	} else {
		c.front.RequestReceived(c, c.front.loop.SheddingLoad())
	}
	if s.ready {
		c.Wake()
	}
	return !released
}

// endPoll is how often a connection is asked whether its client has left while nothing is read from it.
const endPoll = 50 * time.Millisecond

// watching looks whether the client has left while something has the goroutine that reads wait. It guards requests that wait
// against being sent on for nobody: behind what is not read the end of file can't be read either.
func (c *client) watching(wait func()) {
	done := make(chan struct{})
	defer close(done)
	go func() {
		tick := time.NewTicker(endPoll)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			if clientconn.PeerClosed(c.socket()) {
				c.away.Store(true)
				c.mu.Lock()
				c.gone = true
				c.mu.Unlock()
				c.conn.Close()
				c.Wake() // the writer releases who waits for room
				c.front.budget.Recheck()
				c.leaveAll()
				return
			}
		}
	}()
	wait()
}

// end follows the last read: but for an answer to malformed input, the client has gone away.
func (c *client) end() {
	c.mu.Lock()
	gone := !c.ended
	if gone {
		c.gone = true
	}
	c.mu.Unlock()
	if gone {
		c.conn.Close()
		c.leaveAll()
	}
	c.Wake()
}

// leaveAll tells the core that nobody waits for what is owed here.
func (c *client) leaveAll() {
	c.mu.Lock()
	var left []*slot
	for _, s := range c.slots {
		if !s.ready && s.id > 0 {
			left = append(left, s)
		}
	}
	c.mu.Unlock()
	for _, s := range left {
		c.front.loop.Cancel(s.id)
		c.front.leave(s.name)
	}
}

func (c *client) write() {
	defer c.front.Remove(c)
	defer c.release()
	defer c.conn.Close()
	defer c.stopPanic()
	socket := c.socket()
	for range c.wake {
		for {
			next := c.next()
			if next.gone {
				return
			}
			if len(next.out) == 0 {
				break
			}
			if !c.writeOut(socket, next) {
				return
			}
			if next.last {
				c.linger()
				return
			}
		}
		c.endIfIdle()
	}
}

// writeOut writes answers and tells whether the connection is of further use.
func (c *client) writeOut(socket net.Conn, next batch) bool {
	err := writeAll(socket, next.out)
	c.front.budget.Release(next.size)
	if next.long != nil {
		if err != nil {
			next.long.Close()
		} else {
			err = next.long.passTo(socket)
		}
	}
	c.mu.Lock()
	c.writing, c.used = false, time.Now()
	c.mu.Unlock()
	return err == nil
}

// linger waits, not for long, until who reads has dropped what came behind a malformed command, so that the close is no reset. It
// is no longer than that takes: a whole request that came on the open connection meanwhile would be taken, by the protocol.
func (c *client) linger() {
	for end := time.Now().Add(partTime); !pool.IsQuiet(c.guard.Conn) && time.Now().Before(end); {
		time.Sleep(partTime / 10)
	}
}

// batch is answers that are next in order, up to a long value or the last.
type batch struct {
	out        net.Buffers
	size       int // of the budget
	long       *stream
	last, gone bool
}

// next takes the answers that are next in order.
func (c *client) next() (b batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone {
		return batch{gone: true}
	}
	if c.direct { // by who reads, who takes no further command meanwhile
		return b
	}
	for len(c.slots) > 0 && c.slots[0].ready && !b.last && b.long == nil {
		s := c.slots[0]
		b.out = append(b.out, s.text...)
		b.size += s.size
		b.last, b.long = s.last, s.long
		c.slots = c.slots[1:]
	}
	c.writing = len(b.out) > 0
	c.room.Signal()
	return b
}

// endIfIdle has an idle connection end where the table says so. Who reads ends it, and wakes the writer then.
func (c *client) endIfIdle() bool {
	c.mu.Lock()
	idle, fresh := len(c.slots) == 0 && !c.direct, c.fresh
	c.mu.Unlock() // the table asks its connections under its own lock
	return idle && c.front.ShouldClose(fresh) && c.part(gently)
}

// release gives back what the connection held.
func (c *client) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.released = true
	for _, s := range c.slots {
		c.front.budget.Release(s.size)
		if s.long != nil {
			s.long.Close()
		}
	}
	c.room.Signal()
}

// answer words a final answer.
func answer(final broker.Response) net.Buffers {
	switch final.Verdict {
	case broker.Served:
		if long, ok := final.Value.(*stream); ok {
			head := strconv.AppendInt([]byte{'$'}, int64(long.size), 10)
			return net.Buffers{append(head, '\r', '\n')}
		}
		value, _ := final.Value.([]byte)
		head := strconv.AppendInt([]byte{'$'}, int64(len(value)), 10)
		return net.Buffers{append(head, '\r', '\n'), value, []byte("\r\n")}
	case broker.Rejected:
		text := []byte("-BUSY")
		if final.RetryAfter > 0 {
			text = strconv.AppendInt(append(text, ' '), int64((final.RetryAfter+999)/1000), 10)
		}
		return net.Buffers{append(text, '\r', '\n')}
	}
	return net.Buffers{[]byte("-ERR failed\r\n")}
}
