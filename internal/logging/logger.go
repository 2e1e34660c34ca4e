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

// The formats of log lines.
const (
	formatHuman = "human"
	formatJSON  = "json"
)

// humanTimeFormat includes microseconds, which show the order of lines within a burst.
const humanTimeFormat = "2006/01/02 15:04:05.000000"

// brokerKey is the key of the broker's name, which is on every line.
const brokerKey = "broker"

// Formats lists the formats of log lines.
var Formats = []string{formatHuman, formatJSON}

// ErrFormat reports a format that is not in Formats.
var ErrFormat = errors.New("unknown log format")

// formatError is an ErrFormat that names the unknown format.
type formatError struct{ format string }

// Error implements error.
func (e formatError) Error() string {
	return fmt.Sprintf("unknown log format %q, want one of %s", e.format, strings.Join(Formats, ", "))
}

// Is implements errors.Is.
func (e formatError) Is(target error) bool {
	return target == ErrFormat
}

// Options configures a logger.
type Options struct {
	Name             string     // the broker's name, on every line under the key "broker"
	Format           string     // one of Formats; empty means human
	Level            slog.Level // minimum level of the lines that are written
	Color            bool       // color human lines, for a terminal
	SamplingDisabled bool       // write all lines, even repeated ones, for a checker that reads them
}

// IsTerminal reports whether a file is a terminal. Colors and progress are written only to a terminal.
func IsTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// New returns a logger that writes to w. It returns ErrFormat if options.Format is unknown.
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

// Discard returns a logger that drops all lines.
func Discard() *slog.Logger {
	return slog.New(slog.DiscardHandler)
}
