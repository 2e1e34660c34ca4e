package broker

import "time"

// Micros is a point on the monotonic clock, or a span of it, in whole microseconds.
type Micros int64

// Second is one second.
const Second Micros = 1e6

// Duration is the span as package time counts it.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// MicrosOf cuts a duration down to whole microseconds.
func MicrosOf(d time.Duration) Micros { return Micros(d / time.Microsecond) }

// Clock counts whole microseconds of the monotonic clock. It does not start at zero, so that nodes which started
// shortly before this process have a start above 0 too.
type Clock struct{ start time.Time }

// clockStart is what a new Clock shows: one hour, longer than any slow start. If it were lower, a node that started
// before the broker would count as one that has been up for ever, and would get full load while it is still warming
// up.
const clockStart = 3600 * Second

// NewClock starts a clock.
func NewClock() *Clock { return &Clock{start: time.Now()} }

// Now reads the clock.
func (c *Clock) Now() Micros { return clockStart + MicrosOf(time.Since(c.start)) }

// FromUnixMilli turns a point of the system's clock, in Unix milliseconds, into one of this clock: 0 for long ago.
func (c *Clock) FromUnixMilli(unixMilli int64) Micros {
	if unixMilli <= 0 {
		return 0
	}
	return max(0, clockStart+Micros((unixMilli-c.start.UnixMilli())*1000))
}
