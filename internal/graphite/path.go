package graphite

import (
	"errors"
	"fmt"
	"strings"
)

// Path identifies a series by fixed segments and an escaped name. In Dotted naming the dimension and the name follow
// the segments. In Tagged naming the dimension is a tag, and the name is its value.
type Path struct {
	Segments  []string // written without escaping
	Dimension string   // the kind of Name, such as "class"; empty if there is no Name
	Name      string   // escaped unless Verbatim is set
	Verbatim  bool     // Name is a reserved name such as "other" and is not escaped
	Suffix    string   // the counted quantity; empty for none
}

// Naming is a format of paths.
type Naming int

// The formats of paths.
const (
	Dotted Naming = iota // PREFIX.class.read.served
	Tagged               // PREFIX.served;class=read
)

// Append appends the path of a series. The prefix comes first.
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

// reservedNames are the names of rows that the program itself defines.
var reservedNames = map[string]bool{"other": true, "none": true, "all": true}

// AppendName appends an escaped name: all bytes except letters, digits, - and _ become % and two hex digits. So the
// result contains no dot, blank, line end or semicolon, and different names stay different. If the whole name is a
// reserved name, its first byte is escaped too. An empty name becomes a single %.
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

// The errors of CheckPrefix.
var (
	ErrEmptySegment  = errors.New("segment is empty")
	ErrBadCharacters = errors.New("character is not a letter, digit, -, _ or dot")
)

// CheckPrefix checks the prefix of paths, which is written without escaping.
func CheckPrefix(prefix string) error {
	for segment := range strings.SplitSeq(prefix, ".") {
		if segment == "" {
			return fmt.Errorf("%q: %w", prefix, ErrEmptySegment)
		}
		if string(AppendName(nil, segment)) != segment {
			return fmt.Errorf("%q: %w", prefix, ErrBadCharacters)
		}
	}
	return nil
}
