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
	// maxLineBytes bounds one line of input. A START line holds a whole settings document; were the bound lower, a
	// large site could not start, and without one a line that never ends would take all memory.
	maxLineBytes = 64 << 20
	// readBufferBytes is what a Reader begins with. A smaller buffer only grows more often.
	readBufferBytes = 64 << 10
	// maxListNumber is the highest number of an endpoint list: the protocol has 16.
	maxListNumber = 15
	// maxListRows bounds the rows that a LIST line may announce.
	maxListRows = 1 << 24
)

// Errors of malformed input that a caller may tell apart.
var (
	// ErrTruncated says that the input ended inside a batch.
	ErrTruncated = errors.New("input ends inside a batch")
	// ErrUnknownEvent says that a line begins with a word that is no event.
	ErrUnknownEvent = errors.New("unknown event")
)

// LineError says in which line of the input a fault lies. Line counts from 1.
type LineError struct {
	Line int
	Err  error
}

func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the fault itself.
func (e *LineError) Unwrap() error { return e.Err }

// Start says that an instance begins with nothing but its settings.
type Start struct {
	Seed     uint64 // of all the instance's random draws
	Settings scheduler.Settings
}

// Item is one event of a batch. Exactly one of Start, Killed and Event is set.
type Item struct {
	Line     int // line of the input, for messages
	Instance string
	Start    *Start
	Killed   bool // the instance was killed
	Event    scheduler.Event
}

// Batch is all that happened at one point of the simulated clock.
type Batch struct {
	Now    scheduler.Time
	Number uint64
	Items  []Item
}

// Reader decodes batches.
type Reader struct {
	scanner *bufio.Scanner
	line    int // number of the line read last
	lists   map[int][]scheduler.Endpoint
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, readBufferBytes), maxLineBytes)
	return &Reader{scanner: scanner, lists: map[int][]scheduler.Endpoint{}}
}

// Next returns the next batch, or io.EOF at the end of the input between batches. Any other error is a *LineError.
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

// readBatch reads a batch of which the first line is text.
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

// readList reads the rows of an endpoint list and keeps them under the list's number.
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
