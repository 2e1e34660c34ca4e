package resp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

const (
	// maxLineBytes bounds in bytes a line of a node's reply, and each of the bulk strings after its value. The protocol
	// defines this bound.
	maxLineBytes = 512
	// maxReplyParts bounds the parts of a node's reply. The protocol defines three parts, and later versions may define
	// more.
	maxReplyParts = 8
	// nullLength is the length of a null bulk string.
	nullLength = -1
)

// nodeBusy is the first word of the error with which a node rejects a request without executing it.
const nodeBusy = "BUSY"

// errReply is the error of a node's reply that cannot be parsed. The connection to the node is closed after it.
var errReply = errors.New("malformed reply")

// replyRest describes the unread rest of a reply.
type replyRest struct {
	streamed int // length in bytes of a value that is streamed, 0 if the value was read
	parts    int // number of bulk strings after the value
}

// readReply reads a node's reply up to the end of its value, or up to the header of a value that is streamed. memory
// decides what happens to the value; it may be nil. rest describes the unread part of the reply.
func readReply(r *bufio.Reader, memory *requestMemory) (result broker.Result, rest replyRest, err error) {
	result = broker.Result{Load: scheduler.NoLoadReport}
	line, err := readLine(r)
	if err != nil {
		return result, rest, err
	}
	switch line[0] {
	case '-':
		readError(line[1:], &result)
		return result, rest, nil
	case '*':
		err = readArray(r, line, memory, &result, &rest)
		return result, rest, err
	}
	return result, rest, fmt.Errorf("%w: %.20q is not an array", errReply, line)
}

// readError parses an error line of a node. The words of the line may contain figures.
func readError(line []byte, result *broker.Result) {
	words := bytes.Fields(line)
	result.Reply = broker.ReplyError
	if len(words) > 0 && string(words[0]) == nodeBusy {
		result.Reply = broker.ReplyRejected
	}
	for _, word := range words {
		readFigures(word, result)
	}
}

// readArray reads an array reply, whose first line is line, up to the end of its value.
func readArray(r *bufio.Reader, line []byte, memory *requestMemory, result *broker.Result, rest *replyRest) error {
	parts, err := strconv.Atoi(string(line[1:]))
	if err != nil || parts < 1 || parts > maxReplyParts {
		return fmt.Errorf("%w: %.20q is not an array of 1 to %d parts", errReply, line, maxReplyParts)
	}
	rest.parts = parts - 1
	size, err := readBulkHeader(r, maxNodeValueBytes)
	if err != nil {
		return err
	}
	switch memory.handlingOf(size) {
	case valueStreamed:
		rest.streamed = size
		return nil
	case valueDiscarded:
		result.ValueDiscarded = true
		_, err := r.Discard(size + len(lineEnd))
		return err
	case valueBuffered:
	}
	value, err := readBulkContents(r, size)
	if err != nil {
		return err
	}
	if value == nil { // a null value is treated as an error
		result.Reply = broker.ReplyError
		return nil
	}
	result.Value = value
	return nil
}

// readTrailer reads the parts after a value: the figures on use and the load report. These parts may be malformed
// although the value is valid. After an error the connection cannot be used again, but the value remains valid.
func readTrailer(r *bufio.Reader, parts int, result *broker.Result) error {
	for range parts {
		part, err := readBulk(r, maxLineBytes)
		if err != nil {
			return err
		}
		readFigures(part, result)
	}
	return nil
}

// readHealthCheck reads the reply to a health check, which is a load report in a bulk string. It passes any other
// reply, for example an error, to readReply.
func readHealthCheck(r *bufio.Reader) (broker.Result, error) {
	if next, err := r.Peek(1); err != nil || next[0] != '$' {
		result, _, err := readReply(r, nil)
		return result, err
	}
	result := broker.Result{Load: scheduler.NoLoadReport}
	text, err := readBulk(r, maxLineBytes)
	readFigures(text, &result)
	return result, err
}

// readLine returns a line without its line end. The line is a slice of the reader's buffer, valid until the next read.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || len(line) > maxLineBytes {
		return nil, fmt.Errorf("%w: line is longer than %d bytes", errReply, maxLineBytes)
	}
	if err != nil {
		return nil, err
	}
	if len(line) <= len(lineEnd) || !bytes.HasSuffix(line, []byte(lineEnd)) {
		return nil, fmt.Errorf("%w: line is empty or does not end with CR LF", errReply)
	}
	return line[:len(line)-len(lineEnd)], nil
}

// readBulk reads a bulk string of at most limit bytes. It returns nil for a null bulk string.
func readBulk(r *bufio.Reader, limit int) ([]byte, error) {
	size, err := readBulkHeader(r, limit)
	if err != nil {
		return nil, err
	}
	return readBulkContents(r, size)
}

// readBulkHeader reads the header of a bulk string of at most limit bytes. It returns the length of the bulk string,
// which is nullLength for a null bulk string.
func readBulkHeader(r *bufio.Reader, limit int) (int, error) {
	line, err := readLine(r)
	if err != nil {
		return 0, err
	}
	size, err := strconv.Atoi(string(line[1:]))
	if line[0] != '$' || err != nil || size < nullLength || size > limit {
		return 0, fmt.Errorf("%w: %.20q is not the header of a bulk string of at most %d bytes", errReply, line, limit)
	}
	return size, nil
}

// readBulkContents reads the contents of a bulk string of size bytes. It returns nil for a null bulk string.
func readBulkContents(r *bufio.Reader, size int) ([]byte, error) {
	if size == nullLength {
		return nil, nil
	}
	text := make([]byte, size+len(lineEnd))
	if _, err := io.ReadFull(r, text); err != nil {
		return nil, err
	}
	if string(text[size:]) != lineEnd {
		return nil, fmt.Errorf("%w: bulk string does not end with CR LF", errReply)
	}
	return text[:size:size], nil
}
