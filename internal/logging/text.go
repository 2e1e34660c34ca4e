package logging

import (
	"context"
	"log/slog"
	"strings"
)

// ToFunc returns a logger that hands each line to a function, as "message key=value ...": for tests, and for programs
// that link the core and log in their own way.
func ToFunc(write func(line string)) *slog.Logger {
	return slog.New(textHandler{write: write})
}

// textHandler hands on lines as text.
type textHandler struct {
	write func(string)
	attrs string // of the logger, each after a space
}

// Enabled implements slog.Handler.
func (h textHandler) Enabled(context.Context, slog.Level) bool {
	return true
}

// Handle implements slog.Handler.
func (h textHandler) Handle(_ context.Context, record slog.Record) error {
	var line strings.Builder
	line.WriteString(record.Message)
	line.WriteString(h.attrs)
	record.Attrs(func(attr slog.Attr) bool {
		line.WriteString(" " + attr.String())
		return true
	})
	h.write(line.String())
	return nil
}

// WithAttrs implements slog.Handler.
func (h textHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	for _, attr := range attrs {
		h.attrs += " " + attr.String()
	}
	return h
}

// WithGroup implements slog.Handler; groups are not told apart.
func (h textHandler) WithGroup(string) slog.Handler {
	return h
}
