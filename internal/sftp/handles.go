package sftp

import (
	"encoding/binary"
	"net"

	"junctionwharf/internal/clientconn"
)

const (
	// maxHandles bounds the open handles of one connection. With a larger value, one client could use more memory.
	maxHandles = 256
	// handleOverhead is the memory of an open handle in bytes, besides its path and its names.
	handleOverhead = 256
)

// handle is a file or directory that a client has opened. It exists only in the server. session.mu guards it.
type handle struct {
	path   string
	flags  uint32
	isDir  bool
	listed bool                    // the directory has been read from a node
	names  [][]byte                // bodies of NAME packets of a listed directory that the client has not read
	memory *clientconn.Reservation // of names, nil if there are none
	closed bool                    // the client has closed the handle
	own    *clientconn.Reservation // of the handle itself and its path, nil before addHandle
}

// addHandle adds a handle under a new name and encodes the answer with this name. If too many handles are open, there
// is no memory for another one, or the session has ended, it only encodes a failure. The caller holds s.mu.
func (s *session) addHandle(id uint32, h *handle) net.Buffers {
	if len(s.handles) >= maxHandles || s.closedToCommands {
		return encodeStatus(id, statusFailure, "too many open handles")
	}
	h.own = s.server.budget.NewReservation()
	if !h.own.TryResize(handleOverhead + len(h.path)) {
		return encodeStatus(id, statusFailure, "no memory for another handle")
	}
	s.handlesOpened++
	name := binary.BigEndian.AppendUint64(nil, s.handlesOpened)
	s.handles[string(name)] = h
	return encodePacket(typeHandle, id, encodeString(name))
}

// findHandle returns the handle with the given name, or nil if there is none. If closeIt is true, it also removes the
// handle.
func (s *session) findHandle(name []byte, closeIt bool) *handle {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.handles[string(name)]
	if closeIt && h != nil {
		h.release()
		h.closed = true
		delete(s.handles, string(name))
	}
	return h
}

// dispatchOnHandle dispatches a packet whose first field is the name of a handle. If no handle with this name is open,
// it sends a failure. For errors see dispatch.
func (s *session) dispatchOnHandle(p packet, f *fields) error {
	name := f.string(maxHandleBytes)
	if f.err != nil {
		return f.err
	}
	h := s.findHandle(name, p.kind == typeClose)
	if h == nil {
		s.sendStatus(p.id, statusFailure, "no such handle")
		return nil
	}
	switch p.kind {
	case typeRead:
		return s.submitRead(p.id, h, f)
	case typeWrite:
		return s.submitWrite(p.id, h, f)
	case typeReaddir:
		return s.serveReaddir(p.id, h)
	case typeFstat:
		return s.submit(p.id, &operation{command: Stat, path: h.path, flags: h.flags}, forwardAnswer(p.id))
	}
	s.sendStatus(p.id, statusOK, "closed")
	return nil
}

func (s *session) submitRead(id uint32, h *handle, f *fields) error {
	op := &operation{command: Read, path: h.path, flags: h.flags}
	op.offset = f.uint64()
	op.length = min(f.uint32(), maxDataBytes)
	if f.err != nil {
		return f.err
	}
	if h.isDir || h.flags&flagRead == 0 {
		s.sendStatus(id, statusDenied, "not open for reading")
		return nil
	}
	return s.submit(id, op, forwardAnswer(id))
}

func (s *session) submitWrite(id uint32, h *handle, f *fields) error {
	op := &operation{command: Write, path: h.path, flags: h.flags}
	op.offset = f.uint64()
	op.data = f.string(maxDataBytes)
	if f.err != nil {
		return f.err
	}
	if h.isDir || h.flags&(flagWrite|flagAppend) == 0 {
		s.sendStatus(id, statusDenied, "not open for writing")
		return nil
	}
	return s.submit(id, op, forwardAnswer(id))
}

// serveReaddir answers a READDIR. The first call for a handle reads the whole directory from a node, so that no listing
// stays open at the node between calls. Later calls return the next parts of this listing.
func (s *session) serveReaddir(id uint32, h *handle) error {
	if !h.isDir {
		s.sendStatus(id, statusFailure, "not a directory")
		return nil
	}
	s.mu.Lock()
	listed := h.listed
	m := nextNames(id, h)
	s.mu.Unlock()
	if listed {
		s.send(m)
		return nil
	}
	return s.submit(id, &operation{command: List, path: h.path}, func(a answer) net.Buffers {
		if a.kind != typeName {
			return a.packet(id)
		}
		h.holdNames(s.server.budget, a.names)
		return nextNames(id, h)
	})
}

// nextNames encodes the next part of a listed directory, or EOF after the last part. The caller holds session.mu.
func nextNames(id uint32, h *handle) net.Buffers {
	if len(h.names) == 0 {
		h.releaseNames()
		return encodeStatus(id, statusEOF, "end of directory")
	}
	body := h.names[0]
	h.names = h.names[1:]
	return encodePacket(typeName, id, body)
}
