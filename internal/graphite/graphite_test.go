package graphite_test

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"

	"junctionwharf/internal/fakes"
	"junctionwharf/internal/graphite"
)

func plaintext(points []graphite.Point, prefix string, naming graphite.Naming, datagrams bool) [][]byte {
	return words(graphite.NewPlaintext(prefix, naming, 1_700_000_000, datagrams), points)
}

func pickled(points []graphite.Point, prefix string, naming graphite.Naming) [][]byte {
	return words(graphite.NewPickle(prefix, naming, 1_700_000_000), points)
}

func words(w *graphite.Writer, points []graphite.Point) [][]byte {
	for _, p := range points {
		w.Add(p)
	}
	return w.Frames()
}

// The stand-in, whose code is its own, reads back what was written.
func TestFormats(t *testing.T) {
	points := []graphite.Point{
		{Path: graphite.Path{Words: []string{"taken"}}, Value: 7},
		{Path: graphite.Path{Words: []string{"all"}, Last: "served"}, Value: math.MaxUint32},
		{Path: graphite.Path{Tag: "class", Name: "lesson-read", Last: "served"}, Value: 1 << 40},
		{Path: graphite.Path{Tag: "volume", Name: "other", Plain: true, Last: "whole_us.p99"}, Value: 0},
		{Path: graphite.Path{Tag: "volume", Name: "other", Last: "whole_us.p99"}, Value: 3},
		{Path: graphite.Path{Tag: "volume", Name: "a.b;c=d e\nf\x00", Last: "busy"}, Value: 4},
	}
	want := map[graphite.Naming][]string{
		graphite.Dotted: {"p.n1.taken", "p.n1.all.served", "p.n1.class.lesson-read.served", "p.n1.volume.other.whole_us.p99", "p.n1.volume.%6Fther.whole_us.p99",
			"p.n1.volume.a%2Eb%3Bc%3Dd%20e%0Af%00.busy"},
		graphite.Tagged: {"p.n1.taken", "p.n1.all.served", "p.n1.served;class=lesson-read", "p.n1.whole_us.p99;volume=other", "p.n1.whole_us.p99;volume=%6Fther",
			"p.n1.busy;volume=a%2Eb%3Bc%3Dd%20e%0Af%00"},
	}
	for naming, paths := range want {
		var got []fakes.Point
		for _, frame := range plaintext(points, "p.n1", naming, false) {
			for line := range strings.Lines(string(frame)) {
				p, err := fakes.ParseLine(strings.TrimSuffix(line, "\n"))
				if err != nil {
					t.Fatal(err)
				}
				got = append(got, p)
			}
		}
		for _, frame := range pickled(points, "p.n1", naming) {
			if int(binary.BigEndian.Uint32(frame)) != len(frame)-4 {
				t.Fatal("the length is wrong")
			}
			more, err := fakes.ParsePickle(frame[4:])
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, more...)
		}
		if len(got) != 2*len(points) {
			t.Fatalf("%d points of %d", len(got), 2*len(points))
		}
		for i, p := range got {
			if i := i % len(points); p != (fakes.Point{Series: paths[i], Timestamp: 1_700_000_000, Value: float64(points[i].Value)}) {
				t.Errorf("%+v, want %s %d", p, paths[i], points[i].Value)
			}
		}
	}
}

// Frames keep to their bounds, and hold whole lines.
func TestFrames(t *testing.T) {
	var points []graphite.Point
	for i := range 5000 {
		points = append(points, graphite.Point{Path: graphite.Path{Tag: "volume", Name: strings.Repeat("v", i%80), Last: "served"}, Value: uint64(i)})
	}
	lines := 0
	for _, frame := range plaintext(points, "p", graphite.Dotted, true) {
		lines += bytes.Count(frame, []byte("\n"))
		if len(frame) > 1432 || frame[len(frame)-1] != '\n' {
			t.Fatalf("a frame of %d bytes", len(frame))
		}
	}
	if lines != len(points) {
		t.Errorf("%d lines of %d", lines, len(points))
	}
}

func TestCheckPrefix(t *testing.T) {
	for prefix, sound := range map[string]bool{"a.b-c_d": true, "": false, "a..b": false, "a b": false, "a;b": false, "a\n": false} {
		if err := graphite.CheckPrefix(prefix); (err == nil) != sound {
			t.Errorf("%q: %v", prefix, err)
		}
	}
}

// No name breaks a line or a path, or is taken for another.
func FuzzNames(f *testing.F) {
	for _, name := range []string{"", "other", "lesson-read", "a.b", "a\nb 1 2", ";x=y", "%6Fther", "ü\xff", "~x", "none"} {
		f.Add(name, "other")
	}
	f.Fuzz(func(t *testing.T, a, b string) {
		if max(len(a), len(b)) > 200 {
			return
		}
		var frames [2][]byte
		for i, name := range []string{a, b} {
			for _, naming := range []graphite.Naming{graphite.Dotted, graphite.Tagged} {
				points := []graphite.Point{{Path: graphite.Path{Tag: "volume", Name: name, Last: "served"}, Value: 1}}
				frames[i] = plaintext(points, "p", naming, false)[0]
				if _, err := fakes.ParseLine(strings.TrimSuffix(string(frames[i]), "\n")); err != nil {
					t.Fatal(err)
				}
				if bytes.Count(frames[i], []byte("\n")) != 1 {
					t.Fatalf("%q makes %q", name, frames[i])
				}
				if got, err := fakes.ParsePickle(pickled(points, "p", naming)[0][4:]); err != nil || len(got) != 1 {
					t.Fatal(got, err)
				}
			}
		}
		if a != b && bytes.Equal(frames[0], frames[1]) {
			t.Fatalf("%q and %q are both %q", a, b, frames[0])
		}
	})
}
