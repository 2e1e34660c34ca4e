package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strings"

	"junctionwharf/scheduler"
)

const (
	// maxLineBytes limits the length of an input line. A START line contains a whole settings document, so with a
	// smaller limit a large site could not start. Without a limit, an endless line would exhaust the memory.
	maxLineBytes = 64 << 20
	// readBufferBytes is the initial size of a Reader's buffer. A smaller buffer would have to grow more often.
	readBufferBytes = 64 << 10
	// maxListNumber is the highest number of an endpoint list. The protocol has 16 lists.
	maxListNumber = 15
	// maxListRows limits the number of rows that a LIST line may announce.
	maxListRows = 1 << 24
)

// Errors of malformed input that callers can distinguish.
var (
	// ErrTruncated reports that the input ended inside a batch.
	ErrTruncated = errors.New("input ends inside a batch")
	// ErrUnknownEvent reports a line whose first word is not an event of the protocol.
	ErrUnknownEvent = errors.New("unknown event")
)

// LineError is an error in one line of the input. Line counts from 1.
type LineError struct {
	Line int
	Err  error
}

func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the underlying error.
func (e *LineError) Unwrap() error { return e.Err }

// Start describes a new instance, which has no state other than its settings.
type Start struct {
	Seed     uint64 // seed of all random draws of the instance
	Settings scheduler.Settings
}

// Item is one event of a batch. Exactly one of Start, Killed and Event is set.
type Item struct {
	Line     int // number of the input line, for error messages
	Instance string
	Start    *Start
	Killed   bool // the instance was killed
	Event    scheduler.Event
}

// Batch contains all events of one point in simulated time.
type Batch struct {
	Now    scheduler.Time
	Number uint64
	Items  []Item
}

// Reader decodes batches from a stream.
type Reader struct {
	scanner *bufio.Scanner
	line    int // number of the last line read
	lists   map[int][]scheduler.Endpoint
}

// NewReader returns a Reader that decodes the input r.
func NewReader(r io.Reader) *Reader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, readBufferBytes), maxLineBytes)
	return &Reader{scanner: scanner, lists: map[int][]scheduler.Endpoint{}}
}

// Next returns the next batch. It returns io.EOF if the input ends between two batches. Any other error is a
// *LineError.
func (r *Reader) Next() (*Batch, error) {
	text, err := r.readLine()
	if err != nil {
		return nil, err
	}
	batch, err := r.readBatch(text)
	if errors.Is(err, io.EOF) {
		err = ErrTruncated
	}
	if err != nil {
		return nil, &LineError{Line: r.line, Err: err}
	}
	return batch, nil
}

// readLine returns the next line that is not empty.
func (r *Reader) readLine() (string, error) {
	for r.scanner.Scan() {
		r.line++
		if text := strings.TrimSuffix(r.scanner.Text(), "\r"); text != "" {
			return text, nil
		}
	}
	if err := r.scanner.Err(); err != nil {
		return "", &LineError{Line: r.line + 1, Err: err}
	}
	return "", io.EOF
}

// readBatch reads a batch whose first line is text.
func (r *Reader) readBatch(text string) (*Batch, error) {
	f := splitFields(text, batchStartFields)
	if f.word() != batchStart {
		return nil, fmt.Errorf("want FRAME, have %.40q", text)
	}
	batch := &Batch{}
	batch.Now = f.duration()
	batch.Number = f.unsigned(math.MaxUint64)
	if f.err != nil {
		return nil, f.err
	}
	for {
		text, err := r.readLine()
		if err != nil {
			return nil, err
		}
		if text == batchEnd {
			return batch, nil
		}
		if word, _, _ := strings.Cut(text, " "); word == listStart {
			if err := r.readList(text); err != nil {
				return nil, err
			}
			continue
		}
		item, err := r.parseItem(text)
		if err != nil {
			return nil, err
		}
		batch.Items = append(batch.Items, *item)
	}
}

// readList reads the rows of an endpoint list and stores the list under its number.
func (r *Reader) readList(text string) error {
	f := splitFields(text, listStartFields)
	f.word()
	number := f.unsigned(maxListNumber)
	rows := f.unsigned(maxListRows)
	if f.err != nil {
		return fmt.Errorf("LIST: %w", f.err)
	}
	var endpoints []scheduler.Endpoint
	for range rows {
		text, err := r.readLine()
		if err != nil {
			return err
		}
		f := splitFields(text, endpointRowFields)
		if f.word() != endpointRow {
			return fmt.Errorf("LIST: want %d rows, have %.40q after %d", rows, text, len(endpoints))
		}
		endpoints = append(endpoints, f.endpoint())
		if f.err != nil {
			return fmt.Errorf("LIST row: %w", f.err)
		}
	}
	r.lists[int(number)] = endpoints
	return nil
}
