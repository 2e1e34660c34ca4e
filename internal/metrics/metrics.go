// Package metrics formats the broker's metrics as StatsD lines for the admin console.
//
// The package has no state. Counters have the StatsD type c and gauges the type g. Values are integers in the unit
// that the metric's name states.
package metrics

import (
	"fmt"

	"junctionwharf/broker"
)

// statsdPrefix is the first part of each name. Operators' tools use it to identify the series.
const statsdPrefix = "edge_balancer"

// The StatsD types.
const (
	statsdCounter = "c"
	statsdGauge   = "g"
)

// FormatStatsD formats metrics as StatsD lines, one per metric.
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
