// Package metrics words the broker's figures as StatsD lines for the operators' door.
package metrics

import (
	"fmt"

	"junctionwharf/broker"
)

// Sample is one figure.
type Sample = broker.Metric

// statsdPrefix stands before each name that the operators' door shows.
const statsdPrefix = "edge_balancer"

// FormatStatsD words figures as StatsD lines.
func FormatStatsD(samples []Sample) []byte {
	var text []byte
	for _, s := range samples {
		kind := "g"
		if s.Counter {
			kind = "c"
		}
		text = fmt.Appendf(text, "%s.%s:%d|%s\n", statsdPrefix, s.Name, s.Value, kind)
	}
	return text
}
