package graphite

import (
	"errors"
	"fmt"
	"strings"
)

// Path names a series: fixed segments, and between them a name that is escaped. With tags the segments make the name of
// the series, and the name is a tag's value.
type Path struct {
	Segments  []string // written as they are
	Dimension string   // what Name is a name of, such as "class"; empty for none
	Name      string   // escaped by the package
	Verbatim  bool     // Name is one of the program's own, such as "other", and is not escaped
	Suffix    string   // what is counted; empty for none
}

// Naming is a way to write paths.
type Naming int

// The ways to write paths.
const (
	Dotted Naming = iota // PREFIX.class.read.served
	Tagged               // PREFIX.served;class=read
)

// Append appends a path.
func (n Naming) Append(b []byte, prefix string, p Path) []byte {
	b = append(b, prefix...)
	for _, segment := range p.Segments {
		b = appendSegment(b, segment)
	}
	if p.Dimension != "" && n == Dotted {
		b = appendSegment(b, p.Dimension)
		b = append(b, '.')
		b = p.appendName(b)
	}
	if p.Suffix != "" {
		b = appendSegment(b, p.Suffix)
	}
	if p.Dimension != "" && n == Tagged {
		b = append(b, ';')
		b = append(b, p.Dimension...)
		b = append(b, '=')
		b = p.appendName(b)
	}
	return b
}

func appendSegment(b []byte, segment string) []byte {
	b = append(b, '.')
	return append(b, segment...)
}

func (p *Path) appendName(b []byte) []byte {
	if p.Verbatim {
		return append(b, p.Name...)
	}
	return AppendName(b, p.Name)
}

// reservedNames are the program's own names of rows.
var reservedNames = map[string]bool{"other": true, "none": true, "all": true}

// AppendName appends a name with all but letters, digits, - and _ written as % and two hex digits; so a name has no
// dot, blank, line end or semicolon, and different names stay different. The first byte of a reserved name is escaped
// too, and an empty name is a single %.
func AppendName(b []byte, name string) []byte {
	if name == "" {
		return append(b, '%')
	}
	for i := range len(name) {
		if isPlain(name[i]) && (i > 0 || !reservedNames[name]) {
			b = append(b, name[i])
		} else {
			b = fmt.Appendf(b, "%%%02X", name[i])
		}
	}
	return b
}

func isPlain(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return c == '-' || c == '_'
	}
}

// The faults of a prefix.
var (
	ErrEmptySegment  = errors.New("has an empty part")
	ErrBadCharacters = errors.New("holds more than letters, digits, -, _ and dots")
)

// CheckPrefix checks a prefix, which is not escaped.
func CheckPrefix(prefix string) error {
	for segment := range strings.SplitSeq(prefix, ".") {
		if segment == "" {
			return fmt.Errorf("%q %w", prefix, ErrEmptySegment)
		}
		if string(AppendName(nil, segment)) != segment {
			return fmt.Errorf("%q %w", prefix, ErrBadCharacters)
		}
	}
	return nil
}
