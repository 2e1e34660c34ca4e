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
	// languageTag is the language of a status's text.
	languageTag = "en"

	lengthBytes = 4 // length field of a packet or a string
	headerBytes = 5 // type and id of a packet, which follow its length

	// maxDataBytes bounds the data that one command reads or writes. With a larger value, each command could use more
	// memory. With a smaller value, clients would need more commands.
	maxDataBytes = 64 << 10
	// MaxPacketBytes bounds a packet in bytes: the data and 4096 bytes for its other fields. Each connection may hold one
	// packet that is being read, for which nothing is reserved.
	MaxPacketBytes = maxDataBytes + 4096
	// maxPathBytes and maxHandleBytes bound the paths and handles in packets. The draft allows handles of 256 bytes.
	maxPathBytes   = 2048
	maxHandleBytes = 256
)

// errPacket reports a packet that cannot be decoded. Clients receive its text and the texts of errors that wrap it.
var errPacket = errors.New("malformed packet")

// packet is one message without its length field. Fields decoded from it refer to its memory.
type packet struct {
	kind byte
	id   uint32 // the protocol version in INIT and VERSION packets
	body []byte // the bytes after the id
}

// readPacket reads a packet into newly allocated memory.
func readPacket(r *bufio.Reader) (packet, error) {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return packet{}, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length < headerBytes || length > MaxPacketBytes {
		return packet{}, fmt.Errorf("%w: length %d", errPacket, length)
	}
	text := make([]byte, length)
	if _, err := io.ReadFull(r, text); err != nil {
		return packet{}, err
	}
	return packet{kind: text[0], id: binary.BigEndian.Uint32(text[1:]), body: text[headerBytes:]}, nil
}

// handle returns the handle in a HANDLE packet. It returns nil for any other packet and for a malformed one.
func (p packet) handle() []byte {
	if p.kind != typeHandle {
		return nil
	}
	f := fields{rest: p.body}
	return f.string(maxHandleBytes)
}

// statusCode returns the code in a STATUS packet.
func (p packet) statusCode() uint32 {
	f := fields{rest: p.body}
	return f.uint32()
}

// fields decodes the fields of a packet's body in place. After an error, err is set and all further fields are zero.
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

// string decodes a string of at most limit bytes.
func (f *fields) string(limit int) []byte {
	n := f.uint32()
	if f.err == nil && n > uint32(limit) {
		f.err = fmt.Errorf("%w: a string of %d bytes", errPacket, n)
	}
	return f.take(int(n))
}

// encodePacket encodes a packet whose body consists of parts. It does not copy the parts.
func encodePacket(kind byte, id uint32, parts ...[]byte) net.Buffers {
	length := headerBytes
	for _, part := range parts {
		length += len(part)
	}
	header := make([]byte, 0, lengthBytes+headerBytes)
	header = binary.BigEndian.AppendUint32(header, uint32(length))
	header = append(header, kind)
	header = binary.BigEndian.AppendUint32(header, id)
	return append(net.Buffers{header}, parts...)
}

// encodeString encodes the length of a string and the string.
func encodeString[T string | []byte](s T) []byte {
	text := make([]byte, 0, lengthBytes+len(s))
	text = binary.BigEndian.AppendUint32(text, uint32(len(s)))
	return append(text, s...)
}

func encodeUint32(n uint32) []byte { return binary.BigEndian.AppendUint32(nil, n) }

func encodeUint64(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// encodeStatus encodes a STATUS packet.
func encodeStatus(id, code uint32, text string) net.Buffers {
	return encodePacket(typeStatus, id, statusBody(code, text))
}

// statusBody encodes the body of a STATUS packet.
func statusBody(code uint32, text string) []byte {
	body := encodeUint32(code)
	body = append(body, encodeString(text)...)
	return append(body, encodeString(languageTag)...)
}
