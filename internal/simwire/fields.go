package simwire

import (
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"junctionwharf/scheduler"
)

// maxSigned limits the magnitude of a signed field, so that the value fits into a 32-bit int.
const maxSigned = 1 << 31

// fields reads the fields of a line in order and keeps the first error. Its methods return the zero value for an absent
// or malformed field, so that a caller can read the whole line and check err once.
type fields struct {
	parts []string
	next  int // index of the next field to read
	err   error
}

// splitFields splits a line into count fields. The last field extends to the end of the line, and only a JSON document
// may contain spaces.
func splitFields(text string, count int) *fields {
	f := &fields{parts: strings.SplitN(text, " ", count)}
	last := f.parts[len(f.parts)-1]
	tooMany := !strings.HasPrefix(last, "{") && strings.Contains(last, " ")
	if len(f.parts) != count || tooMany {
		f.fail("want %d fields, have %d", count, len(strings.Fields(text)))
	}
	return f
}

// fail records an error unless an earlier error is recorded.
func (f *fields) fail(format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf(format, args...)
	}
}

// word returns the next field, or an empty string if the value is absent.
func (f *fields) word() string {
	if f.next >= len(f.parts) {
		return ""
	}
	word := f.parts[f.next]
	f.next++
	if word == absent {
		return ""
	}
	return word
}

// unsigned reads a whole number from 0 to limit.
func (f *fields) unsigned(limit uint64) uint64 {
	word := f.word()
	if word == "" || f.err != nil {
		return 0
	}
	value, err := strconv.ParseUint(word, 10, 64)
	if err != nil || value > limit {
		f.fail("%q is not a whole number from 0 to %d", word, limit)
	}
	return value
}

// signed reads a whole number, which may be written as a float.
func (f *fields) signed() int {
	word := f.word()
	if word == "" || f.err != nil {
		return 0
	}
	value, err := strconv.ParseFloat(word, 64)
	if err != nil || math.Abs(value) > maxSigned || value != math.Trunc(value) {
		f.fail("%q is not a whole number", word)
	}
	return int(value)
}

// number reads a finite number.
func (f *fields) number() float64 {
	word := f.word()
	if word == "" || f.err != nil {
		return 0
	}
	value, err := parseFinite(word)
	if err != nil {
		f.fail("%q is not a finite number", word)
	}
	return value
}

// parseFinite parses a number and rejects infinity and NaN, which would corrupt the scheduler's sums permanently.
func parseFinite(word string) (float64, error) {
	value, err := strconv.ParseFloat(word, 64)
	if err == nil && (math.IsNaN(value) || math.IsInf(value, 0)) {
		err = strconv.ErrRange
	}
	return value, err
}

// duration reads a time or duration in microseconds.
func (f *fields) duration() time.Duration {
	return time.Duration(f.unsigned(math.MaxInt64/1000)) * time.Microsecond
}

// flag reads 0 or 1. An absent flag is false.
func (f *fields) flag() bool {
	word := f.word()
	if word != flagFalse && word != flagTrue && word != "" {
		f.fail("%q is neither 0 nor 1", word)
	}
	return word == flagTrue
}

// bytes reads hexadecimal bytes.
func (f *fields) bytes() []byte {
	data, err := hex.DecodeString(f.word())
	if err != nil {
		f.fail("decode bytes: %w", err)
	}
	return data
}

// loadReport reads a node's load report. Values that the report does not contain stay unknown.
func (f *fields) loadReport() scheduler.LoadReport {
	load := scheduler.NoLoadReport
	text := f.word()
	if text == "" {
		return load
	}
	for pair := range strings.SplitSeq(text, ",") {
		key, word, _ := strings.Cut(pair, ":")
		value, err := parseFinite(word)
		if err != nil {
			f.fail("%q is not a load value", pair)
			return load
		}
		setLoad(&load, key, value)
	}
	return load
}

func setLoad(load *scheduler.LoadReport, key string, value float64) {
	switch key {
	case loadInFlight:
		load.InFlight = value
	case loadQueued:
		load.Queued = value
	case loadUtilization:
		load.Utilization = value
	case loadServiceTime:
		load.ServiceTime = time.Duration(value * float64(time.Millisecond))
	case loadServedRate:
		load.ServedRate = value
	case loadErrorRate:
		load.ErrorRate = value
	}
}

// lookUp reads a word and returns its value in table.
func lookUp[T any](f *fields, table map[string]T) T {
	word := f.word()
	term, known := table[word]
	if !known {
		f.fail("unknown word %.40q", word)
	}
	return term
}
