package telemetry

// maxBackwardSeconds is how far the wall clock may step back before it is followed. Higher, a corrected clock would
// show its intervals in the future for longer; lower, the small steps of a time service would repeat timestamps, and
// the receivers would overwrite or refuse the points.
const maxBackwardSeconds = 120

// TimestampSequence gives intervals their timestamps, in Unix seconds. It guards sinks against a wall clock that steps
// back: a receiver overwrites or refuses a point that is not newer than the one it has, which shows as a gap in the
// graphs. Small steps are waited out, with timestamps that grow by one second an interval; a clock that is further
// behind than maxBackwardSeconds is followed, since it is the corrected one.
type TimestampSequence struct {
	last   int64
	behind bool // the clock is behind last
}

// Next returns the timestamp of an interval that ends now, and whether the clock has stepped back since the one before.
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
