package logging

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"time"

	"github.com/lmittmann/tint"
)

// The ways that lines are written.
const (
	formatHuman = "human"
	formatJSON  = "json"
)

// humanTimeFormat has microseconds, which tell the order of lines in one burst.
const humanTimeFormat = "2006/01/02 15:04:05.000000"

// brokerKey is the name of the broker on every line.
const brokerKey = "broker"

// Formats are the ways that lines are written.
var Formats = []string{formatHuman, formatJSON}

// ErrFormat is of a format that is none of Formats.
var ErrFormat = errors.New("unknown format")

// formatError names the format.
type formatError struct{ format string }

// Error implements error.
func (e formatError) Error() string {
	return fmt.Sprintf("%q is none of %s", e.format, strings.Join(Formats, ", "))
}

// Is implements errors.Is.
func (e formatError) Is(target error) bool {
	return target == ErrFormat
}

// Options of a logger.
type Options struct {
	Name             string     // the broker's, on every line as "broker"
	Format           string     // one of Formats; empty: human
	Level            slog.Level // what is below is left out
	Color            bool       // of human lines, for a terminal
	SamplingDisabled bool       // no line is left out, however often it comes: for a checker that reads them
}

// IsTerminal reports whether a file is a terminal: colour and progress are shown there alone.
func IsTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// New returns a logger. ErrFormat is of a format that there is not.
func New(w io.Writer, options Options) (*slog.Logger, error) {
	handler, err := newHandler(w, options)
	if err != nil {
		return nil, err
	}
	if !options.SamplingDisabled {
		handler = Sample(handler, time.Now)
	}
	return slog.New(handler).With(brokerKey, options.Name), nil
}

func newHandler(w io.Writer, options Options) (slog.Handler, error) {
	switch options.Format {
	case formatJSON:
		return monotonicHandler{slog.NewJSONHandler(w, &slog.HandlerOptions{Level: options.Level})}, nil
	case "", formatHuman:
		return tint.NewTextHandler(w, &tint.Options{
			Level:      options.Level,
			TimeFormat: humanTimeFormat,
			NoColor:    !options.Color,
		}), nil
	}
	return nil, formatError{options.Format}
}

// Discard drops all lines.
func Discard() *slog.Logger {
	return slog.New(slog.DiscardHandler)
}
