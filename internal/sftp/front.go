package sftp

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path"
	"sync"
	"sync/atomic"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/clientconn"
	"junctionwharf/internal/pool"
)

const (
	maxOps     = 16 // commands of one connection that wait for answers; beyond it nothing is read
	maxHandles = 256
	writeTime  = 5 * time.Second
)

// Server serves file commands.
type Server struct {
	*clientconn.Table
	loop *broker.Loop
	via  broker.Transport
	plan atomic.Pointer[Mapping]
	log  *slog.Logger
}

// NewServer returns a front that holds most connections at the most. The plan has been checked.
func NewServer(loop *broker.Loop, via broker.Transport, plan *Mapping, most int, log *slog.Logger) *Server {
	log = log.With("front", "files")
	f := &Server{Table: clientconn.NewTable(most, most, log), loop: loop, via: via, log: log}
	f.SetMapping(plan)
	return f
}

// SetMapping changes how commands are mapped from now on. The plan has been checked.
func (f *Server) SetMapping(plan *Mapping) { f.plan.Store(plan) }

// Serve serves ln until Close.
func (f *Server) Serve(ln net.Listener) error {
	for {
		conn, err := f.Accept(ln)
		if err != nil {
			return nil
		}
		s := newSession(f, conn)
		s.fresh = f.Add(s)
		go s.read()
		go s.write()
	}
}

// handle is what a client opened. It lives in the front only.
type handle struct {
	path   string
	flags  uint32
	dir    bool
	listed bool
	names  [][]byte // bodies of NAME packets still to be handed out
}

// session is one client connection.
type session struct {
	front *Server
	conn  net.Conn
	wake  chan struct{}

	mu      sync.Mutex
	room    *sync.Cond
	ops     []*pending // in the order of arrival
	handles map[string]*handle
	opened  uint64 // names handles
	partly  bool   // a part of a packet has come
	writing bool   // an answer is being written
	fresh   bool   // it came while others leave and has had no command
	out     net.Buffers
	last    bool // the connection ends behind what is in out
	gone    bool
}

func newSession(f *Server, conn net.Conn) *session {
	s := &session{front: f, conn: conn, wake: make(chan struct{}, 1),
		handles: map[string]*handle{}}
	s.room = sync.NewCond(&s.mu)
	return s
}

// pending is a command that waits for its answer, or for an earlier one on the same file.
type pending struct {
	*operation
	id     uint32
	due    time.Time
	timer  *time.Timer // runs while it waits for an earlier one
	req    *broker.Request
	core   uint64
	taken  bool // by the core
	finish func(broker.Response) net.Buffers
}

// Wake implements front.Connection.
func (s *session) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Look implements front.Connection.
func (s *session) State() (clientconn.State, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case len(s.ops) > 0 || s.writing:
		return clientconn.Busy, 0
	case s.partly:
		return clientconn.PartialCommand, 0
	}
	return clientconn.Idle, 0 // all of this front's may stay
}

// End implements front.Connection.
func (s *session) Evict() bool { return s.leave() && s.conn.Close() == nil }

// leave has nothing more taken, unless an answer is owed or something has come. Both are one step under the session's lock: a
// command may be read at this moment, and would be sent on for nobody.
func (s *session) leave() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ops) > 0 || s.writing || len(s.out) > 0 || s.partly || !pool.IsQuiet(s.conn) {
		return false
	}
	s.gone = true
	return true
}

// stopPanic guards the process against a fault met by one connection.
func (s *session) stopPanic() {
	if r := recover(); r != nil {
		s.front.log.Error("panic", "panic", r)
		s.conn.Close()
	}
}

func (s *session) read() {
	defer s.end()
	defer s.stopPanic()
	in := bufio.NewReader(s.conn)
	s.conn.SetReadDeadline(time.Now().Add(clientconn.FirstCommandTimeout))
	p, err := readPacket(in)
	if err != nil || p.kind != typeInit {
		return
	}
	s.send(message(typeVersion, protocolVersion))
	for {
		p, err := s.next(in)
		if err == nil {
			s.front.RequestReceived(s, false)
			err = s.take(p)
		}
		if err != nil {
			if errors.Is(err, errPacket) {
				s.mu.Lock()
				s.last = true
				s.mu.Unlock()
				s.send(message(typeStatus, p.id, status(statusBadMessage, err.Error())))
			}
			return
		}
	}
}

// next reads a packet. It guards against half a packet; between packets a client may take its time.
func (s *session) next(in *bufio.Reader) (packet, error) {
	s.conn.SetReadDeadline(time.Time{})
	if _, err := in.Peek(1); err != nil {
		return packet{}, err
	}
	s.conn.SetReadDeadline(time.Now().Add(clientconn.CommandTimeout))
	s.reading(true)
	p, err := readPacket(in)
	s.reading(false)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = fmt.Errorf("%w: it took too long", errPacket)
	}
	return p, err
}

func (s *session) reading(partly bool) {
	s.mu.Lock()
	s.partly = partly
	s.mu.Unlock()
}

// end follows the last read: what is still owed no longer has a client.
func (s *session) end() {
	s.mu.Lock()
	s.gone = true
	ops := s.ops
	s.ops = nil
	flush := s.last
	s.mu.Unlock()
	for _, op := range ops {
		if op.timer != nil {
			op.timer.Stop()
		}
		if op.taken {
			s.front.loop.Cancel(op.core)
		}
	}
	if !flush {
		s.conn.Close()
	}
	s.Wake()
}

func (s *session) write() {
	defer s.front.Remove(s)
	defer s.conn.Close()
	defer s.stopPanic()
	for range s.wake {
		s.mu.Lock()
		out, stop, idle, fresh := s.out, s.last || s.gone, len(s.ops) == 0, s.fresh
		s.out, s.writing = nil, len(s.out) > 0
		s.mu.Unlock() // the table asks its connections under its own lock
		if len(out) > 0 {
			s.conn.SetWriteDeadline(time.Now().Add(writeTime))
			if _, err := out.WriteTo(s.conn); err != nil {
				return
			}
			s.mu.Lock()
			s.writing = false
			s.mu.Unlock()
		}
		if stop || idle && s.front.ShouldClose(fresh) && s.leave() {
			return
		}
	}
}

func (s *session) send(m net.Buffers) {
	s.mu.Lock()
	s.out = append(s.out, m...)
	s.mu.Unlock()
	s.Wake()
}

func (s *session) status(id, code uint32, words string) error {
	s.send(message(typeStatus, id, status(code, words)))
	return nil
}

// take takes one packet. An error ends the connection.
func (s *session) take(p packet) error {
	f := fields{rest: p.body}
	switch p.kind {
	case typeOpen:
		op := &operation{command: Open, path: clean(f.string(maxPath)), flags: f.uint32()}
		op.attrs = f.rest
		if op.flags&(flagWrite|flagAppend|flagCreate|flagTrunc) != 0 {
			op.command = OpenWrite
		}
		if f.err != nil || len(op.attrs) < 4 {
			return errPacket
		}
		return s.submit(p.id, op, func(a answer) net.Buffers {
			if a.kind != typeHandle {
				return message(a.kind, p.id, a.body)
			}
			return s.open(p.id, &handle{path: op.path, flags: op.flags})
		})
	case typeOpendir:
		name := clean(f.string(maxPath))
		if f.err != nil {
			return f.err
		}
		if s.front.plan.Load().volume(name) == nil {
			return s.status(p.id, statusNoSuchFile, "no volume holds this path")
		}
		s.mu.Lock()
		m := s.open(p.id, &handle{path: name, dir: true})
		s.mu.Unlock()
		s.send(m)
	case typeStat, typeLstat:
		op := &operation{command: Stat, path: clean(f.string(maxPath))}
		if f.err != nil {
			return f.err
		}
		return s.submit(p.id, op, pass(p.id))
	case typeRemove:
		op := &operation{command: Remove, path: clean(f.string(maxPath))}
		if f.err != nil {
			return f.err
		}
		return s.submit(p.id, op, pass(p.id))
	case typeClose, typeFstat, typeRead, typeWrite, typeReaddir:
		name := f.string(maxHandle)
		if f.err != nil {
			return f.err
		}
		s.mu.Lock()
		h := s.handles[string(name)]
		if p.kind == typeClose {
			delete(s.handles, string(name))
		}
		s.mu.Unlock()
		if h == nil {
			return s.status(p.id, statusFailure, "no such handle")
		}
		return s.onHandle(p, h, &f)
	default:
		return s.status(p.id, statusUnsupported, "unsupported")
	}
	return nil
}

// onHandle takes a packet on an open handle.
func (s *session) onHandle(p packet, h *handle, f *fields) error {
	op := &operation{path: h.path, flags: h.flags}
	switch p.kind {
	case typeClose:
		return s.status(p.id, statusOK, "closed")
	case typeFstat:
		op.command = Stat
	case typeRead:
		op.command, op.offset, op.length = Read, f.uint64(), min(f.uint32(), maxData)
		if f.err != nil {
			return f.err
		}
		if h.dir || h.flags&flagRead == 0 {
			return s.status(p.id, statusDenied, "not open for reading")
		}
	case typeWrite:
		op.command, op.offset = Write, f.uint64()
		op.data = f.string(maxData)
		if f.err != nil {
			return f.err
		}
		if h.dir || h.flags&(flagWrite|flagAppend) == 0 {
			return s.status(p.id, statusDenied, "not open for writing")
		}
	case typeReaddir:
		if !h.dir {
			return s.status(p.id, statusFailure, "not a directory")
		}
		return s.readdir(p.id, h)
	}
	return s.submit(p.id, op, pass(p.id))
}

// readdir hands out a directory. The first call lists it whole, so that no listing goes on at a node
// from one call to the next.
func (s *session) readdir(id uint32, h *handle) error {
	s.mu.Lock()
	listed := h.listed
	m := s.names(id, h)
	s.mu.Unlock()
	if listed {
		s.send(m)
		return nil
	}
	return s.submit(id, &operation{command: List, path: h.path}, func(a answer) net.Buffers {
		if a.kind != typeName {
			return message(a.kind, id, a.body)
		}
		h.listed, h.names = true, a.names
		return s.names(id, h)
	})
}

// names words the next part of a listed directory; the caller holds s.mu.
func (s *session) names(id uint32, h *handle) net.Buffers {
	if len(h.names) == 0 {
		return message(typeStatus, id, status(statusEOF, "end of directory"))
	}
	body := h.names[0]
	h.names = h.names[1:]
	return message(typeName, id, body)
}

// open names a handle; the caller holds s.mu.
func (s *session) open(id uint32, h *handle) net.Buffers {
	if len(s.handles) >= maxHandles {
		return message(typeStatus, id, status(statusFailure, "too many open handles"))
	}
	s.opened++
	name := binary.BigEndian.AppendUint64(nil, s.opened)
	s.handles[string(name)] = h
	return message(typeHandle, id, text(name))
}

func pass(id uint32) func(answer) net.Buffers {
	return func(a answer) net.Buffers { return message(a.kind, id, a.body) }
}

func clean(name []byte) string { return path.Clean("/" + string(name)) }

// submit takes a command. Its deadline runs from here, also while it waits for an earlier command on the
// same file.
func (s *session) submit(id uint32, o *operation, served func(answer) net.Buffers) error {
	req := s.front.plan.Load().request(o)
	if req == nil {
		return s.status(id, statusNoSuchFile, "no volume holds this path")
	}
	req.Transport = s.front.via
	op := &pending{operation: o, id: id, req: req, due: time.Now().Add(req.Timeout.Duration())}
	op.finish = func(final broker.Response) net.Buffers { return s.word(id, final, served) }
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.ops) >= maxOps && !s.gone {
		s.room.Wait()
	}
	if s.gone {
		return net.ErrClosed
	}
	for _, other := range s.ops { // two answers could not be told apart
		if other.id == id {
			return fmt.Errorf("%w: a command with id %d is open", errPacket, id)
		}
	}
	s.fresh = false
	s.ops = append(s.ops, op)
	if s.free(op) {
		s.start(op)
		return nil
	}
	op.timer = time.AfterFunc(req.Timeout.Duration(), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !op.taken { // never sent, so trying again is harmless
			s.settle(op, broker.Response{Verdict: broker.Rejected})
		}
	})
	return nil
}

// free tells whether no earlier command must come before op; the caller holds s.mu.
func (s *session) free(op *pending) bool {
	for _, earlier := range s.ops {
		if earlier == op {
			return true
		}
		if earlier.conflicts(op.operation) {
			return false
		}
	}
	return false
}

// start hands a command to the core; the caller holds s.mu.
func (s *session) start(op *pending) {
	if op.timer != nil {
		op.timer.Stop()
	}
	op.taken = true
	op.req.Timeout = max(0, broker.MicrosOf(time.Until(op.due)))
	op.core = s.front.loop.Submit(op.req, func(final broker.Response) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.settle(op, final)
	})
}

// settle answers a command and starts those that waited for it; the caller holds s.mu.
func (s *session) settle(op *pending, final broker.Response) {
	held := false
	for i, other := range s.ops {
		if other == op {
			s.ops = append(s.ops[:i:i], s.ops[i+1:]...)
			held = true
			break
		}
	}
	if !held || s.gone {
		return
	}
	s.out = append(s.out, op.finish(final)...)
	for _, next := range s.ops {
		if !next.taken && s.free(next) {
			s.start(next)
		}
	}
	s.room.Signal()
	s.Wake()
}

// word words a final answer; the caller holds s.mu.
func (s *session) word(id uint32, final broker.Response, served func(answer) net.Buffers) net.Buffers {
	switch final.Verdict {
	case broker.Served:
		a, _ := final.Value.(answer)
		return served(a)
	case broker.Rejected:
		words := busyWord
		if final.RetryAfter > 0 {
			words = fmt.Sprintf("%s: come again after %d ms", busyWord, (final.RetryAfter+999)/1000)
		}
		return message(typeStatus, id, status(statusFailure, words))
	}
	return message(typeStatus, id, status(statusFailure, "failed: it may or may not have run"))
}
