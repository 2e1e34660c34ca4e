package telemetry

import (
	"maps"
	"slices"
)

// Row is what a snapshot holds of one name of one dimension.
type Row struct {
	Dimension  Dimension
	Name       string
	Reserved   bool // Name is All's, Other or None, and not a name from the settings or a client
	Counts     Counts
	Histograms [latencyCount]*Histogram // of the interval; nil where nothing was timed
	Final      bool                     // the row is removed: from the next snapshot on its counts are part of Other
}

// Snapshot is all rows at one moment. The sums of Counts over the rows of each dimension are equal.
type Snapshot struct{ Rows []Row }

// Reset empties the histograms of a snapshot that its reader is done with, so that Registry.Snapshot can use them
// again. The reader does it, since it takes longer than the snapshot. It calls yield after each row.
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

// Snapshot ends an interval and returns its rows. previous is an earlier snapshot that its reader has reset, or nil;
// its memory is used again.
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

// reclaim takes back the histograms of a snapshot that was read, and leaves it empty.
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

// appendNamed appends the rows of classes, plans or nodes and their Other, and removes those that are due.
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

// append adds a row to the snapshot and begins its next interval.
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

// moveRemovedToOther adds the counts of removed rows to Other, for the next snapshot: in this one they are still
// reported themselves.
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

// appendAll appends the row of All, which is the sum over all classes.
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

// addWaitingNodes gives the rows that removed volumes have left to the nodes that wait for one, in order of name.
func (r *Registry) addWaitingNodes() {
	if r.waitingNodes() == 0 || len(r.nodes)+len(r.volumes) >= r.sharedRows {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(r.listed)) {
		r.addNodeRow(name)
	}
}
