// Package graphite words figures in the formats that Carbon takes: plaintext lines, and batches pickled by protocol 2 behind
// four bytes of length. It escapes names so that none can break a line or a path.
package graphite

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
)

// Point is one value of a series.
type Point struct {
	Path  Path
	Value uint64
}

// Path names a series: fixed words, and between them names that are the site's own. With tags the words make the name and
// each name is a tag's value.
type Path struct {
	Segments  []string // as they are, the first of them first
	Dimension string   // the dimension, such as "class"; empty for none
	Name      string   // its value; escaped by the package
	Verbatim  bool     // Name is one of the program's own words, such as "other", and not escaped
	Suffix    string   // words after the name; empty for none
}

// Naming is a way to write paths.
type Naming int

// The ways: PREFIX.class.read.served, or PREFIX.served;class=read.
const (
	Dotted Naming = iota
	Tagged
)

// maxFrame bounds a frame: what a sink has taken whole or not at all, and a datagram on common links.
const (
	maxFrame    = 4 << 10
	maxDatagram = 1432
)

// Append appends a path.
func (n Naming) Append(b []byte, prefix string, p Path) []byte {
	b = append(b, prefix...)
	for _, w := range p.Segments {
		b = append(append(b, '.'), w...)
	}
	name := func(b []byte) []byte {
		if p.Verbatim {
			return append(b, p.Name...)
		}
		return AppendName(b, p.Name)
	}
	if p.Dimension != "" && n == Dotted {
		b = append(append(b, '.'), p.Dimension...)
		b = name(append(b, '.'))
	}
	if p.Suffix != "" {
		b = append(append(b, '.'), p.Suffix...)
	}
	if p.Dimension != "" && n == Tagged {
		b = append(append(b, ';'), p.Dimension...)
		b = name(append(b, '='))
	}
	return b
}

// reserved are the program's own words in the place of a name.
var reserved = map[string]bool{"other": true, "none": true, "all": true}

// AppendName appends a name with all but letters, digits, - and _ written as % and two hex digits; so a name has no dot,
// blank, line end or semicolon, and different names stay different. The first byte of a reserved word is written so too.
func AppendName(b []byte, name string) []byte {
	if name == "" {
		return append(b, '%')
	}
	for i := range len(name) {
		c := name[i]
		plain := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_'
		if plain && (i > 0 || !reserved[name]) {
			b = append(b, c)
		} else {
			b = fmt.Appendf(b, "%%%02X", c)
		}
	}
	return b
}

// CheckPrefix names what is wrong with a prefix, which is written as it is.
func CheckPrefix(prefix string) error {
	for part := range strings.SplitSeq(prefix, ".") {
		if part == "" {
			return fmt.Errorf("%q has an empty part", prefix)
		}
		if string(AppendName(nil, part)) != part {
			return fmt.Errorf("%q holds more than letters, digits, -, _ and dots", prefix)
		}
	}
	return nil
}

// Writer words points one after the other into frames.
type Writer struct {
	Prefix    string
	Naming    Naming
	Timestamp int64 // Unix time, s
	limit     int
	pickle    bool
	frames    [][]byte
	frame     []byte
	item      []byte // the point at hand, used again
	points    int    // of frame
}

// NewPlaintext words points as lines, in frames of whole lines. datagrams has frames fit into a datagram.
func NewPlaintext(prefix string, naming Naming, stamp int64, datagrams bool) *Writer {
	w := &Writer{Prefix: prefix, Naming: naming, Timestamp: stamp, limit: maxFrame}
	if datagrams {
		w.limit = maxDatagram
	}
	return w
}

// NewPickle words points as batches of [(path, (timestamp, value)), ...], a frame each.
func NewPickle(prefix string, naming Naming, stamp int64) *Writer {
	return &Writer{Prefix: prefix, Naming: naming, Timestamp: stamp, limit: maxFrame, pickle: true}
}

// Add words a point.
func (w *Writer) Add(p Point) {
	if w.pickle {
		w.item = w.Naming.Append(append(w.item[:0], opString, 0, 0, 0, 0), w.Prefix, p.Path)
		binary.LittleEndian.PutUint32(w.item[1:], uint32(len(w.item)-5))
		w.item = appendInt(appendInt(w.item, uint64(w.Timestamp)), p.Value)
		w.item = append(w.item, opTuple2, opTuple2)
	} else {
		w.item = w.Naming.Append(w.item[:0], w.Prefix, p.Path)
		w.item = strconv.AppendUint(append(w.item, ' '), p.Value, 10)
		w.item = append(strconv.AppendInt(append(w.item, ' '), w.Timestamp, 10), '\n')
	}
	if w.points > 0 && (len(w.frame)+len(w.item) > w.limit || w.pickle && w.points >= pickleEach) {
		w.end()
	}
	if w.points == 0 {
		w.frame = make([]byte, 0, w.limit+len(w.item)+16)
		if w.pickle {
			w.frame = append(w.frame, 0, 0, 0, 0, opProto, 2, opList, opMark)
		}
	}
	w.frame = append(w.frame, w.item...)
	w.points++
}

func (w *Writer) end() {
	if w.points == 0 {
		return
	}
	if w.pickle {
		w.frame = append(w.frame, opAppends, opStop)
		binary.BigEndian.PutUint32(w.frame, uint32(len(w.frame)-4))
	}
	w.frames, w.frame, w.points = append(w.frames, w.frame), nil, 0
}

// Frames ends the last frame and returns all.
func (w *Writer) Frames() [][]byte {
	w.end()
	return w.frames
}

// The opcodes of pickle protocol 2 that a batch needs.
const (
	opProto    = 0x80
	opList     = ']'
	opMark     = '('
	opAppends  = 'e'
	opString   = 'X' // BINUNICODE: 4 bytes of length, little-endian
	opLong     = 0x8a
	opInt      = 'J' // BININT: 4 bytes, little-endian, signed
	opTuple2   = 0x86
	opStop     = '.'
	pickleEach = 500 // points of a batch at the most, as Carbon's relays send them
)

// appendInt writes a whole number: a long has its length and then its bytes, little-endian in two's complement.
func appendInt(b []byte, n uint64) []byte {
	if n < 1<<31 {
		return binary.LittleEndian.AppendUint32(append(b, opInt), uint32(n))
	}
	digits := binary.LittleEndian.AppendUint64(nil, n)
	digits = append(digits, 0) // the sign
	return append(append(b, opLong, byte(len(digits))), digits...)
}
