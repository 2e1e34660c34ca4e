// Package sftp speaks the packets of SFTP version 3 (draft-ietf-secsh-filexfer-02) over plain TCP: a
// front for file commands and the side of the storage nodes. There is no SSH underneath.
package sftp

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
)

// Packet types.
const (
	typeInit    = 1
	typeVersion = 2
	typeOpen    = 3
	typeClose   = 4
	typeRead    = 5
	typeWrite   = 6
	typeLstat   = 7
	typeFstat   = 8
	typeOpendir = 11
	typeReaddir = 12
	typeRemove  = 13
	typeStat    = 17
	typeStatus  = 101
	typeHandle  = 102
	typeData    = 103
	typeName    = 104
	typeAttrs   = 105
)

// Status codes.
const (
	statusOK          = 0
	statusEOF         = 1
	statusNoSuchFile  = 2
	statusDenied      = 3
	statusFailure     = 4
	statusBadMessage  = 5
	statusUnsupported = 8
)

// Flags of OPEN.
const (
	flagRead   = 0x01
	flagWrite  = 0x02
	flagAppend = 0x04
	flagCreate = 0x08
	flagTrunc  = 0x10
)

const (
	protocolVersion = 3
	maxData         = 64 << 10       // bytes read or written by one command
	maxPacket       = maxData + 4096 // bytes of a packet
	maxPath         = 2048
	maxHandle       = 256
)

var errPacket = errors.New("malformed packet")

// packet is one message without its length. Fields read from it lie in its bytes.
type packet struct {
	kind byte
	id   uint32
	body []byte // what follows the id
}

// readPacket reads a packet into memory of its own. INIT and VERSION carry their version as id.
func readPacket(r *bufio.Reader) (packet, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return packet{}, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n < 5 || n > maxPacket {
		return packet{}, fmt.Errorf("%w: length %d", errPacket, n)
	}
	text := make([]byte, n)
	if _, err := io.ReadFull(r, text); err != nil {
		return packet{}, err
	}
	return packet{kind: text[0], id: binary.BigEndian.Uint32(text[1:]), body: text[5:]}, nil
}

// handle is the handle that a HANDLE packet carries; nil for any other or a malformed one.
func (p packet) handle() []byte {
	if p.kind != typeHandle {
		return nil
	}
	f := fields{rest: p.body}
	return f.string(maxHandle)
}

// fields takes the fields of a packet's body in place and keeps the first error.
type fields struct {
	rest []byte
	err  error
}

func (f *fields) take(n int) []byte {
	if f.err != nil || n < 0 || n > len(f.rest) {
		f.err = errPacket
		return nil
	}
	part := f.rest[:n:n]
	f.rest = f.rest[n:]
	return part
}

func (f *fields) uint32() uint32 {
	if b := f.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (f *fields) uint64() uint64 {
	if b := f.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (f *fields) string(most int) []byte {
	n := f.uint32()
	if f.err == nil && n > uint32(most) {
		f.err = fmt.Errorf("%w: a string of %d bytes", errPacket, n)
	}
	return f.take(int(n))
}

// message gathers a packet from parts: its length is written before them.
func message(kind byte, id uint32, parts ...[]byte) net.Buffers {
	n := 5
	for _, p := range parts {
		n += len(p)
	}
	head := binary.BigEndian.AppendUint32(make([]byte, 0, 9), uint32(n))
	head = binary.BigEndian.AppendUint32(append(head, kind), id)
	return append(net.Buffers{head}, parts...)
}

func text[T string | []byte](s T) []byte {
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(s)), uint32(len(s))), s...)
}

func number(n uint32) []byte { return binary.BigEndian.AppendUint32(nil, n) }

func offset(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// status words a STATUS packet's body.
func status(code uint32, words string) []byte {
	return append(append(number(code), text(words)...), text("en")...)
}
