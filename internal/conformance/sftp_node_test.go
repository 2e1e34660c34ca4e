package conformance

import (
	"bufio"
	"io"
	"net"
	"path"
	"sync"
	"time"
)

// sharedFiles are the files that all fake nodes of the shard store.
type sharedFiles struct {
	mu   sync.Mutex
	data map[string][]byte // by path
}

// sftpNode is one connection to a fake node, which speaks SFTP version 3 without SSH. One goroutine serves it.
type sftpNode struct {
	files      *sharedFiles
	recorder   *recorder
	name       string
	conn       net.Conn
	reader     io.Reader
	attempt    *attempt // the current attempt: from OPEN to CLOSE, or one command that names a path
	behavior   behavior
	path       string
	namesTaken bool // all names of the directory were sent
}

func (p sftpProtocol) serveNode(conn net.Conn, name string, r *recorder) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	n := &sftpNode{files: p.files, recorder: r, name: name, conn: conn, reader: reader}
	defer n.end()
	if packetType, _, err := receivePacket(reader); err != nil || packetType != packetInit {
		return
	}
	n.reply(packetVersion, sftpVersion)
	for {
		packetType, body, err := receivePacket(reader)
		if err != nil || !n.handle(packetType, body.uint32(), body) {
			return
		}
	}
}

// handle answers one packet and reports whether the connection stays open.
func (n *sftpNode) handle(packetType byte, id uint32, body *packetBody) bool {
	if n.attempt != nil {
		n.attempt.message()
	}
	switch packetType {
	case packetClose, packetRead, packetWrite, packetReadDir:
		body.string() // skips the handle, since a connection has one at a time
	}
	switch packetType {
	case packetOpen, packetOpenDir:
		return n.open(packetType, id, body)
	case packetClose:
		return n.closeHandle(id)
	case packetRead:
		return n.read(id, body)
	case packetWrite:
		return n.write(id, body)
	case packetReadDir:
		return n.readDirectory(id)
	case packetRemove, packetStat:
		return n.removeOrStat(packetType, id, body)
	}
	return n.status(id, statusUnsupported)
}

func (n *sftpNode) reply(parts ...any) bool {
	_, err := n.conn.Write(encodePacket(parts...))
	return err == nil
}

func (n *sftpNode) status(id, code uint32) bool {
	_, err := n.conn.Write(encodeStatus(id, code, ""))
	return err == nil
}

// begin starts an attempt. proceed reports whether the attempt continues, and alive whether the connection stays open.
func (n *sftpNode) begin(name string, id uint32) (proceed, alive bool) {
	n.path = name
	n.namesTaken = false
	n.attempt, n.behavior = n.recorder.begin(n.name, path.Base(name))
	switch n.behavior {
	case rejectBusy:
		n.end()
		_, _ = n.conn.Write(encodeStatus(id, statusFailure, "BUSY"))
		return false, true
	case closeMidRequest:
		return false, false
	case hang:
		_, _, _ = receivePacket(n.reader) // until the broker closes the connection
		return false, false
	}
	return true, true
}

// end ends the current attempt, if there is one.
func (n *sftpNode) end() {
	if n.attempt != nil {
		n.attempt.end()
		n.attempt = nil
	}
}

// corrupt sends a packet with an impossible length and waits until the broker closes the connection.
func (n *sftpNode) corrupt() bool {
	_, _ = n.conn.Write([]byte(impossibleLength))
	_, _ = io.Copy(io.Discard, n.reader)
	return false
}

func (n *sftpNode) open(packetType byte, id uint32, body *packetBody) bool {
	name := body.string()
	if proceed, alive := n.begin(name, id); !proceed {
		return alive
	}
	if packetType == packetOpen && !n.files.open(name, body.uint32()) {
		return n.status(id, statusNoSuchFile)
	}
	return n.reply(packetHandle, id, "h")
}

// open creates or truncates a file according to the flags, and reports whether the file exists afterwards.
func (f *sharedFiles) open(name string, flags uint32) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, exists := f.data[name]
	if !exists && flags&flagCreate == 0 {
		return false
	}
	if !exists || flags&flagTruncate != 0 {
		f.data[name] = nil
	}
	return true
}

func (n *sftpNode) closeHandle(id uint32) bool {
	n.end()
	if n.behavior == duplicateAnswer {
		answer := encodeStatus(id, statusOK, "")
		_, _ = n.conn.Write(append(answer, answer...))
		return true
	}
	return n.status(id, statusOK)
}

func (n *sftpNode) read(id uint32, body *packetBody) bool {
	offset := body.uint64()
	length := uint64(body.uint32())
	switch n.behavior {
	case closeAfterExecution:
		return false
	case corruptAnswer:
		return n.corrupt()
	}
	data, found := n.files.read(n.path, offset, length)
	if !found {
		return n.status(id, statusEOF)
	}
	return n.reply(packetData, id, data)
}

// read returns a part of a file, or false if the file has no byte at offset.
func (f *sharedFiles) read(name string, offset, length uint64) (data string, found bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	stored := f.data[name]
	size := uint64(len(stored))
	if offset >= size {
		return "", false
	}
	return string(stored[offset:min(offset+length, size)]), true
}

func (n *sftpNode) write(id uint32, body *packetBody) bool {
	offset := int(body.uint64())
	n.files.write(n.path, offset, body.string())
	n.attempt.apply()
	switch n.behavior {
	case closeAfterExecution:
		return false
	case corruptAnswer:
		return n.corrupt()
	}
	return n.status(id, statusOK)
}

func (f *sharedFiles) write(name string, offset int, data string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	stored := f.data[name]
	if end := offset + len(data); end > len(stored) {
		stored = append(stored, make([]byte, end-len(stored))...)
	}
	copy(stored[offset:], data)
	f.data[name] = stored
}

func (n *sftpNode) readDirectory(id uint32) bool {
	if n.behavior == trickle {
		time.Sleep(drainGrace / 20)
		return n.reply(packetName, id, uint32(1), "f", "f", noAttributes)
	}
	if n.namesTaken {
		return n.status(id, statusEOF)
	}
	n.namesTaken = true
	entries := n.files.entries(n.path)
	const fieldsPerEntry = 4
	count := uint32(len(entries) / fieldsPerEntry)
	return n.reply(append([]any{packetName, id, count}, entries...)...)
}

// entries returns four fields for each file of a directory: name, long name, attribute flags, size.
func (f *sharedFiles) entries(directory string) []any {
	f.mu.Lock()
	defer f.mu.Unlock()
	var fields []any
	for name, data := range f.data {
		if path.Dir(name) == directory {
			fields = append(fields, path.Base(name), path.Base(name), attributeSize, uint64(len(data)))
		}
	}
	return fields
}

func (n *sftpNode) removeOrStat(packetType byte, id uint32, body *packetBody) bool {
	name := body.string()
	if proceed, alive := n.begin(name, id); !proceed {
		return alive
	}
	defer n.end()
	n.files.mu.Lock()
	defer n.files.mu.Unlock()
	data, exists := n.files.data[name]
	if !exists {
		return n.status(id, statusNoSuchFile)
	}
	if packetType == packetRemove {
		delete(n.files.data, name)
		n.attempt.apply()
		return n.status(id, statusOK)
	}
	return n.reply(packetAttrs, id, attributeSize, uint64(len(data)))
}
