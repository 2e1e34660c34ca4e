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

const testTimestamp = 1_700_000_000

func plaintext(points []graphite.Point, prefix string, naming graphite.Naming, datagrams bool) [][]byte {
	return encode(graphite.NewPlaintext(prefix, naming, testTimestamp, datagrams), points)
}

func pickled(points []graphite.Point, prefix string, naming graphite.Naming) [][]byte {
	return encode(graphite.NewPickle(prefix, naming, testTimestamp), points)
}

func encode(w *graphite.Writer, points []graphite.Point) [][]byte {
	for _, point := range points {
		w.Add(point)
	}
	return w.Frames()
}

// decodeLines decodes plaintext frames with the parser of the fake receiver, which shares no code with the writer.
func decodeLines(t *testing.T, frames [][]byte) []fakes.Point {
	t.Helper()
	var points []fakes.Point
	for _, frame := range frames {
		for line := range strings.Lines(string(frame)) {
			point, err := fakes.ParseLine(strings.TrimSuffix(line, "\n"))
			if err != nil {
				t.Fatal(err)
			}
			points = append(points, point)
		}
	}
	return points
}

// decodeBatches decodes pickled frames and checks their lengths.
func decodeBatches(t *testing.T, frames [][]byte) []fakes.Point {
	t.Helper()
	var points []fakes.Point
	for _, frame := range frames {
		if int(binary.BigEndian.Uint32(frame)) != len(frame)-4 {
			t.Fatalf("length of a batch: got %d, want %d", binary.BigEndian.Uint32(frame), len(frame)-4)
		}
		batch, err := fakes.ParsePickle(frame[4:])
		if err != nil {
			t.Fatal(err)
		}
		points = append(points, batch...)
	}
	return points
}

// The parser of the fake receiver decodes what the writer encodes, in both formats and both namings.
func TestFormats(t *testing.T) {
	const hostile = "a.b;c=d e\nf\x00"
	tests := []struct {
		path           graphite.Path
		value          uint64
		dotted, tagged string
	}{
		{
			graphite.Path{Segments: []string{"taken"}}, 7,
			"p.n1.taken", "p.n1.taken",
		},
		{
			graphite.Path{Segments: []string{"all"}, Suffix: "served"}, math.MaxUint32,
			"p.n1.all.served", "p.n1.all.served",
		},
		{
			graphite.Path{Dimension: "class", Name: "lesson-read", Suffix: "served"}, 1 << 40,
			"p.n1.class.lesson-read.served", "p.n1.served;class=lesson-read",
		},
		{
			graphite.Path{Dimension: "volume", Name: "other", Verbatim: true, Suffix: "whole_us.p99"}, 0,
			"p.n1.volume.other.whole_us.p99", "p.n1.whole_us.p99;volume=other",
		},
		{
			graphite.Path{Dimension: "volume", Name: "other", Suffix: "whole_us.p99"}, 3,
			"p.n1.volume.%6Fther.whole_us.p99", "p.n1.whole_us.p99;volume=%6Fther",
		},
		{
			graphite.Path{Dimension: "volume", Name: hostile, Suffix: "busy"}, 4,
			"p.n1.volume.a%2Eb%3Bc%3Dd%20e%0Af%00.busy", "p.n1.busy;volume=a%2Eb%3Bc%3Dd%20e%0Af%00",
		},
	}
	var points []graphite.Point
	for _, test := range tests {
		points = append(points, graphite.Point{Path: test.path, Value: test.value})
	}
	for _, naming := range []graphite.Naming{graphite.Dotted, graphite.Tagged} {
		got := decodeLines(t, plaintext(points, "p.n1", naming, false))
		got = append(got, decodeBatches(t, pickled(points, "p.n1", naming))...)
		if len(got) != 2*len(tests) {
			t.Fatalf("got %d points, want %d", len(got), 2*len(tests))
		}
		for i, point := range got {
			test := tests[i%len(tests)]
			want := fakes.Point{Series: test.dotted, Timestamp: testTimestamp, Value: float64(test.value)}
			if naming == graphite.Tagged {
				want.Series = test.tagged
			}
			if point != want {
				t.Errorf("got %+v, want %+v", point, want)
			}
		}
	}
}

// Five thousand points of different lengths are written for datagrams. Each frame fits into a datagram and contains
// whole lines.
func TestFrames(t *testing.T) {
	var points []graphite.Point
	for i := range 5000 {
		path := graphite.Path{Dimension: "volume", Name: strings.Repeat("v", i%80), Suffix: "served"}
		points = append(points, graphite.Point{Path: path, Value: uint64(i)})
	}
	lines := 0
	for _, frame := range plaintext(points, "p", graphite.Dotted, true) {
		lines += bytes.Count(frame, []byte("\n"))
		if len(frame) > 1432 || frame[len(frame)-1] != '\n' {
			t.Fatalf("frame of %d bytes, want at most 1432 and whole lines", len(frame))
		}
	}
	if lines != len(points) {
		t.Errorf("got %d lines, want %d", lines, len(points))
	}
}
