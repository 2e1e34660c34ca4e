package logging

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	// sampleWindow is the period for which lines with the same message and level are counted. With a larger value, a
	// recurring fault is logged again later. With a smaller value, a repeated fault can fill the disk.
	sampleWindow = 10 * time.Second
	// maxLinesPerWindow is how many lines with the same message and level pass in a window.
	maxLinesPerWindow = 5
	// maxMessageKinds is the maximum number of message kinds in the table. If the table is full, it is cleared: all
	// kinds start a new window, and the numbers of lines that were left out are lost. A larger value takes more memory.
	// With a smaller value, more lines pass.
	maxMessageKinds = 256
	// leftOutKey is the key of the number of lines of the same kind that were left out in the previous window.
	leftOutKey = "left_out"
)

// Sample returns a handler that passes only a few lines with the same message and level in each window. If lines were
// left out, the first line of the next window says how many. Lines of level error are sampled too.
func Sample(handler slog.Handler, now func() time.Time) slog.Handler {
	return &samplingHandler{Handler: handler, sampler: &sampler{now: now, windows: map[messageKind]*window{}}}
}

// samplingHandler passes the lines that its sampler accepts on to another handler.
type samplingHandler struct {
	slog.Handler
	sampler *sampler
}

// Handle implements slog.Handler.
func (h *samplingHandler) Handle(ctx context.Context, record slog.Record) error {
	pass, leftOut := h.sampler.sample(messageKind{level: record.Level, message: record.Message})
	if !pass {
		return nil
	}
	if leftOut > 0 {
		record = record.Clone()
		record.AddAttrs(slog.Int(leftOutKey, leftOut))
	}
	return h.Handler.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h *samplingHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &samplingHandler{Handler: h.Handler.WithAttrs(attrs), sampler: h.sampler}
}

// WithGroup implements slog.Handler.
func (h *samplingHandler) WithGroup(name string) slog.Handler {
	return &samplingHandler{Handler: h.Handler.WithGroup(name), sampler: h.sampler}
}

// Unsampled returns a logger that writes each line to where log writes its lines. It is meant for lines that only a
// command of an operator causes: each command must be answered in the log.
func Unsampled(log *slog.Logger) *slog.Logger {
	if handler, is := log.Handler().(*samplingHandler); is {
		return slog.New(handler.Handler)
	}
	return log
}

// messageKind identifies the lines that are sampled together.
type messageKind struct {
	level   slog.Level
	message string
}

// window counts the lines of one kind since it began.
type window struct {
	began   time.Time
	lines   int
	leftOut int
}

// sampler counts lines by kind. A handler and all handlers derived from it share one sampler.
type sampler struct {
	now func() time.Time

	mu      sync.Mutex
	windows map[messageKind]*window
}

// sample counts a line. It reports whether the line passes, and, for the first line
// of a window, how many lines were left out in the previous window.
func (s *sampler) sample(kind messageKind) (pass bool, leftOut int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	current := s.windowOf(kind, now)
	if now.Sub(current.began) >= sampleWindow {
		leftOut = current.leftOut
		*current = window{began: now}
	}
	if current.lines >= maxLinesPerWindow {
		current.leftOut++
		return false, 0
	}
	current.lines++
	return true, leftOut
}

// windowOf returns the window of a kind. If the kind has none, a new window begins at now. The caller must hold s.mu.
func (s *sampler) windowOf(kind messageKind, now time.Time) *window {
	if current := s.windows[kind]; current != nil {
		return current
	}
	if len(s.windows) >= maxMessageKinds {
		clear(s.windows)
	}
	began := &window{began: now}
	s.windows[kind] = began
	return began
}
