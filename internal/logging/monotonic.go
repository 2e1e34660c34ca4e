package logging

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/sys/unix"
)

// monotonicKey is the machine's monotonic clock on a line, in microseconds.
const monotonicKey = "mono_us"

// monotonicHandler adds the machine's monotonic clock to each line: by it the lines of all its processes stand in one
// order, whatever happens to the system's clock.
type monotonicHandler struct {
	slog.Handler
}

// Handle implements slog.Handler.
func (h monotonicHandler) Handle(ctx context.Context, record slog.Record) error {
	var clock unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &clock) == nil {
		record.AddAttrs(slog.Int64(monotonicKey, clock.Nano()/int64(time.Microsecond)))
	}
	return h.Handler.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h monotonicHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return monotonicHandler{h.Handler.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h monotonicHandler) WithGroup(name string) slog.Handler {
	return monotonicHandler{h.Handler.WithGroup(name)}
}
