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
	Words []string // as they are, the first of them first
	Tag   string   // the dimension, such as "class"; empty for none
	Name  string   // its value; escaped by the package
	Plain bool     // Name is one of the program's own words, such as "other", and not escaped
	Last  string   // words after the name; empty for none
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
	maxFrame    = 16 << 10
	maxDatagram = 1432
)

// Append appends a path.
func (n Naming) Append(b []byte, prefix string, p Path) []byte {
	b = append(b, prefix...)
	for _, w := range p.Words {
		b = append(append(b, '.'), w...)
	}
	name := func(b []byte) []byte {
		if p.Plain {
			return append(b, p.Name...)
		}
		return AppendName(b, p.Name)
	}
	if p.Tag != "" && n == Dotted {
		b = append(append(b, '.'), p.Tag...)
		b = name(append(b, '.'))
	}
	if p.Last != "" {
		b = append(append(b, '.'), p.Last...)
	}
	if p.Tag != "" && n == Tagged {
		b = append(append(b, ';'), p.Tag...)
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

// Plaintext words points as lines, in frames of whole lines. datagrams has frames fit into a datagram.
func Plaintext(points []Point, prefix string, naming Naming, stamp int64, datagrams bool) [][]byte {
	limit := maxFrame
	if datagrams {
		limit = maxDatagram
	}
	var frames [][]byte
	var frame, line []byte
	for _, p := range points {
		line = naming.Append(line[:0], prefix, p.Path)
		line = strconv.AppendUint(append(line, ' '), p.Value, 10)
		line = strconv.AppendInt(append(line, ' '), stamp, 10)
		line = append(line, '\n')
		if len(frame) > 0 && len(frame)+len(line) > limit {
			frames, frame = append(frames, frame), nil
		}
		frame = append(frame, line...)
	}
	if len(frame) > 0 {
		frames = append(frames, frame)
	}
	return frames
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

// Pickle words points as batches of [(path, (timestamp, value)), ...], a frame each.
func Pickle(points []Point, prefix string, naming Naming, stamp int64) [][]byte {
	var frames [][]byte
	var path []byte
	for len(points) > 0 {
		b := []byte{0, 0, 0, 0, opProto, 2, opList, opMark}
		for n := 0; len(points) > 0 && n < pickleEach && len(b) < maxFrame; n++ {
			p := points[0]
			points = points[1:]
			path = naming.Append(path[:0], prefix, p.Path)
			b = binary.LittleEndian.AppendUint32(append(b, opString), uint32(len(path)))
			b = append(b, path...)
			b = appendInt(b, uint64(stamp))
			b = appendInt(b, p.Value)
			b = append(b, opTuple2, opTuple2)
		}
		b = append(b, opAppends, opStop)
		binary.BigEndian.PutUint32(b, uint32(len(b)-4))
		frames = append(frames, b)
	}
	return frames
}

// appendInt writes a whole number: a long has its length and then its bytes, little-endian in two's complement.
func appendInt(b []byte, n uint64) []byte {
	if n < 1<<31 {
		return binary.LittleEndian.AppendUint32(append(b, opInt), uint32(n))
	}
	digits := binary.LittleEndian.AppendUint64(nil, n)
	digits = append(digits, 0) // the sign
	return append(append(b, opLong, byte(len(digits))), digits...)
}
