package golden

import "testing"

// recorder is a testing.TB that counts failures instead of reporting them.
type recorder struct {
	testing.TB
	failures int
}

func (r *recorder) Helper()               {}
func (r *recorder) Errorf(string, ...any) { r.failures++ }

type message struct {
	Name string `json:"name"`
}

// A field that is renamed, or that the reader drops, would break processes of another version. Checks that CheckJSON
// reports such differences, and that it accepts a value with the same bytes as the golden file.
func TestDifferencesAreReported(t *testing.T) {
	for _, c := range []struct {
		name     string
		value    any
		decoded  any
		ending   string
		failures int
	}{
		{"same as recorded", message{"a"}, &message{}, "\n", 0},
		{"different value", message{"b"}, &message{}, "\n", 1},
		{"missing ending", message{"a"}, &message{}, "", 2},
		{"renamed field", struct {
			Title string `json:"title"`
		}{"a"}, &message{}, "\n", 1},
		{"field dropped by the reader", message{"a"}, &struct{}{}, "\n", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &recorder{TB: t}
			CheckJSON(r, "message.json", c.value, c.decoded, c.ending)
			if r.failures != c.failures {
				t.Errorf("got %d failures, want %d", r.failures, c.failures)
			}
		})
	}
}
