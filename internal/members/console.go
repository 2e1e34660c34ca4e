package members

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"junctionwharf/broker"
	"junctionwharf/membership"
)

// The names of a source's metrics on the console and in sinks are "source.NAME." followed by one of these constants.
// Dashboards use the names, so they must not change.
const (
	metricSourcePrefix = "source."
	metricClaims       = "held"
	metricSuspects     = "suspect"
	metricAnswers      = "answers"
	metricFailures     = "failures"
	metricRejected     = "refused"
	metricAge          = "age_s"
)

// The texts of the console's answer. Scripts parse the answer, so the texts must not change.
const (
	textDiscoveryOnly = "discovery alone is followed\n"
	textNodeHeader    = "node\taddress\tshard\tzone\tstate\tpriority\tpart\tup s\theld by\twhy"
	textSourceHeader  = "\nsource\tholds\tsuspect\tlast answer\tanswers\tfailures\tnot believed\tlast fault"
	textUpForLong     = "long"
	textNeverAnswered = "never"
)

// stateWords are the console's names for the states of a node.
var stateWords = [...]string{
	membership.Ready:    "ready",
	membership.Draining: "draining",
	membership.Removed:  "gone",
}

// Metrics returns the metrics of each source for the console and for sinks.
func (m *Members) Metrics() []broker.Metric {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state == nil {
		return nil
	}
	var all []broker.Metric
	for _, s := range m.state.Sources(int64(m.clock.Now())) {
		prefix := metricSourcePrefix + s.Name + "."
		all = append(all,
			broker.Metric{Name: prefix + metricClaims, Value: uint64(s.Claims)},
			broker.Metric{Name: prefix + metricSuspects, Value: uint64(s.Suspects)},
			broker.Metric{Name: prefix + metricAnswers, Value: s.Answers, Counter: true},
			broker.Metric{Name: prefix + metricFailures, Value: s.Failures, Counter: true},
			broker.Metric{Name: prefix + metricRejected, Value: s.Rejected, Counter: true})
		if s.Age >= 0 {
			all = append(all, broker.Metric{Name: prefix + metricAge, Value: uint64(s.Age / time.Second)})
		}
	}
	return all
}

// Table returns the merged list for operators: each node with the sources that claim it and the reason for its state,
// then the sources.
func (m *Members) Table() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state == nil {
		return []byte(textDiscoveryOnly)
	}
	var text strings.Builder
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	now := int64(m.clock.Now())
	writeNodes(table, m.state, now)
	writeSources(table, m.state, now)
	_ = table.Flush() // cannot fail on a strings.Builder
	return []byte(text.String())
}

func writeNodes(table *tabwriter.Writer, state *membership.State, now int64) {
	nodes, claimedBy := state.List()
	writeLine(table, textNodeHeader)
	for i, n := range nodes {
		up := textUpForLong
		if n.LastStart > 0 {
			up = fmt.Sprint((now - n.LastStart) / int64(broker.Second))
		}
		writeLine(table, fmt.Sprintf("%s\t%s\t%d\t%s\t%s\t%d\t%g\t%s\t%s\t%s", n.Name, n.Address, n.Shard, n.Zone,
			stateWords[n.State], n.Priority, n.TrafficWeight, up, strings.Join(claimedBy[i], ","), n.Reason))
	}
}

func writeSources(table *tabwriter.Writer, state *membership.State, now int64) {
	writeLine(table, textSourceHeader)
	for _, s := range state.Sources(now) {
		age := textNeverAnswered
		if s.Age >= 0 {
			age = s.Age.Round(100*time.Millisecond).String() + " ago"
		}
		writeLine(table, fmt.Sprintf("%s\t%d\t%d\t%s\t%d\t%d\t%d\t%s", s.Name, s.Claims, s.Suspects, age, s.Answers,
			s.Failures, s.Rejected, s.Reason))
	}
}

// writeLine writes a line to the table. It ignores the error, because a write to a table in memory cannot fail.
func writeLine(table *tabwriter.Writer, line string) {
	_, _ = fmt.Fprintln(table, line)
}
