package metricsexport

import (
	"strings"

	"junctionwharf/broker"
	"junctionwharf/internal/config"
	"junctionwharf/internal/graphite"
	"junctionwharf/telemetry"
)

// protocolPickle is the name of Carbon's pickle protocol in the settings.
const protocolPickle = "pickle"

// newGraphiteEncoder returns an encoder of Carbon's plaintext or pickle protocol.
func newGraphiteEncoder(settings config.Graphite) encoder {
	return func(i interval) ([][]byte, error) {
		prefix := string(graphite.AppendName([]byte(settings.Prefix+"."), i.broker))
		w := newGraphiteWriter(settings, prefix, i.timestamp)
		addMetrics(w, i.metrics)
		i.rollup.Flush(func(row *telemetry.Row) {
			yield()
			addRow(w, row, i.summarizer)
		})
		return w.Frames(), nil
	}
}

func newGraphiteWriter(settings config.Graphite, prefix string, timestamp int64) *graphite.Writer {
	if settings.Protocol == protocolPickle {
		return graphite.NewPickle(prefix, settings.Naming(), timestamp)
	}
	return graphite.NewPlaintext(prefix, settings.Naming(), timestamp, settings.Transport == transportUDP)
}

func addMetrics(w *graphite.Writer, metrics []broker.Metric) {
	for _, metric := range metrics {
		w.Add(graphite.Point{Path: metricPath(metric.Name), Value: metric.Value})
	}
}

// addRow adds the series of a row: its counters, and for each latency the number of times and their percentiles.
func addRow(w *graphite.Writer, row *telemetry.Row, summarizer *telemetry.Summarizer) {
	for counter, count := range row.Counts {
		w.Add(graphite.Point{Path: rowPath(row, telemetry.CounterNames[counter]), Value: count})
	}
	for latency, histogram := range row.Histograms {
		for field, value := range summaryValues(summarizer.Summarize(histogram)) {
			if histogram == nil && field > 0 {
				break // without times there are no percentiles, only a count of 0
			}
			w.Add(graphite.Point{Path: rowPath(row, latencySeries[latency][field]), Value: value})
		}
	}
}

var pathOfAll = []string{telemetry.All.String()}

func rowPath(row *telemetry.Row, suffix string) graphite.Path {
	if row.Dimension == telemetry.All {
		return graphite.Path{Segments: pathOfAll, Suffix: suffix}
	}
	return graphite.Path{
		Dimension: row.Dimension.String(),
		Name:      row.Name,
		Verbatim:  row.Reserved,
		Suffix:    suffix,
	}
}

// latencySeries contains the names of a row's latency series, by latency and by field of the summary.
var latencySeries = newLatencySeries()

func newLatencySeries() (names [len(telemetry.LatencyNames)][len(telemetry.SummaryNames)]string) {
	for latency, latencyName := range telemetry.LatencyNames {
		for field, fieldName := range telemetry.SummaryNames {
			names[latency][field] = latencyName + "." + fieldName
		}
	}
	return names
}

// summaryValues returns the fields of a summary in the order of telemetry.SummaryNames.
func summaryValues(s telemetry.Summary) [len(telemetry.SummaryNames)]uint64 {
	return [...]uint64{
		s.Count,
		uint64(s.P50),
		uint64(s.P90),
		uint64(s.P99),
		uint64(s.P999),
		uint64(s.Max),
	}
}

// classMetricPrefixes are the prefixes of metrics whose names end with the name of a class. A class name may contain
// any bytes.
var classMetricPrefixes = [...]string{"success.", "busy.", "failure."}

// metricPath returns the path of one of the broker's own metrics. Dots in its name separate segments of the path,
// except for dots in the name of a class.
func metricPath(name string) graphite.Path {
	for _, prefix := range classMetricPrefixes {
		if class, found := strings.CutPrefix(name, prefix); found {
			segment := prefix + string(graphite.AppendName(nil, class))
			return graphite.Path{Segments: []string{segment}}
		}
	}
	return graphite.Path{Segments: []string{name}}
}
