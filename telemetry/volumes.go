package telemetry

import (
	"cmp"
	"slices"
	"strings"
)

// The constants that control which volumes have rows.
const (
	// replaceFactor is the minimum ratio between the weight of a volume without a row and the weight of the volume
	// that it replaces. With a larger factor, a volume that became busy stays in "other" for longer. With a smaller
	// factor, two volumes of similar weight replace each other again and again.
	replaceFactor = 1.5
	// sketchFactor is the number of counters in the sketch for each shared row. More counters cost about 50 bytes each.
	// With fewer counters, the sketch may miss a heavy volume among many light ones.
	sketchFactor = 4
	// turnoverShare limits how many rows are replaced at one snapshot: at most 1/turnoverShare of the rows that volumes
	// may use, or one row if that is less than one. With a larger value, the rows follow a change of the load more
	// slowly. With a smaller value, a burst replaces most of the series in the graphs at once.
	turnoverShare = 4
)

// selectVolumes decides which volumes this snapshot removes and which volumes get a row at their next request. It
// prevents series that appear and disappear, which show as graphs of single points: a volume that is not clearly
// heavier than a volume with a row stays in Other, a volume is replaced only after MinSnapshots snapshots, and at most
// 1/turnoverShare of the rows that volumes may use, or one row if that is less than one, are replaced at once. These
// limits do not apply to volumes that are idle or whose row a node needs.
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

// removeIdleVolumes marks the volumes without a request for IdleSnapshots snapshots, and returns how many remain.
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

// makeRoomForNodes marks the lightest volumes for removal until the nodes, the waiting nodes and the remaining volumes
// fit into the shared rows. volumes is the number of volumes that are not marked yet.
func (r *Registry) makeRoomForNodes(volumes int) {
	excess := len(r.nodes) + r.waitingNodes() + volumes - r.sharedRows
	for ; excess > 0; excess-- {
		if row := r.lightestVolume(); row != nil {
			row.removing = true
		}
	}
}

// replaceableVolumes returns the volumes that have had their row for at least MinSnapshots, the lightest first.
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

// lightestVolume returns the lightest volume that is not marked for removal, nil if all are marked.
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

// weight returns the weight of a volume in units: the units of this interval, plus the units of earlier intervals,
// which are halved at each snapshot.
func (row *rowState) weight() float64 { return row.decayedUnits/2 + row.newUnits }

func compareWeights(a, b *rowState) int {
	return cmp.Or(cmp.Compare(a.weight(), b.weight()), strings.Compare(a.name, b.name))
}
