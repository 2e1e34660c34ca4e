package golden

import "testing"

// recorder is a test that counts its failures in place of failing.
type recorder struct {
	testing.TB
	failures int
}

func (r *recorder) Helper()               {}
func (r *recorder) Errorf(string, ...any) { r.failures++ }

type message struct {
	Name string `json:"name"`
}

// A field that is renamed, or that a reader drops, would break a process of another version: both must fail the test
// that compares with the golden file, and the bytes of the file must pass.
func TestDifferencesAreReported(t *testing.T) {
	for _, c := range []struct {
		name     string
		value    any
		decoded  any
		ending   string
		failures int
	}{
		{"as recorded", message{"a"}, &message{}, "\n", 0},
		{"another value", message{"b"}, &message{}, "\n", 1},
		{"without its ending", message{"a"}, &message{}, "", 2},
		{"a field renamed", struct {
			Title string `json:"title"`
		}{"a"}, &message{}, "\n", 1},
		{"a field that the reader drops", message{"a"}, &struct{}{}, "\n", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &recorder{TB: t}
			CheckJSON(r, "message.json", c.value, c.decoded, c.ending)
			if r.failures != c.failures {
				t.Errorf("%d failures, want %d", r.failures, c.failures)
			}
		})
	}
}
