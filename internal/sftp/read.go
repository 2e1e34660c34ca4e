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

// read reads and dispatches packets until the connection ends. It runs in its own goroutine.
func (s *session) read() {
	defer s.handleInputEnd()
	defer s.recoverPanic()
	reader := bufio.NewReader(sessionInput{s})
	s.setReadDeadline(time.Now().Add(clientconn.FirstCommandTimeout))
	hello, err := readPacket(reader)
	if err != nil || hello.kind != typeInit {
		return
	}
	s.send(encodePacket(typeVersion, protocolVersion))
	for {
		p, err := s.readNext(reader)
		if errors.Is(err, errPacket) { // where the next packet begins is not known
			s.mu.Lock()
			s.closeAfterOut = true
			s.mu.Unlock()
			s.sendStatus(p.id, statusBadMessage, err.Error())
		}
		if err != nil {
			return
		}
		s.mapping = s.generations.At(s.received-int64(reader.Buffered()), s.server.mapping.Load())
		if !s.serve(p) {
			return
		}
	}
}

// sessionInput reads the input of a session and counts it.
type sessionInput struct{ *session }

// Read implements io.Reader.
func (s sessionInput) Read(p []byte) (int, error) {
	n, err := s.conn.Read(p)
	s.received = s.generations.Received(n)
	return n, err
}

// serve handles one packet and reports whether to read on. A packet that is whole but cannot be decoded or accepted is
// answered with an error. The other commands of the connection are not affected.
func (s *session) serve(p packet) (readOn bool) {
	s.server.RequestReceived(s, false)
	s.awaitSpace()
	err := s.dispatch(p)
	if errors.Is(err, errPacket) {
		s.sendStatus(p.id, statusBadMessage, err.Error())
		return true
	}
	return err == nil
}

// readNext reads a packet. A client may be idle between packets, but must complete a packet within
// clientconn.CommandTimeout after the packet's first byte has been read.
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

// setReadDeadline sets the connection's read deadline. It fails only on a closed connection, as does the next read.
func (s *session) setReadDeadline(deadline time.Time) { _ = s.conn.SetReadDeadline(deadline) }

func (s *session) setInsidePacket(inside bool) {
	s.mu.Lock()
	s.insidePacket = inside
	s.mu.Unlock()
}

// dispatch handles one packet. It returns an error that wraps errPacket for a packet that cannot be accepted. After any
// other error the connection ends.
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

// submitOpen submits an OPEN. A node opens the file and closes it again. The client receives a handle that exists only
// in the server.
func (s *session) submitOpen(id uint32, f *fields) error {
	op := &operation{command: Open, path: cleanPath(f.string(maxPathBytes)), flags: f.uint32()}
	op.attrs = f.rest
	if op.flags&(flagWrite|flagAppend|flagCreate|flagTrunc) != 0 {
		op.command = OpenWrite
	}
	if f.err != nil || len(op.attrs) < 4 { // attributes begin with 4 bytes of flags
		return errPacket
	}
	return s.submit(id, op, func(a answer) net.Buffers {
		if a.kind != typeHandle {
			return a.packet(id)
		}
		return s.addHandle(id, &handle{path: op.path, flags: op.flags})
	})
}

// serveOpendir answers an OPENDIR without a node. The first READDIR on the handle reads the directory from a node.
func (s *session) serveOpendir(id uint32, f *fields) error {
	name := cleanPath(f.string(maxPathBytes))
	if f.err != nil {
		return f.err
	}
	if s.mapping.volume(name) == nil {
		s.sendStatus(id, statusNoSuchFile, "no volume holds this path")
		return nil
	}
	s.mu.Lock()
	m := s.addHandle(id, &handle{path: name, isDir: true})
	s.mu.Unlock()
	s.send(m)
	return nil
}

// submitPath submits a command whose only field is a path.
func (s *session) submitPath(id uint32, command Command, f *fields) error {
	op := &operation{command: command, path: cleanPath(f.string(maxPathBytes))}
	if f.err != nil {
		return f.err
	}
	return s.submit(id, op, forwardAnswer(id))
}

// forwardAnswer returns a function that encodes a node's answer unchanged.
func forwardAnswer(id uint32) func(answer) net.Buffers {
	return func(a answer) net.Buffers { return a.packet(id) }
}

// cleanPath makes a path absolute and removes elements such as "..", so that the path's prefix determines its volume.
func cleanPath(name []byte) string { return path.Clean("/" + string(name)) }
