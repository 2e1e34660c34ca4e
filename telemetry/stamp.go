package telemetry

// TimestampSequence gives intervals their times on the wall clock, in seconds. It guards sinks against a clock that steps back: a
// receiver overwrites or refuses what is not newer than what it has. Small steps are waited out, one second an interval;
// a clock that stays further behind than that is believed, since it is then the right one.
type TimestampSequence struct {
	last   int64
	behind bool // the clock is behind the last time
}

// stepBelieved is how far back the clock may step before it is followed, in seconds.
const stepBelieved = 120

// Next returns the time of an interval that ends now, and whether the clock has stepped back since the one before.
func (s *TimestampSequence) Next(wall int64) (stamp int64, back bool) {
	switch {
	case s.last == 0 || wall > s.last:
		s.last, s.behind = wall, false
		return wall, false
	case s.last-wall > stepBelieved:
		s.last, s.behind = wall, false
		return wall, true
	}
	s.last++
	back, s.behind = !s.behind, true
	return s.last, back
}
