// Package metrics formats the broker's metrics as StatsD lines for the admin console.
//
// It keeps no state. Counters have the StatsD type c, gauges the type g; values are whole numbers in the unit that the
// metric's name says.
package metrics

import (
	"fmt"

	"junctionwharf/broker"
)

// statsdPrefix stands before each name. Operators' tools know the series by it.
const statsdPrefix = "edge_balancer"

// The StatsD types.
const (
	statsdCounter = "c"
	statsdGauge   = "g"
)

// FormatStatsD formats metrics as StatsD lines.
func FormatStatsD(metrics []broker.Metric) []byte {
	var text []byte
	for _, metric := range metrics {
		kind := statsdGauge
		if metric.Counter {
			kind = statsdCounter
		}
		text = fmt.Appendf(text, "%s.%s:%d|%s\n", statsdPrefix, metric.Name, metric.Value, kind)
	}
	return text
}
