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

// Checks that a JSON line can be decoded and contains its keys, even if a value contains quotes and line feeds.
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
		t.Errorf("wrong message, broker or reason in %s", output.String())
	}
	if _, hasClock := line["mono_us"].(float64); !hasClock {
		t.Errorf("line has no mono_us: %s", output.String())
	}
}

// Checks that a human line stays on one line and contains no color codes unless colors are enabled.
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
		t.Errorf("want one line without color codes, got %q", text)
	}
	if !strings.Contains(text, "WRN sink lost broker=n1") {
		t.Errorf("line lacks its level, message or broker: %q", text)
	}
}

// Checks that the error for an unknown format names the known formats.
func TestUnknownFormat(t *testing.T) {
	_, err := New(&bytes.Buffer{}, Options{Format: "xml"})
	if !errors.Is(err, ErrFormat) || err.Error() != `unknown log format "xml", want one of human, json` {
		t.Errorf("unexpected error: %v", err)
	}
}

// A fault is logged a hundred times along with other lines. Checks that only its lines are sampled, and that its next
// line after the window says how many were left out.
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
		t.Fatalf("got lines %q, want %d", lines, maxLinesPerWindow+3)
	}
	if first := lines[0]; first != "again broker=n1 i=0" {
		t.Errorf("wrong first line: %q", first)
	}
	if last := lines[len(lines)-1]; last != "again broker=n1 i=100 left_out=95" {
		t.Errorf("wrong last line: %q", last)
	}
}

// Checks that the sampler's table does not grow beyond its limit if there are more kinds of messages.
func TestSampleTableIsBounded(t *testing.T) {
	handler, isSampling := Sample(slog.DiscardHandler, time.Now).(*samplingHandler)
	if !isSampling {
		t.Fatal("Sample did not return a samplingHandler")
	}
	for i := range 3 * maxMessageKinds {
		handler.sampler.sample(messageKind{message: strings.Repeat("x", i)})
	}
	if n := len(handler.sampler.windows); n > maxMessageKinds {
		t.Errorf("table has %d kinds, want at most %d", n, maxMessageKinds)
	}
}
