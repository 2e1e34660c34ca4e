package logging

import (
	"bytes"
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// A JSON line has its keys and values whatever stands in them.
func TestJSONFormat(t *testing.T) {
	var output bytes.Buffer
	log, err := New(&output, Options{Name: "n1", Format: formatJSON})
	if err != nil {
		t.Fatal(err)
	}
	const reason = "a \"quoted\"\nreason"
	log.Debug("hidden")
	log.Warn("sink lost", "sink", "graphite", "reason", reason)
	var line map[string]any
	if err := json.Unmarshal(output.Bytes(), &line); err != nil {
		t.Fatalf("%s: %v", output.String(), err)
	}
	if line["msg"] != "sink lost" || line["broker"] != "n1" || line["reason"] != reason {
		t.Errorf("%s", output.String())
	}
	if _, hasClock := line["mono_us"].(float64); !hasClock {
		t.Errorf("no monotonic clock in %s", output.String())
	}
}

// A human line is one line, without colours in a file.
func TestHumanFormat(t *testing.T) {
	var output bytes.Buffer
	log, err := New(&output, Options{Name: "n1", Level: slog.LevelWarn})
	if err != nil {
		t.Fatal(err)
	}
	log.Info("hidden")
	log.Warn("sink lost", "reason", "two\nlines")
	text := output.String()
	if strings.Count(text, "\n") != 1 || strings.Contains(text, "\x1b") {
		t.Errorf("%q", text)
	}
	if !strings.Contains(text, "WRN sink lost broker=n1") {
		t.Errorf("%q", text)
	}
}

// An unknown format is an error that names the known ones.
func TestUnknownFormat(t *testing.T) {
	_, err := New(&bytes.Buffer{}, Options{Format: "xml"})
	if !errors.Is(err, ErrFormat) || err.Error() != `"xml" is none of human, json` {
		t.Error(err)
	}
}

// A fault repeats itself a hundred times while other lines come. Its lines are sampled, others are not, and the next
// line says how many were left out.
func TestSample(t *testing.T) {
	now := time.Unix(1000, 0)
	var lines []string
	handler := ToFunc(func(line string) { lines = append(lines, line) }).Handler()
	log := slog.New(Sample(handler, func() time.Time { return now })).With("broker", "n1")
	for i := range 100 {
		log.Warn("again", "i", i)
	}
	log.Error("again")
	log.Warn("other")
	now = now.Add(sampleWindow)
	log.Warn("again", "i", 100)
	if len(lines) != maxLinesPerWindow+3 {
		t.Fatalf("%q", lines)
	}
	if first := lines[0]; first != "again broker=n1 i=0" {
		t.Errorf("%q", first)
	}
	if last := lines[len(lines)-1]; last != "again broker=n1 i=100 left_out=95" {
		t.Errorf("%q", last)
	}
}

// More messages than the sampler tells apart do not make its table grow.
func TestSampleTableIsBounded(t *testing.T) {
	handler, isSampling := Sample(slog.DiscardHandler, time.Now).(*samplingHandler)
	if !isSampling {
		t.Fatal("no sampling handler")
	}
	for i := range 3 * maxMessageKinds {
		handler.sampler.sample(messageKind{message: strings.Repeat("x", i)})
	}
	if n := len(handler.sampler.windows); n > maxMessageKinds {
		t.Errorf("%d kinds are held", n)
	}
}
