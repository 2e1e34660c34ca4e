package sftp

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"path"
	"time"

	"junctionwharf/internal/clientconn"
)

// read takes packets until the connection ends. It runs in a goroutine of its own.
func (s *session) read() {
	defer s.handleInputEnd()
	defer s.recoverPanic()
	reader := bufio.NewReader(s.conn)
	s.setReadDeadline(time.Now().Add(clientconn.FirstCommandTimeout))
	hello, err := readPacket(reader)
	if err != nil || hello.kind != typeInit {
		return
	}
	s.send(encodePacket(typeVersion, protocolVersion))
	for {
		p, err := s.readNext(reader)
		if err == nil {
			s.server.RequestReceived(s, false)
			err = s.dispatch(p)
		}
		if errors.Is(err, errPacket) {
			s.mu.Lock()
			s.closeAfterOut = true
			s.mu.Unlock()
			s.sendStatus(p.id, statusBadMessage, err.Error())
		}
		if err != nil {
			return
		}
	}
}

// readNext reads a packet. Between packets a client may take its time, but half a packet must be completed soon.
func (s *session) readNext(reader *bufio.Reader) (packet, error) {
	s.setReadDeadline(time.Time{})
	if _, err := reader.Peek(1); err != nil {
		return packet{}, err
	}
	s.setReadDeadline(time.Now().Add(clientconn.CommandTimeout))
	s.setInsidePacket(true)
	p, err := readPacket(reader)
	s.setInsidePacket(false)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = fmt.Errorf("%w: it took too long", errPacket)
	}
	return p, err
}

// setReadDeadline sets the connection's read deadline. It fails on a closed connection only, as the read then does.
func (s *session) setReadDeadline(deadline time.Time) { _ = s.conn.SetReadDeadline(deadline) }

func (s *session) setInsidePacket(inside bool) {
	s.mu.Lock()
	s.insidePacket = inside
	s.mu.Unlock()
}

// dispatch takes one packet. An error ends the connection.
func (s *session) dispatch(p packet) error {
	f := &fields{rest: p.body}
	switch p.kind {
	case typeOpen:
		return s.submitOpen(p.id, f)
	case typeOpendir:
		return s.serveOpendir(p.id, f)
	case typeStat, typeLstat:
		return s.submitPath(p.id, Stat, f)
	case typeRemove:
		return s.submitPath(p.id, Remove, f)
	case typeClose, typeFstat, typeRead, typeWrite, typeReaddir:
		return s.dispatchOnHandle(p, f)
	}
	s.sendStatus(p.id, statusUnsupported, "unsupported")
	return nil
}

// submitOpen takes an OPEN: a node opens the file and closes it again, and the client gets a handle of the server's own.
func (s *session) submitOpen(id uint32, f *fields) error {
	op := &operation{command: Open, path: cleanPath(f.string(maxPathBytes)), flags: f.uint32()}
	op.attrs = f.rest
	if op.flags&(flagWrite|flagAppend|flagCreate|flagTrunc) != 0 {
		op.command = OpenWrite
	}
	if f.err != nil || len(op.attrs) < 4 { // the flags of the attributes
		return errPacket
	}
	return s.submit(id, op, func(a answer) net.Buffers {
		if a.kind != typeHandle {
			return a.packet(id)
		}
		return s.addHandle(id, &handle{path: op.path, flags: op.flags})
	})
}

// serveOpendir takes an OPENDIR. No node hears of it: the first READDIR lists the directory.
func (s *session) serveOpendir(id uint32, f *fields) error {
	name := cleanPath(f.string(maxPathBytes))
	if f.err != nil {
		return f.err
	}
	if s.server.mapping.Load().volume(name) == nil {
		s.sendStatus(id, statusNoSuchFile, "no volume holds this path")
		return nil
	}
	s.mu.Lock()
	m := s.addHandle(id, &handle{path: name, isDir: true})
	s.mu.Unlock()
	s.send(m)
	return nil
}

// submitPath takes a command that is a path alone.
func (s *session) submitPath(id uint32, command Command, f *fields) error {
	op := &operation{command: command, path: cleanPath(f.string(maxPathBytes))}
	if f.err != nil {
		return f.err
	}
	return s.submit(id, op, forwardAnswer(id))
}

// forwardAnswer encodes a node's answer as it is.
func forwardAnswer(id uint32) func(answer) net.Buffers {
	return func(a answer) net.Buffers { return a.packet(id) }
}

// cleanPath makes a path absolute and clean, so that no volume can be reached around its prefix.
func cleanPath(name []byte) string { return path.Clean("/" + string(name)) }
