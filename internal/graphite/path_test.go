package graphite_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"junctionwharf/internal/fakes"
	"junctionwharf/internal/graphite"
)

func TestCheckPrefix(t *testing.T) {
	for prefix, want := range map[string]error{
		"a.b-c_d": nil,
		"":        graphite.ErrEmptySegment,
		"a..b":    graphite.ErrEmptySegment,
		"a b":     graphite.ErrBadCharacters,
		"a;b":     graphite.ErrBadCharacters,
		"a\n":     graphite.ErrBadCharacters,
	} {
		if err := graphite.CheckPrefix(prefix); !errors.Is(err, want) {
			t.Errorf("CheckPrefix(%q): got %v, want %v", prefix, err, want)
		}
	}
}

// No name breaks a line or a path, and no two different names give the same path.
func FuzzNames(f *testing.F) {
	names := []string{"", "other", "lesson-read", "a.b", "a\nb 1 2", ";x=y", "%6Fther", "ü\xff", "~x", "none"}
	for _, name := range names {
		f.Add(name, "other")
	}
	f.Fuzz(func(t *testing.T, a, b string) {
		if max(len(a), len(b)) > 200 {
			return
		}
		frameOfA := checkName(t, a)
		frameOfB := checkName(t, b)
		if a != b && bytes.Equal(frameOfA, frameOfB) {
			t.Fatalf("%q and %q both give %q", a, b, frameOfA)
		}
	})
}

// checkName checks that a point with this name is read back as one point in both formats and both namings. It returns
// the plaintext line.
func checkName(t *testing.T, name string) (frame []byte) {
	t.Helper()
	for _, naming := range []graphite.Naming{graphite.Dotted, graphite.Tagged} {
		path := graphite.Path{Dimension: "volume", Name: name, Suffix: "served"}
		points := []graphite.Point{{Path: path, Value: 1}}
		frame = plaintext(points, "p", naming, false)[0]
		if _, err := fakes.ParseLine(strings.TrimSuffix(string(frame), "\n")); err != nil {
			t.Fatal(err)
		}
		if bytes.Count(frame, []byte("\n")) != 1 {
			t.Fatalf("%q gives %q, want one line", name, frame)
		}
		batch, err := fakes.ParsePickle(pickled(points, "p", naming)[0][4:])
		if err != nil || len(batch) != 1 {
			t.Fatalf("pickled %q: got %v, %v, want one point", name, batch, err)
		}
	}
	return frame
}
