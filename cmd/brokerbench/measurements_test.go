package main

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"
)

// Files of measurements outlive the program, so their keys must not change.
func TestMeasurementKeys(t *testing.T) {
	t.Run("curve", func(t *testing.T) {
		const golden = `{"round":1,"broker":"now","rate":2,"sent":3,"served":4,"busy":5,"failed":6,"lost":7,` +
			`"closed":8,"unsent":9,"late":10,"p50_us":11,"p99_us":12,"busy_p99_us":13,"behind_us":14,"peak_kib":15,` +
			`"door_refused":16,"dials":17}`
		checkGolden(t, curvePoint{
			Round: 1, Broker: "now", Rate: 2, Sent: 3, Served: 4, Busy: 5, Failed: 6, Lost: 7, Closed: 8,
			Unsent: 9, Late: 10, P50: 11, P99: 12, RejectedP99: 13, MaxSendLag: 14, PeakKB: 15,
			RejectedAtAdmission: 16, Dials: 17,
		}, golden)
	})
	t.Run("sinks", func(t *testing.T) {
		const golden = `{"round":1,"variant":"dead","p50_us":2,"p99_us":3,"p99_9_us":4,"served":5,"busy":6,` +
			`"failed":7,"lost":8,"peak_kib":9}`
		checkGolden(t, sinkRun{
			Round: 1, Variant: sinksDead, P50: 2, P99: 3, P999: 4, Served: 5, Busy: 6, Failed: 7, Lost: 8, PeakKB: 9,
		}, golden)
	})
}

// Each variant is compared with "off" of the same round, not with the mean of "off" over all rounds.
func TestCompareSinks(t *testing.T) {
	runs := []sinkRun{
		{Round: 0, Variant: sinksOff, P50: 1000},
		{Round: 0, Variant: sinksDead, P50: 1500},
		{Round: 1, Variant: sinksDead, P50: 5500},
		{Round: 1, Variant: sinksOff, P50: 5000},
	}
	var text bytes.Buffer
	if err := compareSinks(&text, runs, rand.New(rand.NewPCG(1, 9))); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(text.String(), "+0.50 to +0.50") {
		t.Errorf("the difference is not 0.5 ms in each round:\n%s", text.String())
	}
}
