package metricsexport

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"junctionwharf/broker"
	"junctionwharf/internal/collectd"
	"junctionwharf/internal/graphite"
	"junctionwharf/telemetry"
)

// pluginName is the plugin name of a broker's values in collectd.
const pluginName = "junctionwharf"

// The types of value lists. deploy/types.db defines the broker's own types. The other types come with collectd.
const (
	typeGauge    = "gauge"
	typeDerive   = "derive"
	typeRequests = "junctionwharf_requests"
	typeAttempts = "junctionwharf_attempts"
	typeUnits    = "junctionwharf_units"
	typeLatency  = "junctionwharf_latency"
)

// expectedValueLists is the initial capacity for the value lists of rows: each row of a registry of the default size
// has at most six value lists. With a smaller capacity, the slice grows while an interval is encoded. A larger capacity
// wastes memory.
const expectedValueLists = 512

// newCollectdEncoder returns an encoder of the protocol of collectd's network plugin.
func newCollectdEncoder(e *collectd.Encoder, length time.Duration) encoder {
	return func(i interval) ([][]byte, error) {
		return e.EncodeValueLists(valueLists(i), time.Unix(i.timestamp, 0), length)
	}
}

// valueLists returns the value lists of the broker's own metrics and of all rows. It flushes the rollup.
func valueLists(i interval) []collectd.ValueList {
	lists := make([]collectd.ValueList, 0, len(i.metrics)+expectedValueLists)
	for _, metric := range i.metrics {
		lists = append(lists, metricValueList(metric))
	}
	i.rollup.Flush(func(row *telemetry.Row) {
		yield()
		lists = appendRow(lists, row, i.summarizer)
	})
	return lists
}

func metricValueList(metric broker.Metric) collectd.ValueList {
	list := collectd.ValueList{
		Type:         typeGauge,
		TypeInstance: truncateName(metric.Name),
		Values:       []collectd.Value{{Kind: collectd.Gauge, N: metric.Value}},
	}
	if metric.Counter {
		list.Type = typeDerive
		list.Values[0].Kind = collectd.Derive
	}
	return list
}

// appendRow appends the value lists of a row: three with counters, and one for each latency with at least one time.
func appendRow(
	lists []collectd.ValueList, row *telemetry.Row, summarizer *telemetry.Summarizer,
) []collectd.ValueList {
	instance := pluginInstance(row)
	counts := row.Counts[:]
	lists = append(lists,
		counterValueList(instance, typeRequests, counts[telemetry.RequestsServed:telemetry.Attempts]),
		counterValueList(instance, typeAttempts, counts[telemetry.Attempts:telemetry.MilliUnits]),
		counterValueList(instance, typeUnits, counts[telemetry.MilliUnits:]),
	)
	for latency, histogram := range row.Histograms {
		if histogram == nil {
			continue
		}
		list := collectd.ValueList{
			PluginInstance: instance,
			Type:           typeLatency,
			TypeInstance:   telemetry.LatencyNames[latency],
		}
		for _, value := range summaryValues(summarizer.Summarize(histogram)) {
			list.Values = append(list.Values, collectd.Value{Kind: collectd.Gauge, N: value})
		}
		lists = append(lists, list)
	}
	return lists
}

func counterValueList(instance, typeName string, counts []uint64) collectd.ValueList {
	list := collectd.ValueList{PluginInstance: instance, Type: typeName}
	for _, count := range counts {
		list.Values = append(list.Values, collectd.Value{Kind: collectd.Derive, N: count})
	}
	return list
}

// pluginInstance returns the name of a row: DIMENSION.NAME, or only the dimension for All.
func pluginInstance(row *telemetry.Row) string {
	dimension := row.Dimension.String()
	if row.Dimension == telemetry.All {
		return dimension
	}
	name := row.Name
	if !row.Reserved {
		name = string(graphite.AppendName(nil, name))
	}
	return truncateName(dimension + "." + name)
}

// hashSuffix is the length of "-" and 16 hex digits.
const hashSuffix = 17

// truncateName limits a name to the length that collectd accepts. It escapes the slash, which separates the parts of a
// series name, and the zero byte, which ends a string in a packet. A longer name is truncated and gets a hash of the
// whole name as its suffix.
func truncateName(name string) string {
	name = strings.ReplaceAll(name, "/", "%2F")
	name = strings.ReplaceAll(name, "\x00", "%00")
	if len(name) <= collectd.MaxName {
		return name
	}
	return fmt.Sprintf("%s-%016x", name[:collectd.MaxName-hashSuffix], xxhash.Sum64String(name))
}
