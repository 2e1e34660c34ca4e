package sftp

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/pool"
	"junctionwharf/scheduler"
)

// busyWord begins the words of a FAILURE status by which a node turns a command away unrun.
const busyWord = "BUSY"

// maxListing bounds the bytes of a whole directory.
const maxListing = 1 << 20

// Transport carries file commands to storage nodes.
type Transport struct {
	pool *pool.Pool
	port int // where nodes listen for file commands; 0: at the list's own address
}

// NewTransport returns a transport over connections from p, which Handshake must have opened.
func NewTransport(p *pool.Pool, port int) *Transport { return &Transport{pool: p, port: port} }

// Handshake opens a session on a new connection to a node.
func Handshake(conn net.Conn, in *bufio.Reader) error {
	hello := message(typeInit, protocolVersion)
	if _, err := hello.WriteTo(conn); err != nil {
		return err
	}
	p, err := readPacket(in)
	if err == nil && (p.kind != typeVersion || p.id < protocolVersion) {
		err = fmt.Errorf("%w: want VERSION %d", errPacket, protocolVersion)
	}
	return err
}

func (n *Transport) address(address string) string {
	host, _, err := net.SplitHostPort(address)
	if n.port == 0 || err != nil {
		return address
	}
	return net.JoinHostPort(host, strconv.Itoa(n.port))
}

// Start implements broker.Transport.
func (n *Transport) Start(a broker.Attempt, done func(broker.Result)) broker.Handle {
	op, ok := a.Request.Message.(*operation)
	if !ok {
		return pool.FailAttempt(errors.New("not a file command"), done)
	}
	return n.pool.Start(n.address(a.Address), func(s *pool.Exchange) (broker.Result, error) {
		return (&exchange{Exchange: s}).run(op)
	}, 0, a.OnWritten, done)
}

// Probe implements broker.Transport: a STAT of the root.
func (n *Transport) Probe(address string, done func(broker.Result)) {
	n.pool.Start(n.address(address), func(s *pool.Exchange) (broker.Result, error) {
		return (&exchange{Exchange: s}).run(&operation{command: Stat, path: "/"})
	}, time.Second, nil, done)
}

// CloseIdle implements broker.Transport.
func (n *Transport) CloseIdle(address string) { n.pool.CloseIdle(n.address(address)) }

// exchange is one file command's talk with a node. A command that needs a handle opens one for itself and
// closes it behind, so that no command depends on where an earlier one went.
type exchange struct {
	*pool.Exchange
	id uint32
}

// ask sends a packet and reads its answer.
func (x *exchange) ask(deciding bool, kind byte, parts ...[]byte) (packet, error) {
	x.id++
	m, decides := message(kind, x.id, parts...), 0
	if deciding {
		decides = pool.MessageSize(m)
	}
	if err := x.Send(m, decides); err != nil {
		return packet{}, err
	}
	return x.answer(x.id)
}

func (x *exchange) answer(id uint32) (packet, error) {
	p, err := readPacket(x.Reader)
	if err == nil && p.id != id {
		err = fmt.Errorf("%w: answer to %d, not %d", errPacket, p.id, id)
	}
	return p, err
}

func (x *exchange) run(op *operation) (broker.Result, error) {
	switch op.command {
	case Open, OpenWrite:
		return x.open(op)
	case Read, Write:
		return x.transfer(op)
	case List:
		return x.list(op)
	}
	kind := byte(typeStat)
	if op.command == Remove {
		kind = typeRemove
	}
	return result(x.ask(true, kind, text(op.path)))
}

// open opens the file and closes it again: the client's handle is the front's own.
func (x *exchange) open(op *operation) (broker.Result, error) {
	p, err := x.ask(true, typeOpen, text(op.path), number(op.flags), op.attrs)
	if err != nil || p.handle() == nil {
		return result(p, err)
	}
	handle := p.handle()
	x.ReadTrailer(func() error {
		_, err := x.ask(true, typeClose, text(handle))
		return err
	})
	return broker.Result{Value: answer{kind: typeHandle}, Load: scheduler.NoLoadReport}, nil
}

// transfer reads or writes. Opening has no effect of its own, since OPEN as the client sent it has been
// answered before: only the READ or WRITE decides, and until its last byte is written nothing has run.
func (x *exchange) transfer(op *operation) (broker.Result, error) {
	flags := uint32(flagRead)
	if op.command == Write {
		flags = op.flags & (flagWrite | flagAppend)
	}
	p, err := x.ask(false, typeOpen, text(op.path), number(flags), number(0))
	if err != nil || p.handle() == nil {
		return result(p, err)
	}
	handle := p.handle()
	x.id += 2
	m := message(typeRead, x.id-1, text(handle), offset(op.offset), number(op.length))
	if op.command == Write {
		m = message(typeWrite, x.id-1, text(handle), offset(op.offset), number(uint32(len(op.data))), op.data)
	}
	decides := pool.MessageSize(m) // a CLOSE that is cut behind it changes nothing
	if err := x.Send(append(m, message(typeClose, x.id, text(handle))...), decides); err != nil {
		return broker.Result{}, err
	}
	r, err := result(x.answer(x.id - 1))
	if err == nil {
		x.ReadTrailer(func() error {
			_, err := x.answer(x.id)
			return err
		})
	}
	return r, err
}

// list reads a whole directory. It sends packet after packet, so that a node that begins to drain must
// see it end: Halt makes the next Send fail.
func (x *exchange) list(op *operation) (broker.Result, error) {
	p, err := x.ask(false, typeOpendir, text(op.path))
	if err != nil || p.handle() == nil {
		return result(p, err)
	}
	handle := p.handle()
	var names [][]byte
	for size := 0; ; {
		p, err := x.ask(false, typeReaddir, text(handle))
		if err != nil {
			return broker.Result{}, err
		}
		if p.kind == typeName {
			if size += len(p.body); size > maxListing {
				return broker.Result{}, fmt.Errorf("%w: a directory of over %d bytes", errPacket, maxListing)
			}
			names = append(names, p.body)
			continue
		}
		r, err := result(p, nil)
		if err != nil || p.kind != typeStatus || code(p) != statusEOF {
			return r, err
		}
		x.ReadTrailer(func() error {
			_, err := x.ask(false, typeClose, text(handle))
			return err
		})
		return broker.Result{Value: answer{kind: typeName, names: names}, Load: scheduler.NoLoadReport}, nil
	}
}

// answer is what a node gave: a packet's type and body, or a whole directory.
type answer struct {
	kind  byte
	body  []byte
	names [][]byte // bodies of NAME packets
}

func code(p packet) uint32 {
	f := fields{rest: p.body}
	return f.uint32()
}

// result judges a node's packet. A status that settles the command is an answer like any other.
func result(p packet, err error) (broker.Result, error) {
	r := broker.Result{Load: scheduler.NoLoadReport}
	if err != nil {
		return r, err
	}
	switch p.kind {
	case typeData, typeAttrs, typeName:
	case typeStatus:
		f := fields{rest: p.body}
		code, words := f.uint32(), string(f.string(maxPacket))
		if len(p.body) < 4 {
			return r, errPacket
		}
		switch code {
		case statusOK, statusEOF, statusNoSuchFile, statusDenied, statusBadMessage, statusUnsupported:
		case statusFailure:
			r.Reply = broker.ReplyError
			if strings.HasPrefix(words, busyWord) {
				r.Reply = broker.ReplyRejected
			}
			return r, nil
		default:
			r.Reply = broker.ReplyError
			return r, nil
		}
	default:
		return r, fmt.Errorf("%w: type %d", errPacket, p.kind)
	}
	r.Value = answer{kind: p.kind, body: p.body}
	return r, nil
}
