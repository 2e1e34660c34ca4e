package logging

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"
)

func TestFormats(t *testing.T) {
	var b bytes.Buffer
	l, err := New(&b, Options{Name: "n1", Format: "json"})
	if err != nil {
		t.Fatal(err)
	}
	l.Debug("hidden")
	l.Warn("sink lost", "sink", "graphite", "reason", "a \"quoted\"\nreason")
	var line map[string]any
	if err := json.Unmarshal(b.Bytes(), &line); err != nil || line["msg"] != "sink lost" || line["broker"] != "n1" || line["reason"] != "a \"quoted\"\nreason" {
		t.Errorf("%s: %v", b.String(), err)
	}
	b.Reset()
	if l, err = New(&b, Options{Name: "n1", Level: slog.LevelWarn}); err != nil {
		t.Fatal(err)
	}
	l.Info("hidden")
	l.Warn("sink lost", "reason", "two\nlines")
	if text := b.String(); strings.Count(text, "\n") != 1 || !strings.Contains(text, "WRN sink lost broker=n1") || strings.Contains(text, "\x1b") {
		t.Errorf("%q", text)
	}
	if _, err := New(&b, Options{Format: "xml"}); err == nil {
		t.Error("a format that there is not is taken")
	}
}

// Lines that repeat are sampled, others are not, and what was left out is said.
func TestSample(t *testing.T) {
	now := time.Unix(1000, 0)
	var lines []string
	l := slog.New(Sample(ToFunc(func(line string) { lines = append(lines, line) }).Handler(), func() time.Time { return now })).With("broker", "n1")
	for i := range 100 {
		l.Warn("again", "i", i)
	}
	l.Error("again")
	l.Warn("other")
	now = now.Add(sampleWindow)
	l.Warn("again", "i", 100)
	if len(lines) != sampleLines+3 || lines[0] != "again broker=n1 i=0" || lines[sampleLines+2] != "again broker=n1 i=100 left_out=95" {
		t.Errorf("%q", lines)
	}
	for i := range 3 * sampleKinds {
		l.Info(strings.Repeat("x", i%700))
	}
}
