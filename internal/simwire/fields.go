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

// maxSigned bounds the magnitude of a signed field, so that it fits an int of 32 bits.
const maxSigned = 1 << 31

// fields takes the parts of a line one by one and keeps the first error. Its methods return the zero value for an
// absent or malformed field, so a caller reads a whole line and looks at err once.
type fields struct {
	parts []string
	next  int // index of the part to take next
	err   error
}

// splitFields cuts a line into count parts, the last of which runs to the end of the line. Only a JSON document may
// hold spaces.
func splitFields(text string, count int) *fields {
	f := &fields{parts: strings.SplitN(text, " ", count)}
	last := f.parts[len(f.parts)-1]
	tooMany := !strings.HasPrefix(last, "{") && strings.Contains(last, " ")
	if len(f.parts) != count || tooMany {
		f.fail("want %d fields, have %d", count, len(strings.Fields(text)))
	}
	return f
}

// fail keeps an error unless there is an earlier one.
func (f *fields) fail(format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf(format, args...)
	}
}

// word takes the next part; it is empty where the value is absent.
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

// unsigned takes a whole number up to limit.
func (f *fields) unsigned(limit uint64) uint64 {
	word := f.word()
	if word == "" || f.err != nil {
		return 0
	}
	value, err := strconv.ParseUint(word, 10, 64)
	if err != nil || value > limit {
		f.fail("%q is no whole number up to %d", word, limit)
	}
	return value
}

// signed takes a whole number that may be written as a float.
func (f *fields) signed() int {
	word := f.word()
	if word == "" || f.err != nil {
		return 0
	}
	value, err := strconv.ParseFloat(word, 64)
	if err != nil || math.Abs(value) > maxSigned || value != math.Trunc(value) {
		f.fail("%q is no whole number", word)
	}
	return int(value)
}

// number takes a finite number.
func (f *fields) number() float64 {
	word := f.word()
	if word == "" || f.err != nil {
		return 0
	}
	value, err := parseFinite(word)
	if err != nil {
		f.fail("%q is no number", word)
	}
	return value
}

// parseFinite reads a number that is neither infinite nor NaN: with one of these the scheduler's sums would never
// recover.
func parseFinite(word string) (float64, error) {
	value, err := strconv.ParseFloat(word, 64)
	if err == nil && (math.IsNaN(value) || math.IsInf(value, 0)) {
		err = strconv.ErrRange
	}
	return value, err
}

// duration takes a time or duration in microseconds.
func (f *fields) duration() time.Duration {
	return time.Duration(f.unsigned(math.MaxInt64/1000)) * time.Microsecond
}

// flag takes 0 or 1; an absent flag is false.
func (f *fields) flag() bool {
	word := f.word()
	if word != flagFalse && word != flagTrue && word != "" {
		f.fail("%q is neither 0 nor 1", word)
	}
	return word == flagTrue
}

// bytes takes hexadecimal bytes.
func (f *fields) bytes() []byte {
	data, err := hex.DecodeString(f.word())
	if err != nil {
		f.fail("bytes: %w", err)
	}
	return data
}

// loadReport takes a node's load report; what it does not hold stays unknown.
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
			f.fail("%q is no load value", pair)
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

// lookUp takes a word and returns its term in table.
func lookUp[T any](f *fields, table map[string]T) T {
	word := f.word()
	term, known := table[word]
	if !known {
		f.fail("unknown word %.40q", word)
	}
	return term
}
