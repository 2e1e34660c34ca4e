package main

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"junctionwharf/internal/load"
	"junctionwharf/scheduler"
)

var testClasses = []scheduler.Class{
	{Name: "read", Idempotency: scheduler.Idempotent},
	{Name: "write", Idempotency: scheduler.NotIdempotent},
}

func TestMixClasses(t *testing.T) {
	classes, err := mixClasses(testClasses, "write=2,read=1")
	if err != nil {
		t.Fatal(err)
	}
	read, write := classes[0], classes[1]
	if read.Share != 1 || read.Write || write.Share != 2 || !write.Write {
		t.Errorf("classes are %+v, want a share of 1 for reads and of 2 for writes", classes)
	}
}

func TestMixClassesRejectsInvalidShares(t *testing.T) {
	for _, mix := range []string{"read", "read=x", "read=-1", "other=1"} {
		t.Run(mix, func(t *testing.T) {
			if _, err := mixClasses(testClasses, mix); err == nil {
				t.Error("mix was accepted")
			}
		})
	}
}

// testResult returns the result of 42 requests that took 1.5 ms each.
func testResult() (*load.Result, *hdrhistogram.Histogram) {
	latency := hdrhistogram.New(1, 1e8, 3)
	_ = latency.RecordValues(1500, 42) // the value is in the histogram's range
	stats := &load.Stats{Latency: latency}
	stats.Counts[load.Served] = 42
	return &load.Result{
		Traffic:         load.Traffic{Classes: []load.RequestClass{{Name: "read"}}, Plans: []string{"gold"}},
		StartedAt:       time.UnixMilli(1_700_000_000_000),
		All:             stats,
		ByClass:         []*load.Stats{stats},
		ByPlan:          []*load.Stats{stats},
		LatencyBySecond: []*hdrhistogram.Histogram{latency},
	}, latency
}

// The reader of the HdrHistogram library can read the written log.
func TestWriteHDR(t *testing.T) {
	result, latency := testResult()
	var text bytes.Buffer
	if err := writeHDR(&text, result); err != nil {
		t.Fatal(err)
	}
	read, err := hdrhistogram.NewHistogramLogReader(&text).NextIntervalHistogram()
	if err != nil {
		t.Fatal(err)
	}
	if read.TotalCount() != 42 || read.ValueAtPercentile(50) != latency.ValueAtPercentile(50) {
		t.Errorf("histogram is %+v, want 42 values with the median %d", read, latency.ValueAtPercentile(50))
	}
}

func TestWriteJSON(t *testing.T) {
	result, _ := testResult()
	var text bytes.Buffer
	if err := writeJSON(&text, result); err != nil || !strings.Contains(text.String(), `"p50_us": 1500`) {
		t.Errorf("JSON is %s, error %v, want a p50_us of 1500", text.String(), err)
	}
}

func TestPrintResult(t *testing.T) {
	result, _ := testResult()
	var text bytes.Buffer
	if err := printResult(&text, result); err != nil || !strings.Contains(text.String(), "class read") {
		t.Errorf("table is %s, error %v, want a row for class read", text.String(), err)
	}
}

// Files of measurements outlive the program, so their keys must not change.
func TestResultKeys(t *testing.T) {
	const stats = `{"group":"class","name":"read","sent":1,"served":2,"busy":3,"failed":4,"lost":5,"closed":6,` +
		`"p50_us":7,"p90_us":8,"p99_us":9,"p99_9_us":10,"max_us":11,"mean_us":12,"stdev_us":13}`
	checkGolden(t, statsJSON{
		Group: "class", Name: "read", Sent: 1, Served: 2, Rejected: 3, Failed: 4, Lost: 5, Closed: 6,
		P50US: 7, P90US: 8, P99US: 9, P999US: 10, MaxUS: 11, MeanUS: 12, StdevUS: 13,
	}, stats)
}
