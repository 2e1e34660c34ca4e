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

// noDigit is the value of commandScanner.number before the first digit is scanned.
const noDigit = -1

// commandScanner checks that a client's input consists of arrays of bulk strings, with bounded numbers and lengths. It
// does not check the contents of the bulk strings or the line ends after them, and stores no input.
type commandScanner struct {
	state    scanState
	number   int // the number being scanned, noDigit before its first digit
	argsLeft int // bulk strings of the current command that are not scanned completely
	skip     int // bytes of the bulk string, including its line end, still to be skipped
}

// scan scans bytes up to the end of the current command and returns their number. If p ends before the command does, n
// is len(p). valid reports whether the bytes are well formed. If they are not, scan must not be called again.
func (s *commandScanner) scan(p []byte) (n int, valid bool) {
	for n < len(p) {
		if s.state == inArgContents {
			n += s.skipContents(len(p) - n)
		} else {
			if !s.scanByte(p[n]) {
				return n, false
			}
			n++
		}
		if s.state == atCommand {
			break
		}
	}
	return n, true
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

// skipContents skips the rest of a bulk string and its line end, at most available bytes, and returns the number of
// skipped bytes.
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
	}
	return n
}

// scanNumber scans one byte of a number of at most limit or of the line end after it. valid reports whether the byte is
// well formed. ended reports whether the byte is the line feed, which completes the number.
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
