package graphite

import "encoding/binary"

// maxBatch is the maximum number of points in a batch, the same as in Carbon's own relays. With larger batches, a
// receiver that is configured for relays may reject a batch. With smaller batches, an interval needs more frames.
const maxBatch = 500

// The opcodes of pickle protocol 2 that a batch uses.
const (
	opProto   = 0x80
	opList    = ']'
	opMark    = '('
	opAppends = 'e'
	opString  = 'X'  // BINUNICODE: 4 bytes of length, little-endian
	opInt     = 'J'  // BININT: 4 bytes, little-endian, signed
	opLong    = 0x8a // LONG1: a byte of length, then little-endian in two's complement
	opTuple2  = 0x86
	opStop    = '.'
)

const (
	pickleVersion = 2
	// lengthBytes is the size of the length of a batch and of a string.
	lengthBytes = 4
	// firstLong is the smallest number that is too large for BININT, which is signed.
	firstLong = 1 << 31
)

// appendPickledPoint appends (path, (timestamp, value)).
func (w *Writer) appendPickledPoint(b []byte, p Point) []byte {
	b = append(b, opString, 0, 0, 0, 0)
	start := len(b)
	b = w.naming.Append(b, w.prefix, p.Path)
	binary.LittleEndian.PutUint32(b[start-lengthBytes:], uint32(len(b)-start))
	b = appendInt(b, uint64(w.timestamp))
	b = appendInt(b, p.Value)
	return append(b, opTuple2, opTuple2)
}

// appendBatchHead appends space for the length of a batch and the beginning of the list of points.
func appendBatchHead(b []byte) []byte {
	return append(b, 0, 0, 0, 0, opProto, pickleVersion, opList, opMark)
}

// endBatch ends the list of points and writes the length of the batch.
func endBatch(b []byte) []byte {
	b = append(b, opAppends, opStop)
	binary.BigEndian.PutUint32(b, uint32(len(b)-lengthBytes))
	return b
}

// appendInt appends a non-negative integer.
func appendInt(b []byte, n uint64) []byte {
	if n < firstLong {
		b = append(b, opInt)
		return binary.LittleEndian.AppendUint32(b, uint32(n))
	}
	const digits = 8 + 1 // the last byte is 0, the sign
	b = append(b, opLong, digits)
	b = binary.LittleEndian.AppendUint64(b, n)
	return append(b, 0)
}
