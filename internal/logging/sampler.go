package logging

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	// sampleWindow is the time in which lines of one message are counted. Higher, a fault that comes back is shown
	// later; lower, one that repeats itself fills the disk.
	sampleWindow = 10 * time.Second
	// maxLinesPerWindow is how many lines of one message and level pass in a window.
	maxLinesPerWindow = 5
	// maxMessageKinds bounds the messages that are told apart; beyond it all begin a new window. Higher, the table
	// takes more memory; lower, more lines pass.
	maxMessageKinds = 256
	// leftOutKey is how many lines were left out, on the next one that passes.
	leftOutKey = "left_out"
)

// Sample lets through a few lines of one message and level in each window, and notes on the next how many were left
// out. Errors are sampled too.
func Sample(handler slog.Handler, now func() time.Time) slog.Handler {
	return &samplingHandler{Handler: handler, sampler: &sampler{now: now, windows: map[messageKind]*window{}}}
}

// samplingHandler passes on what its sampler lets through.
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

// messageKind is what lines of one kind have in common.
type messageKind struct {
	level   slog.Level
	message string
}

// window counts the lines of one kind.
type window struct {
	began   time.Time
	lines   int
	leftOut int
}

// sampler is shared by a handler and those derived from it.
type sampler struct {
	now func() time.Time

	mu      sync.Mutex
	windows map[messageKind]*window
}

// sample counts a line, and reports whether it passes and how many were left out before.
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

// windowOf returns the window of a kind, which begins now if there is none. The caller holds the lock.
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
