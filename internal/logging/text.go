package logging

import (
	"context"
	"log/slog"
	"strings"
)

// ToFunc returns a logger that calls write with each line as "message key=value ...". It is used by tests and by
// programs that link the core and have a logger of their own.
func ToFunc(write func(line string)) *slog.Logger {
	return slog.New(textHandler{write: write})
}

// textHandler formats lines as text and passes them to a function.
type textHandler struct {
	write func(string)
	attrs string // attributes of the logger, each preceded by a space
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

// WithGroup implements slog.Handler. It ignores the group.
func (h textHandler) WithGroup(string) slog.Handler {
	return h
}
