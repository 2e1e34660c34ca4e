package metricsexport

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"junctionwharf/broker"
	"junctionwharf/internal/collectd"
	"junctionwharf/internal/config"
	"junctionwharf/internal/graphite"
	"junctionwharf/telemetry"
)

// target is a sink as it is set.
type target struct {
	name, network, address string

	interval time.Duration
	options  telemetry.SinkOptions
	sets     any // what the words depend on; a sink with other settings is another sink
	encode   encoder
	notice   func(collectd.Notification, time.Time) ([]byte, error) // nil for none
}

// encoder words an interval as frames.
type encoder func(name string, figures []broker.Metric, rows *telemetry.Rollup, stamp int64, sum *telemetry.Summarizer) ([][]byte, error)

func (t target) same(other target) bool {
	return t.name == other.name && t.network == other.network && t.address == other.address && t.interval == other.interval &&
		t.options == other.options && reflect.DeepEqual(t.sets, other.sets)
}

// targets are the sinks that are on.
func targets(set Settings, name string) []target {
	var all []target
	if g := set.Graphite; g.Address != "" {
		all = append(all, target{name: "graphite", network: g.Transport, address: g.Address, interval: g.Interval(), sets: g,
			options: telemetry.SinkOptions{QueueBytes: g.QueueBytes, PaceEveryBatch: g.Transport == "udp", ResendLast: g.Transport == "tcp"},
			encode:  carbon(g)})
	}
	if c := set.Collectd; c.Address != "" {
		e := &collectd.Encoder{Host: short(name), Plugin: plugin, Security: c.SecurityLevel(), Key: c.Key}
		all = append(all, target{name: "collectd", network: "udp", address: c.Address, interval: c.Interval(), sets: c,
			options: telemetry.SinkOptions{QueueBytes: c.QueueBytes, PaceEveryBatch: true},
			encode:  packets(e, c.Interval()), notice: e.EncodeNotification})
	}
	return all
}

// breathe gives way between rows, so that on one core no request waits until all are worded. It sleeps: a goroutine that only
// yields (runtime.Gosched) stays runnable, and while any is, the runtime looks at the network no more than every 10 ms.
func breathe() { time.Sleep(breath) }

const breath = 50 * time.Microsecond

// carbon words an interval for Graphite.
func carbon(g config.Graphite) encoder {
	return func(name string, figures []broker.Metric, rows *telemetry.Rollup, stamp int64, sum *telemetry.Summarizer) ([][]byte, error) {
		prefix := string(graphite.AppendName([]byte(g.Prefix+"."), name))
		w := graphite.NewPlaintext(prefix, g.Naming(), stamp, g.Transport == "udp")
		if g.Protocol == "pickle" {
			w = graphite.NewPickle(prefix, g.Naming(), stamp)
		}
		for _, f := range figures {
			w.Add(graphite.Point{Path: figurePath(f.Name), Value: f.Value})
		}
		rows.Flush(func(row *telemetry.Row) {
			breathe()
			tag := row.Dimension.String()
			add := func(last string, value uint64) {
				p := graphite.Path{Dimension: tag, Name: row.Name, Verbatim: row.Reserved, Suffix: last}
				if row.Dimension == telemetry.All {
					p = graphite.Path{Segments: allWords, Suffix: last}
				}
				w.Add(graphite.Point{Path: p, Value: value})
			}
			for i, n := range row.Counts {
				add(telemetry.CounterNames[i], n)
			}
			for t, b := range row.Histograms {
				for i, n := range summary(sum.Summarize(b)) {
					if b != nil || i == 0 { // without a time there is no quantile
						add(timingWords[t][i], n)
					}
				}
			}
		})
		return w.Frames(), nil
	}
}

var allWords = []string{telemetry.All.String()}

var timingWords = func() (words [len(telemetry.LatencyNames)][len(telemetry.SummaryNames)]string) {
	for t, timing := range telemetry.LatencyNames {
		for i, name := range telemetry.SummaryNames {
			words[t][i] = timing + "." + name
		}
	}
	return words
}()

func summary(s telemetry.Summary) [len(telemetry.SummaryNames)]uint64 {
	return [...]uint64{s.Count, uint64(s.P50), uint64(s.P90), uint64(s.P99), uint64(s.P999), uint64(s.Max)}
}

// figurePath keeps the paths that figures have had from the start, such as success.CLASS, whose class alone may hold
// anything.
func figurePath(name string) graphite.Path {
	for _, kind := range []string{"success.", "busy.", "failure."} {
		if class, is := strings.CutPrefix(name, kind); is {
			return graphite.Path{Segments: []string{kind + string(graphite.AppendName(nil, class))}}
		}
	}
	return graphite.Path{Segments: []string{name}}
}

// plugin is collectd's name for what a broker tells.
const plugin = "junctionwharf"

// packets words an interval for collectd. The types stand in deploy/types.db.
func packets(e *collectd.Encoder, interval time.Duration) encoder {
	return func(_ string, figures []broker.Metric, rows *telemetry.Rollup, stamp int64, sum *telemetry.Summarizer) ([][]byte, error) {
		return e.EncodeValueLists(listsOf(figures, rows, sum), time.Unix(stamp, 0), interval)
	}
}

func listsOf(figures []broker.Metric, rows *telemetry.Rollup, sum *telemetry.Summarizer) []collectd.ValueList {
	lists := make([]collectd.ValueList, 0, len(figures)+512)
	for _, f := range figures {
		l := collectd.ValueList{Type: "gauge", TypeInstance: short(f.Name), Values: []collectd.Value{{Kind: collectd.Gauge, N: f.Value}}}
		if f.Counter {
			l.Type, l.Values[0].Kind = "derive", collectd.Derive
		}
		lists = append(lists, l)
	}
	rows.Flush(func(row *telemetry.Row) {
		breathe()
		name := row.Name
		if !row.Reserved {
			name = string(graphite.AppendName(nil, name))
		}
		instance := row.Dimension.String()
		if row.Dimension != telemetry.All {
			instance = short(instance + "." + name)
		}
		counts := func(kind string, from, to telemetry.Counter) {
			l := collectd.ValueList{PluginInstance: instance, Type: kind}
			for _, n := range row.Counts[from:to] {
				l.Values = append(l.Values, collectd.Value{Kind: collectd.Derive, N: n})
			}
			lists = append(lists, l)
		}
		counts("junctionwharf_requests", telemetry.RequestsServed, telemetry.Attempts)
		counts("junctionwharf_attempts", telemetry.Attempts, telemetry.MilliUnits)
		counts("junctionwharf_units", telemetry.MilliUnits, telemetry.MilliUnitsServed+1)
		for t, b := range row.Histograms {
			if b == nil {
				continue
			}
			l := collectd.ValueList{PluginInstance: instance, Type: "junctionwharf_latency", TypeInstance: telemetry.LatencyNames[t]}
			for _, n := range summary(sum.Summarize(b)) {
				l.Values = append(l.Values, collectd.Value{Kind: collectd.Gauge, N: n})
			}
			lists = append(lists, l)
		}
	})
	return lists
}

// short keeps to the bytes that collectd keeps of a name, and has no slash in it.
func short(name string) string {
	name = strings.ReplaceAll(strings.ReplaceAll(name, "/", "%2F"), "\x00", "%00")
	if len(name) <= collectd.MaxName {
		return name
	}
	return fmt.Sprintf("%s-%016x", name[:collectd.MaxName-17], xxhash.Sum64String(name))
}
