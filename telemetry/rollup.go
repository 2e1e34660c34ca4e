package telemetry

// Rollup puts cuts together for a sink whose interval is longer than that of the cuts, so that one registry serves sinks
// with intervals of their own.
type Rollup struct {
	rows    map[rowKey]*Row
	scratch []*Histogram
}

type rowKey struct {
	d       Dimension
	name    string
	special bool
}

// NewRollup returns an empty rollup.
func NewRollup() *Rollup { return &Rollup{rows: map[rowKey]*Row{}} }

// Add takes a cut, of which it keeps nothing. pause is called between rows.
func (r *Rollup) Add(cut *Snapshot, pause func()) {
	for _, row := range cut.Rows {
		pause()
		key := rowKey{row.Dimension, row.Name, row.Reserved}
		held := r.rows[key]
		if held == nil {
			held = &Row{Dimension: row.Dimension, Name: row.Name, Reserved: row.Reserved}
			r.rows[key] = held
		}
		held.Counts, held.Final = row.Counts, row.Final
		for t, b := range row.Histograms {
			if b == nil {
				continue
			}
			if held.Histograms[t] == nil {
				held.Histograms[t] = r.buckets()
			}
			held.Histograms[t].merge(b)
		}
	}
	here := make(map[rowKey]bool, len(cut.Rows))
	for _, row := range cut.Rows {
		here[rowKey{row.Dimension, row.Name, row.Reserved}] = true
	}
	for key, row := range r.rows {
		if !here[key] { // it left at an earlier cut: Other holds its counts by now, which the last word on it takes out again
			other := r.rows[rowKey{key.d, Other, true}]
			for c, n := range row.Counts {
				other.Counts[c] -= n
			}
		}
	}
}

func (r *Rollup) buckets() *Histogram {
	if last := len(r.scratch) - 1; last >= 0 {
		b := r.scratch[last]
		r.scratch = r.scratch[:last]
		b.reset()
		return b
	}
	return new(Histogram)
}

// Flush calls tell with each row, and begins the next interval. A row's times are good during the call.
func (r *Rollup) Flush(tell func(*Row)) {
	for _, row := range r.rows {
		tell(row)
		for _, b := range row.Histograms {
			if b != nil {
				r.scratch = append(r.scratch, b)
			}
		}
	}
	clear(r.rows)
}
