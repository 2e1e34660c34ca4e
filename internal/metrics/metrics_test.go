package metrics

import "testing"

// The operators' tools read StatsD lines.
func TestStatsd(t *testing.T) {
	got := string(FormatStatsD([]Sample{{Name: "success.lesson-read", Value: 812, Counter: true}, {Name: "inflight", Value: 14, Counter: false}}))
	if got != "edge_balancer.success.lesson-read:812|c\nedge_balancer.inflight:14|g\n" {
		t.Errorf("%q", got)
	}
}
