package conformance

import (
	"encoding/binary"
	"io"
)

// Packet types of SFTP version 3. They are taken from the specification and not shared with the tested code, so that
// the tests detect wrong numbers in that code.
const (
	packetInit     byte = 1
	packetVersion  byte = 2
	packetOpen     byte = 3
	packetClose    byte = 4
	packetRead     byte = 5
	packetWrite    byte = 6
	packetOpenDir  byte = 11
	packetReadDir  byte = 12
	packetRemove   byte = 13
	packetStat     byte = 17
	packetStatus   byte = 101
	packetHandle   byte = 102
	packetData     byte = 103
	packetName     byte = 104
	packetAttrs    byte = 105
	packetExtended byte = 200
)

const sftpVersion uint32 = 3

// Status codes.
const (
	statusOK          uint32 = 0
	statusEOF         uint32 = 1
	statusNoSuchFile  uint32 = 2
	statusFailure     uint32 = 4
	statusBadMessage  uint32 = 5
	statusUnsupported uint32 = 8
)

// Flags of OPEN.
const (
	flagRead     uint32 = 1
	flagWrite    uint32 = 2
	flagCreate   uint32 = 8
	flagTruncate uint32 = 16
)

// Flags of file attributes.
const (
	noAttributes  uint32 = 0
	attributeSize uint32 = 1
)

// closeWithoutHandle is a CLOSE whose handle is missing.
const closeWithoutHandle = "\x00\x00\x00\x05\x06\x00\x00\x00\x01"

// impossibleLength is a packet length that no receiver may accept, followed by some bytes.
const impossibleLength = "\xff\xff\xff\xf0noise"

// encodePacket encodes bytes, integers and strings as a packet, which begins with its length.
func encodePacket(parts ...any) []byte {
	var b []byte
	for _, part := range parts {
		switch value := part.(type) {
		case byte:
			b = append(b, value)
		case uint32:
			b = binary.BigEndian.AppendUint32(b, value)
		case uint64:
			b = binary.BigEndian.AppendUint64(b, value)
		case string:
			b = append(binary.BigEndian.AppendUint32(b, uint32(len(value))), value...)
		}
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...)
}

func encodeStatus(id, code uint32, message string) []byte {
	return encodePacket(packetStatus, id, code, message, "en")
}

// packetBody reads the fields of a packet one by one. It panics on a truncated packet, which the broker never sends.
type packetBody struct{ b []byte }

func (p *packetBody) uint32() uint32 {
	n := binary.BigEndian.Uint32(p.b)
	p.b = p.b[4:]
	return n
}

func (p *packetBody) uint64() uint64 {
	n := binary.BigEndian.Uint64(p.b)
	p.b = p.b[8:]
	return n
}

func (p *packetBody) string() string {
	n := p.uint32()
	s := string(p.b[:n])
	p.b = p.b[n:]
	return s
}

func receivePacket(r io.Reader) (packetType byte, body *packetBody, err error) {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	b := make([]byte, binary.BigEndian.Uint32(header[:]))
	if _, err := io.ReadFull(r, b); err != nil {
		return 0, nil, err
	}
	return b[0], &packetBody{b[1:]}, nil
}
