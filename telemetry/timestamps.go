package telemetry

// maxBackwardSeconds is how far the wall clock may step back before the sequence follows it. With a larger value, the
// intervals after a clock correction are shown in the future for longer. With a smaller value, small steps of a time
// service would repeat timestamps, and the receivers would overwrite or reject the points.
const maxBackwardSeconds = 120

// TimestampSequence gives intervals their timestamps, in Unix seconds. It protects sinks from a wall clock that steps
// back: a receiver overwrites or rejects a point that is not newer than its last one, which shows as a gap in the
// graphs. After a small step, timestamps grow by one second per interval until the clock has caught up. A clock that is
// behind by more than maxBackwardSeconds has been corrected, so the sequence follows it.
type TimestampSequence struct {
	last   int64
	behind bool // the wall clock is behind last
}

// Next returns the timestamp of an interval that ends when the wall clock shows wall. It also returns whether the clock
// has stepped back since the previous interval.
func (s *TimestampSequence) Next(wall int64) (timestamp int64, steppedBack bool) {
	switch {
	case s.last == 0 || wall > s.last:
		s.last = wall
		s.behind = false
		return wall, false
	case s.last-wall > maxBackwardSeconds:
		s.last = wall
		s.behind = false
		return wall, true
	}
	s.last++
	steppedBack = !s.behind
	s.behind = true
	return s.last, steppedBack
}
