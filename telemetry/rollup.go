package telemetry

// Rollup merges snapshots for a sink whose interval is longer than the time between snapshots. So one registry serves
// sinks with different intervals.
type Rollup struct {
	rows map[rowKey]*Row
	free []*Histogram // histograms for reuse, not yet reset
}

type rowKey struct {
	dimension Dimension
	name      string
	reserved  bool
}

// NewRollup returns an empty rollup.
func NewRollup() *Rollup { return &Rollup{rows: map[rowKey]*Row{}} }

// Add merges a snapshot and keeps no reference to it. It calls yield before each row.
func (r *Rollup) Add(snapshot *Snapshot, yield func()) {
	for i := range snapshot.Rows {
		yield()
		r.addRow(&snapshot.Rows[i])
	}
	r.subtractRemoved(snapshot)
}

func (r *Rollup) addRow(row *Row) {
	key := rowKey{row.Dimension, row.Name, row.Reserved}
	merged := r.rows[key]
	if merged == nil {
		merged = &Row{Dimension: row.Dimension, Name: row.Name, Reserved: row.Reserved}
		r.rows[key] = merged
	}
	merged.Counts = row.Counts
	merged.Final = row.Final
	for latency, histogram := range row.Histograms {
		if histogram == nil {
			continue
		}
		if merged.Histograms[latency] == nil {
			merged.Histograms[latency] = r.newHistogram()
		}
		merged.Histograms[latency].merge(histogram)
	}
}

// subtractRemoved keeps the sums over a dimension exact. If an earlier snapshot of this interval contained a row for
// the last time, the counts of Other now include the counts of that row, but Flush still reports the row itself.
// Without the subtraction, the requests of that row would be counted twice.
func (r *Rollup) subtractRemoved(snapshot *Snapshot) {
	present := make(map[rowKey]bool, len(snapshot.Rows))
	for _, row := range snapshot.Rows {
		present[rowKey{row.Dimension, row.Name, row.Reserved}] = true
	}
	for key, row := range r.rows {
		if present[key] {
			continue
		}
		other := r.rows[rowKey{key.dimension, Other, true}]
		for counter, count := range row.Counts {
			other.Counts[counter] -= count
		}
	}
}

func (r *Rollup) newHistogram() *Histogram {
	last := len(r.free) - 1
	if last < 0 {
		return new(Histogram)
	}
	histogram := r.free[last]
	r.free = r.free[:last]
	histogram.reset()
	return histogram
}

// Flush calls visit with each row, in no particular order, and begins the next interval. A row's histograms are only
// valid during the call.
func (r *Rollup) Flush(visit func(*Row)) {
	for _, row := range r.rows {
		visit(row)
		for _, histogram := range row.Histograms {
			if histogram != nil {
				r.free = append(r.free, histogram)
			}
		}
	}
	clear(r.rows)
}
