package telemetry

import (
	"maps"
	"slices"
)

// Row contains the values of one name of one dimension in a snapshot.
type Row struct {
	Dimension  Dimension
	Name       string
	Reserved   bool // Name is that of All, Other or None, not a name from the settings or a client
	Counts     Counts
	Histograms [latencyCount]*Histogram // times of the interval; nil if no time was counted
	Final      bool                     // the row is removed: from the next snapshot on, Other includes its counts
}

// Snapshot contains all rows at one moment. The sums of Counts over the rows of each dimension are equal.
type Snapshot struct{ Rows []Row }

// Reset empties the histograms of a snapshot, so that Registry.Snapshot can reuse them. The reader calls Reset when it
// no longer needs the snapshot: on the broker's loop, Reset would take longer than the snapshot itself. It calls yield
// after each row.
func (s *Snapshot) Reset(yield func()) {
	for _, row := range s.Rows {
		for _, histogram := range row.Histograms {
			if histogram != nil {
				histogram.reset()
			}
		}
		yield()
	}
}

// Snapshot ends an interval and returns its rows. previous is nil or an earlier snapshot that its reader has reset.
// Snapshot reuses the memory of previous, which must not be used any more.
func (r *Registry) Snapshot(previous *Snapshot) *Snapshot {
	snapshot := &Snapshot{}
	if previous != nil {
		snapshot.Rows = previous.Rows[:0]
		r.reclaim(previous)
	}
	r.selectVolumes()
	r.appendNamed(snapshot, ByClass, r.classes)
	r.appendNamed(snapshot, ByPlan, r.plans)
	r.appendNamed(snapshot, ByNode, r.nodes)
	snapshot.appendReserved(ByNode, &r.none)
	r.appendVolumes(snapshot)
	r.moveRemovedToOther(snapshot)
	r.appendAll(snapshot)
	r.addWaitingNodes()
	return snapshot
}

// reclaim moves the histograms of an earlier snapshot to the free histograms and empties the snapshot.
func (r *Registry) reclaim(previous *Snapshot) {
	for _, row := range previous.Rows {
		for _, histogram := range row.Histograms {
			if histogram != nil {
				r.freeHistograms = append(r.freeHistograms, histogram)
			}
		}
	}
	clear(previous.Rows)
	previous.Rows = nil
}

// appendNamed appends the rows of classes, plans or nodes and their row Other. It deletes the rows marked for removal.
func (r *Registry) appendNamed(snapshot *Snapshot, dimension Dimension, rows map[string]*rowState) {
	for name, row := range rows {
		snapshot.append(dimension, row)
		if row.removing {
			delete(rows, name)
		}
	}
	snapshot.appendReserved(dimension, &r.others[dimension])
}

func (r *Registry) appendVolumes(snapshot *Snapshot) {
	for hash, row := range r.volumes {
		snapshot.append(ByVolume, row)
		if row.removing {
			delete(r.volumes, hash)
			r.volumeChanges++
		}
	}
	snapshot.appendReserved(ByVolume, &r.others[ByVolume])
}

// append adds a row to the snapshot and begins the row's next interval.
func (s *Snapshot) append(dimension Dimension, row *rowState) {
	s.Rows = append(s.Rows, Row{
		Dimension:  dimension,
		Name:       row.name,
		Counts:     row.counts,
		Histograms: row.histograms,
		Final:      row.removing,
	})
	row.histograms = [latencyCount]*Histogram{}
	row.age++
	row.idle++
	row.decayedUnits = row.decayedUnits/2 + row.newUnits
	row.newUnits = 0
}

func (s *Snapshot) appendReserved(dimension Dimension, row *rowState) {
	s.append(dimension, row)
	s.Rows[len(s.Rows)-1].Reserved = true
}

// moveRemovedToOther adds the counts of removed rows to Other, for the next snapshot. This snapshot still reports the
// removed rows themselves.
func (r *Registry) moveRemovedToOther(snapshot *Snapshot) {
	for i := range snapshot.Rows {
		row := &snapshot.Rows[i]
		if !row.Final {
			continue
		}
		for counter, count := range row.Counts {
			r.others[row.Dimension].counts[counter] += count
		}
	}
}

// appendAll appends the row of All, the sum over all classes.
func (r *Registry) appendAll(snapshot *Snapshot) {
	all := Row{Dimension: All, Name: All.String(), Reserved: true}
	for i := range snapshot.Rows {
		row := &snapshot.Rows[i]
		if row.Dimension != ByClass {
			continue
		}
		for counter, count := range row.Counts {
			all.Counts[counter] += count
		}
		for latency, histogram := range row.Histograms {
			if histogram == nil {
				continue
			}
			if all.Histograms[latency] == nil {
				all.Histograms[latency] = r.newHistogram()
			}
			all.Histograms[latency].merge(histogram)
		}
	}
	snapshot.Rows = append(snapshot.Rows, all)
}

// addWaitingNodes gives the rows of removed volumes to the waiting nodes, in order of name.
func (r *Registry) addWaitingNodes() {
	if r.waitingNodes() == 0 || len(r.nodes)+len(r.volumes) >= r.sharedRows {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(r.listed)) {
		r.addNodeRow(name)
	}
}
