package resp

// scanState is what a commandScanner expects next.
type scanState int

const (
	atCommand     scanState = iota // the first byte of a command
	inArgCount                     // the number of a command's arguments
	atArg                          // the first byte of a bulk string
	inArgLength                    // the length of a bulk string
	inArgContents                  // the bytes of a bulk string, including its line end
)

// noDigit is the value of commandScanner.number before the first digit.
const noDigit = -1

// commandScanner checks a client's input byte by byte. The input must consist of arrays of bulk strings with bounded
// lengths. The scanner stores no input.
type commandScanner struct {
	state    scanState
	number   int // the number being scanned, noDigit before its first digit
	argsLeft int // bulk strings of the command still to be scanned
	skip     int // bytes of the bulk string still to be skipped
	commands int // complete commands scanned so far
}

// scan scans bytes and returns how many of them are well formed. It must not be called again after a malformed byte.
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

// scanByte scans a byte outside a bulk string's contents and reports whether the byte is well formed.
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
	case inArgContents: // scanned by skipContents
	}
	return false
}

// skipContents skips up to available bytes of a bulk string's contents and returns the number of skipped bytes.
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

// scanNumber scans a byte of a number of at most limit, which ends with a line feed. valid reports whether the byte is
// well formed, and ended whether the number is complete.
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
