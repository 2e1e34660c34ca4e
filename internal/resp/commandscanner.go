package resp

// scanState is what a commandScanner expects next.
type scanState int

const (
	atCommand     scanState = iota // the first byte of a command
	inArgCount                     // the number of a command's parts
	atArg                          // the first byte of a bulk string
	inArgLength                    // the length of a bulk string
	inArgContents                  // the bytes of a bulk string, its line end included
)

// noDigit is the value of a number before its first digit.
const noDigit = -1

// commandScanner follows what a client sends byte by byte and checks that it consists of arrays of bulk strings with
// bounded lengths. It keeps no bytes.
type commandScanner struct {
	state    scanState
	number   int // the number that is being read, noDigit before its first digit
	argsLeft int // bulk strings still to come
	skip     int // bytes of a bulk string still to come
	commands int // commands that have come whole
}

// scan reads bytes and returns how many of them are well formed. Behind the first that is not, nothing may be scanned.
func (s *commandScanner) scan(p []byte) int {
	for i := 0; i < len(p); {
		if s.state == inArgContents {
			i += s.skipContents(len(p) - i)
			continue
		}
		if !s.scanByte(p[i]) {
			return i
		}
		i++
	}
	return len(p)
}

// scanByte reads a byte outside a bulk string's contents and reports whether it is well formed.
func (s *commandScanner) scanByte(c byte) bool {
	switch s.state {
	case atCommand:
		s.state = inArgCount
		s.number = noDigit
		return c == '*'
	case inArgCount:
		valid, ended := s.scanNumber(c, maxArgs)
		if valid && ended {
			s.argsLeft = s.number
			s.state = atArg
			return s.number > 0
		}
		return valid
	case atArg:
		s.state = inArgLength
		s.number = noDigit
		return c == '$'
	case inArgLength:
		valid, ended := s.scanNumber(c, maxValueBytes)
		if valid && ended {
			s.skip = s.number + len(lineEnd)
			s.state = inArgContents
		}
		return valid
	case inArgContents: // read by skipContents
	}
	return false
}

// skipContents reads up to available bytes of a bulk string's contents and returns how many it has read.
func (s *commandScanner) skipContents(available int) int {
	n := min(s.skip, available)
	s.skip -= n
	if s.skip > 0 {
		return n
	}
	s.state = atArg
	s.argsLeft--
	if s.argsLeft == 0 {
		s.state = atCommand
		s.commands++
	}
	return n
}

// scanNumber reads a byte of a number up to limit, which a line feed ends.
func (s *commandScanner) scanNumber(c byte, limit int) (valid, ended bool) {
	switch {
	case c >= '0' && c <= '9':
		s.number = max(0, s.number)*10 + int(c-'0')
		return s.number <= limit, false
	case c == '\r':
		return s.number > noDigit, false
	case c == '\n':
		return s.number > noDigit, true
	}
	return false, false
}
