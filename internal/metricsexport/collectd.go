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

// pluginName is collectd's name for the source of a broker's values.
const pluginName = "junctionwharf"

// The types of value lists. Those of the broker's own stand in deploy/types.db, the others come with collectd.
const (
	typeGauge    = "gauge"
	typeDerive   = "derive"
	typeRequests = "junctionwharf_requests"
	typeAttempts = "junctionwharf_attempts"
	typeUnits    = "junctionwharf_units"
	typeLatency  = "junctionwharf_latency"
)

// expectedValueLists is the capacity that value lists begin with: the rows of a registry of the default size have six
// each at the most. Lower, the slice grows while an interval is encoded; higher, memory is set aside for nothing.
const expectedValueLists = 512

// newCollectdEncoder returns an encoder of the protocol of collectd's network plugin.
func newCollectdEncoder(e *collectd.Encoder, length time.Duration) encoder {
	return func(i interval) ([][]byte, error) {
		return e.EncodeValueLists(valueLists(i), time.Unix(i.timestamp, 0), length)
	}
}

// valueLists are the broker's own metrics and all rows. It flushes the rollup.
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

// appendRow appends the value lists of a row: three of counters, and one for each latency that has times.
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

// pluginInstance names a row: DIMENSION.NAME, or the dimension alone for All.
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

// truncateName keeps to the bytes that collectd keeps of a name, and escapes the slash, which divides a series' name,
// and the zero byte, which ends a string in a packet. A longer name keeps its head and gets a hash of the whole.
func truncateName(name string) string {
	name = strings.ReplaceAll(name, "/", "%2F")
	name = strings.ReplaceAll(name, "\x00", "%00")
	if len(name) <= collectd.MaxName {
		return name
	}
	return fmt.Sprintf("%s-%016x", name[:collectd.MaxName-hashSuffix], xxhash.Sum64String(name))
}
