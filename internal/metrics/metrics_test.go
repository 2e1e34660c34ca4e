package metrics

import (
	"testing"

	"junctionwharf/broker"
)

// Operators' tools parse the StatsD lines, so their format must not change.
func TestFormatStatsD(t *testing.T) {
	got := string(FormatStatsD([]broker.Metric{
		{Name: "success.lesson-read", Value: 812, Counter: true},
		{Name: "inflight", Value: 14},
	}))
	want := "edge_balancer.success.lesson-read:812|c\nedge_balancer.inflight:14|g\n"
	if got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
