package telemetry

import "testing"

// The wall clock steps back by 20 s, and the timestamps continue to grow. Then the clock steps back by minutes, and the
// timestamps follow it. Each step back is reported once.
func TestTimestampSequence(t *testing.T) {
	var s TimestampSequence
	for _, test := range []struct {
		wall, want  int64
		steppedBack bool
	}{
		{1000, 1000, false},
		{1010, 1010, false},
		{990, 1011, true},
		{1000, 1012, false},
		{1020, 1020, false},
		{500, 500, true},
		{510, 510, false},
	} {
		got, steppedBack := s.Next(test.wall)
		if got != test.want || steppedBack != test.steppedBack {
			t.Errorf("at %d: got %d, %v, want %d, %v", test.wall, got, steppedBack, test.want, test.steppedBack)
		}
	}
}
