package telemetry

// Stamps gives intervals their times on the wall clock, in seconds. It guards sinks against a clock that steps back: a
// receiver overwrites or refuses what is not newer than what it has. Small steps are waited out, one second an interval;
// a clock that stays further behind than that is believed, since it is then the right one.
type Stamps struct{ last int64 }

// stepBelieved is how far back the clock may step before it is followed, in seconds.
const stepBelieved = 120

// Next returns the time of an interval that ends now, and whether the clock had stepped back.
func (s *Stamps) Next(wall int64) (stamp int64, back bool) {
	switch {
	case s.last == 0 || wall > s.last:
		s.last = wall
		return wall, false
	case s.last-wall > stepBelieved:
		s.last = wall
		return wall, true
	}
	s.last++
	return s.last, true
}
