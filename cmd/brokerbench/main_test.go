package main

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"junctionwharf/internal/load"
	"junctionwharf/scheduler"
)

// The dashboard is JSON that Graphite's web application takes: a name, and graphs of three parts each.
func TestDashboard(t *testing.T) {
	var text bytes.Buffer
	if err := writeDashboard(&text, "a.b", "n1", 5); err != nil {
		t.Fatal(err)
	}
	var d struct {
		Name   string
		Graphs [][]any
	}
	if err := json.Unmarshal(text.Bytes(), &d); err != nil {
		t.Fatal(err)
	}
	if d.Name == "" || len(d.Graphs) < 10 || len(d.Graphs[0]) != 3 || !strings.Contains(text.String(), "a.b.n1.volume.*.units_milli),4,") {
		t.Errorf("%s", text.String())
	}
	if writeDashboard(&text, "a b", "*", 5) == nil || writeDashboard(&text, "a", "*", 0) == nil {
		t.Error("a bad prefix or number is taken")
	}
}

func TestMix(t *testing.T) {
	classes := []scheduler.Class{{Name: "read", Idempotency: scheduler.Idempotent}, {Name: "write", Idempotency: scheduler.NotIdempotent}}
	kinds, err := mixClasses(classes, "write=2,read=1")
	if err != nil || kinds[0].Share != 1 || kinds[1].Share != 2 || !kinds[1].Write || kinds[0].Write {
		t.Errorf("%+v, %v", kinds, err)
	}
	for _, mix := range []string{"read", "read=x", "read=-1", "other=1"} {
		if _, err := mixClasses(classes, mix); err == nil {
			t.Errorf("%q is taken", mix)
		}
	}
}

// What is written can be read again by HdrHistogram's own reader.
func TestResultFiles(t *testing.T) {
	h := hdrhistogram.New(1, 1e8, 3)
	_ = h.RecordValues(1500, 42)
	tally := &load.Stats{Latency: h}
	tally.Counts[load.Served] = 42
	r := &load.Result{Traffic: load.Traffic{Classes: []load.RequestClass{{Name: "read"}}, Plans: []string{"gold"}}, StartedAt: time.UnixMilli(1_700_000_000_000), All: tally,
		ByClass: []*load.Stats{tally}, ByPlan: []*load.Stats{tally}, LatencyBySecond: []*hdrhistogram.Histogram{h}}
	var text bytes.Buffer
	if err := writeHDR(&text, r); err != nil {
		t.Fatal(err)
	}
	back, err := hdrhistogram.NewHistogramLogReader(&text).NextIntervalHistogram()
	if err != nil || back.TotalCount() != 42 || back.ValueAtPercentile(50) != h.ValueAtPercentile(50) {
		t.Errorf("%+v, %v", back, err)
	}
	text.Reset()
	if err := writeJSON(&text, r); err != nil || !strings.Contains(text.String(), `"p50_us": 1500`) {
		t.Errorf("%s, %v", text.String(), err)
	}
	text.Reset()
	if err := printResult(&text, r); err != nil || !strings.Contains(text.String(), "class read") {
		t.Errorf("%s, %v", text.String(), err)
	}
}
