package broker

import "time"

// Micros is a time on the monotonic clock, or a duration, in whole microseconds.
type Micros int64

// Second is one second.
const Second Micros = 1e6

// Duration converts m to a time.Duration.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// MicrosOf converts a duration to microseconds, truncated toward zero.
func MicrosOf(d time.Duration) Micros { return Micros(d / time.Microsecond) }

// Clock counts whole microseconds of the monotonic clock. It does not start at zero, so that nodes that started shortly
// before this process also have a start time above 0.
type Clock struct{ start time.Time }

// clockStart is the initial time of a Clock: one hour, which is longer than any slow start. With a smaller value, a
// node that started before the broker could appear to have been running for a long time. The node would then get full
// load while it is still warming up.
const clockStart = 3600 * Second

// NewClock returns a Clock that starts now.
func NewClock() *Clock { return &Clock{start: time.Now()} }

// Now returns the current time.
func (c *Clock) Now() Micros { return clockStart + MicrosOf(time.Since(c.start)) }

// FromUnixMilli converts a system time in Unix milliseconds to a time of this clock. It returns 0 for 0, for negative
// values and for times more than clockStart before the clock's start.
func (c *Clock) FromUnixMilli(unixMilli int64) Micros {
	if unixMilli <= 0 {
		return 0
	}
	return max(0, clockStart+Micros((unixMilli-c.start.UnixMilli())*1000))
}
