package logging

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/sys/unix"
)

// monotonicKey is the key of the machine's monotonic clock on a line, in microseconds.
const monotonicKey = "mono_us"

// monotonicHandler adds the time of the machine's monotonic clock to each line. It orders the lines of all processes of
// the machine, even if the system clock is changed.
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
