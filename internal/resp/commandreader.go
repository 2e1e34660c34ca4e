package resp

import (
	"bytes"
	"errors"

	"github.com/tidwall/redcon"
)

const (
	// readBufferBytes is the size of a connection's read buffer. Commands that fit are copied out of it. Longer ones are
	// assembled in a buffer of their own.
	readBufferBytes = 4 << 10
	// commandGrowth is the factor by which the buffer of a long command grows at most. With a larger factor, clients that
	// stop inside a command would occupy more memory. With a smaller factor, the command would be copied more often.
	commandGrowth = 4
	// discardedPrefixBytes is how much of a discarded command is kept, to find its name and class.
	discardedPrefixBytes = 512
)

// errNoMemory reports a command that was read and discarded, because there was no memory for it.
var errNoMemory = errors.New("no memory for the command")

// commandSource reads commands. An error that wraps errNoMemory comes with the first bytes of the command.
type commandSource interface {
	ReadCommand() (redcon.Command, error)
	// CommandEnd returns the end of the last command, in bytes from the start of the connection's input.
	CommandEnd() int64
}

// commandReader reads a client's commands one by one. It holds at most one command and readBufferBytes of later input,
// so that the memory of a connection does not depend on how much the client sends. It returns only well-formed commands
// to redcon's parser, so that no length in the input can make that parser allocate or index without bound. Only the
// reading goroutine uses it.
type commandReader struct {
	input *inputGuard
	// reserve reserves memory for the current command, of which size bytes are buffered. If it returns false, the
	// command is discarded. It may wait. It may be nil.
	reserve func(size int) bool
	// onCommand is called with a complete command that arrived alone in one read. It may answer the command and reports
	// whether it did. An answered command is not returned. It may be nil.
	onCommand func(raw []byte) bool

	scanner    commandScanner
	buffer     []byte // input; the bytes from start to scanned belong to the current command
	start      int
	scanned    int
	end        int
	arrived    bool   // the buffer was empty before the last read
	long       []byte // the current command before buffer[start:], if it does not fit in the buffer
	discarded  bool   // there is no memory for the current command; long holds its first bytes
	commandEnd int64  // the end of the last command that was returned, in bytes of the connection's input
	err        error  // returned by all further calls
}

func newCommandReader(input *inputGuard) *commandReader {
	return &commandReader{input: input, buffer: make([]byte, readBufferBytes)}
}

// ReadCommand implements commandSource. After malformed input all calls return errProtocol. After an error of the
// connection, such as a timeout, the next call continues to read the same command.
func (r *commandReader) ReadCommand() (redcon.Command, error) {
	for {
		if r.err == nil && !r.complete() && !r.scan() {
			r.err = errProtocol
		}
		if r.err != nil {
			return redcon.Command{}, r.err
		}
		switch {
		case !r.complete():
			if err := r.fill(); err != nil {
				return redcon.Command{}, err
			}
		case r.answered():
			r.next()
		default:
			return r.take()
		}
	}
}

// CommandEnd implements commandSource.
func (r *commandReader) CommandEnd() int64 { return r.commandEnd }

// scan scans the buffered input up to the end of the current command, and reports whether it is well formed.
func (r *commandReader) scan() bool {
	n, valid := r.scanner.scan(r.buffer[r.scanned:r.end])
	r.scanned += n
	return valid
}

// complete reports whether the current command was read completely.
func (r *commandReader) complete() bool {
	return r.scanner.state == atCommand && (r.scanned > r.start || r.long != nil)
}

// answered calls onCommand for the current command, which is complete, if the command arrived alone in one read. It
// reports whether onCommand answered it.
func (r *commandReader) answered() bool {
	alone := r.arrived && r.long == nil && r.start == 0 && r.scanned == r.end
	if !alone || r.onCommand == nil || !r.onCommand(r.buffer[:r.end]) {
		return false
	}
	r.input.commandDone()
	return true
}

// take removes the current command, which is complete, and returns it.
func (r *commandReader) take() (redcon.Command, error) {
	defer r.next()
	r.commandEnd = r.input.received - int64(r.end-r.scanned)
	buffered := r.buffer[r.start:r.scanned]
	if r.long == nil {
		return parseRaw(bytes.Clone(buffered))
	}
	r.store(buffered)
	if r.discarded {
		return redcon.Command{Raw: r.long}, errNoMemory
	}
	return parseRaw(r.long)
}

// parseRaw parses a complete command. The arguments are slices of raw.
func parseRaw(raw []byte) (redcon.Command, error) {
	cmd, err := redcon.Parse(raw)
	if err != nil { // for example a bulk string without a line end
		return redcon.Command{}, errProtocol
	}
	return cmd, nil
}

// next begins the next command.
func (r *commandReader) next() {
	r.long = nil
	r.discarded = false
	r.start = r.scanned
}

// fill reads more input of the current command, all of whose buffered input is scanned.
func (r *commandReader) fill() error {
	r.end = copy(r.buffer, r.buffer[r.start:r.end])
	r.start = 0
	if r.long != nil || r.end == len(r.buffer) {
		r.store(r.buffer[:r.end])
		r.end = 0
	}
	r.scanned = r.end
	if r.long != nil && !r.discarded && r.scanner.skip > 0 {
		return r.fillLong()
	}
	r.arrived = r.end == 0
	n, err := r.read(r.buffer[r.end:])
	r.end += n
	return err
}

// fillLong reads contents of a bulk string into the buffer of a long command.
func (r *commandReader) fillLong() error {
	size := len(r.long)
	if size == cap(r.long) && !r.grow(0) {
		r.discard(nil)
		return nil
	}
	n, err := r.read(r.long[size:min(cap(r.long), size+r.scanner.skip)])
	r.long = r.long[:size+n]
	r.scanner.skipContents(n)
	return err
}

// read reads input of the current command once. It returns an error only without input.
func (r *commandReader) read(p []byte) (int, error) {
	n, err := r.input.read(p, r.scanner.state != atCommand)
	if n > 0 {
		return n, nil
	}
	return 0, err
}

// store appends input to the long command. If the command is discarded, or there is no memory for it, store drops it.
func (r *commandReader) store(part []byte) {
	switch {
	case r.discarded:
	case len(r.long)+len(part) <= cap(r.long) || r.grow(len(part)):
		r.long = append(r.long, part...)
	default:
		r.discard(part)
	}
}

// grow enlarges the buffer of the long command, so that it has room for size more bytes of input and for some or all of
// the announced bytes of the current bulk string. It reports whether there is memory for it.
func (r *commandReader) grow(size int) bool {
	needed := len(r.long) + size
	capacity := commandBufferSize(min(needed+r.scanner.skip, commandGrowth*needed))
	if r.reserve != nil && !r.reserve(capacity) {
		return false
	}
	outgrown := r.long
	r.long = append(newCommandBuffer(capacity), outgrown...)
	recycleCommandBuffer(outgrown)
	return true
}

// discard makes the current command a discarded one. part is its input after the stored part.
func (r *commandReader) discard(part []byte) {
	stored := r.long
	r.long = bytes.Clone(stored[:min(len(stored), discardedPrefixBytes)])
	if len(stored) == 0 {
		r.long = bytes.Clone(part[:min(len(part), discardedPrefixBytes)])
	}
	recycleCommandBuffer(stored)
	r.discarded = true
}
