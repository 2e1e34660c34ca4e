package telemetry

import (
	"cmp"
	"slices"
	"strings"
)

// The choice of the volumes that have rows.
const (
	// replaceFactor is how many times as heavy a volume must be to replace one that has a row. Higher, a volume that
	// became busy stays in "other" for longer; lower, two volumes of about one weight take turns.
	replaceFactor = 1.5
	// sketchFactor is how many counters the sketch has for each row that a volume may have. Higher costs some 50
	// bytes a counter; lower, a heavy volume may be missed among many light ones.
	sketchFactor = 4
	// turnoverShare lets one in so many of the volumes' rows change hands at a snapshot. Higher, the rows follow a
	// shift of the load more slowly; lower, a burst replaces most of the series in the graphs at once.
	turnoverShare = 4
)

// selectVolumes decides which volumes are removed with this snapshot, and which get a row at their next request. It
// guards against series that appear and vanish, which show as graphs of single points: a volume that is not clearly
// heavier than one with a row stays in Other, one that got a row keeps it for MinSnapshots, and no more than one in
// turnoverShare of the rows change hands at once.
func (r *Registry) selectVolumes() {
	clear(r.selected)
	remaining := r.removeIdleVolumes()
	r.makeRoomForNodes(remaining)
	replaceable := r.replaceableVolumes()
	candidates := r.sketch.byLowerBound()
	maxReplaced := max(1, r.maxVolumeRows()/turnoverShare)
	for i := range min(len(replaceable), len(candidates), maxReplaced) {
		if candidates[i].lowerBound() <= replaceFactor*replaceable[i].weight() {
			break
		}
		replaceable[i].removing = true
		r.selected[candidates[i].key] = true
	}
	r.sketch.Halve()
}

// removeIdleVolumes marks the volumes that had no request for IdleSnapshots, and returns how many are left.
func (r *Registry) removeIdleVolumes() int {
	remaining := 0
	for _, row := range r.volumes {
		row.removing = row.idle >= r.options.IdleSnapshots
		if !row.removing {
			remaining++
		}
	}
	return remaining
}

// makeRoomForNodes marks the lightest volumes, as many as there are nodes that wait for a row and find none free.
func (r *Registry) makeRoomForNodes(volumes int) {
	excess := len(r.nodes) + r.waitingNodes() + volumes - r.sharedRows
	for ; excess > 0; excess-- {
		if row := r.lightestVolume(); row != nil {
			row.removing = true
		}
	}
}

// replaceableVolumes are the volumes that have had their row for long enough, the lightest first.
func (r *Registry) replaceableVolumes() []*rowState {
	rows := make([]*rowState, 0, len(r.volumes))
	for _, row := range r.volumes {
		if !row.removing && row.age >= r.options.MinSnapshots {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, compareWeights)
	return rows
}

// lightestVolume is the volume that is removed first; nil if all are marked.
func (r *Registry) lightestVolume() *rowState {
	var lightest *rowState
	for _, row := range r.volumes {
		if row.removing {
			continue
		}
		if lightest == nil || compareWeights(row, lightest) < 0 {
			lightest = row
		}
	}
	return lightest
}

// weight of a volume, in units of this interval and, with a weight that halves at each snapshot, of the past.
func (row *rowState) weight() float64 { return row.decayedUnits/2 + row.newUnits }

func compareWeights(a, b *rowState) int {
	return cmp.Or(cmp.Compare(a.weight(), b.weight()), strings.Compare(a.name, b.name))
}
