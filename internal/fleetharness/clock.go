package fleetharness

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time of the monotonic clock that all processes of the machine share.
func Now() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) != nil {
		return 0 // Linux always has this clock
	}
	return time.Duration(t.Nano())
}

// sleepFor waits for a span or until ctx is done.
func sleepFor(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
