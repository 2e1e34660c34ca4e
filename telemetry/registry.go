package telemetry

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxName bounds the bytes of a name that a row holds; a longer one keeps its head and gets its hash. Higher, names
	// that clients choose take more memory in each row; lower, more names are shown with a hash.
	maxName = 80
	// hashSuffix is the length of "-" and 16 hex digits.
	hashSuffix = 17
	// rowBytes is what a row takes at the most: its histograms twice, since one set is with the reader of the last
	// snapshot; 64 bytes beside the buckets of each, and 256 for the row, its map entry and its slice headers.
	rowBytes = 2*int(latencyCount)*(4*bucketCount+64) + 8*int(counterCount) + maxName + 256
	// volumeShare reserves for volumes one in so many of the rows that nodes and volumes share. Higher, a large
	// endpoint list leaves hardly a volume with a name; lower, nodes are missing from the graphs sooner.
	volumeShare = 4
)

// rowState counts for one name of one dimension.
type rowState struct {
	name         string
	counts       Counts
	histograms   [latencyCount]*Histogram // nil where nothing was timed since the last snapshot
	hash         uint64                   // of a volume's name; 0 for other rows
	decayedUnits float64                  // of a volume: units of the past, halved at each snapshot
	newUnits     float64                  // of a volume: units since the last snapshot
	age          int                      // snapshots since the row was made
	idle         int                      // snapshots since the last observation
	removing     bool                     // the next snapshot is its last
}

// Registry counts observations in rows. It is not safe for concurrent use: the broker's loop owns it. A reader gets a
// Snapshot, which is the reader's own.
type Registry struct {
	options Options
	classes map[string]*rowState
	plans   map[string]*rowState
	nodes   map[string]*rowState
	volumes map[uint64]*rowState // by the hash of the name
	others  [DimensionCount]rowState
	none    rowState

	listed         map[string]bool // nodes in the endpoint list
	sketch         *Sketch         // the heaviest volumes without a row
	selected       map[uint64]bool // volumes that get a row at their next request
	freeHistograms []*Histogram
	sharedRows     int    // rows for nodes and volumes together
	volumeChanges  uint64 // volumes that got or lost a row
}

// New returns an empty registry, or an *OptionError.
func New(options Options) (*Registry, error) {
	r := &Registry{
		classes:  map[string]*rowState{},
		plans:    map[string]*rowState{},
		nodes:    map[string]*rowState{},
		volumes:  map[uint64]*rowState{},
		listed:   map[string]bool{},
		selected: map[uint64]bool{},
	}
	for dimension := range r.others {
		r.others[dimension].name = Other
	}
	r.none.name = None
	return r, r.ApplyOptions(options)
}

// ApplyOptions changes the options. Rows beyond a smaller bound, and those of classes and plans that are gone, are
// removed with the next snapshot. Options that fail Check change nothing.
func (r *Registry) ApplyOptions(options Options) error {
	if err := options.Check(); err != nil {
		return err
	}
	options.setDefaults()
	r.options = options
	setRows(r.classes, options.Classes)
	setRows(r.plans, options.Plans)
	seriesRows := (options.MaxSeries - options.ReservedSeries) / SeriesPerRow
	r.sharedRows = min(seriesRows, options.MaxBytes/rowBytes) - options.permanentRows()
	r.removeNodesBeyondBound()
	counters := sketchFactor * r.sharedRows
	if r.sketch == nil || cap(r.sketch.heap) != counters {
		r.sketch = NewSketch(counters)
	}
	return nil
}

// setRows gives each of names a row and has the others removed.
func setRows(rows map[string]*rowState, names []string) {
	for _, name := range names {
		if rows[name] == nil {
			rows[name] = &rowState{name: truncateName(name)}
		}
		rows[name].removing = false
	}
	for name, row := range rows {
		row.removing = !slices.Contains(names, name)
	}
}

// removeNodesBeyondBound has the first nodes by name removed where there are more of them than maxNodeRows.
func (r *Registry) removeNodesBeyondBound() {
	excess := len(r.nodes) - r.maxNodeRows()
	for _, name := range slices.Sorted(maps.Keys(r.nodes)) {
		r.nodes[name].removing = r.nodes[name].removing || excess > 0
		excess--
	}
}

// maxNodeRows is how many nodes may have rows: all shared rows but those reserved for volumes.
func (r *Registry) maxNodeRows() int { return r.sharedRows - max(1, r.sharedRows/volumeShare) }

// maxVolumeRows is how many volumes may have rows now: all shared rows that nodes do not use.
func (r *Registry) maxVolumeRows() int { return r.sharedRows - len(r.nodes) }

// truncateName returns a copy of a name that is no longer than maxName.
func truncateName(name string) string {
	if len(name) <= maxName {
		return strings.Clone(name)
	}
	return fmt.Sprintf("%s-%016x", name[:maxName-hashSuffix], xxhash.Sum64String(name))
}

// hashOf is the hash of a volume's name; it is never 0.
func hashOf(name string) uint64 { return max(1, xxhash.Sum64String(name)) }

// Rows is how many rows there are, All among them.
func (r *Registry) Rows() int {
	const others, all, none = int(DimensionCount - 1), 1, 1
	return all + others + none + len(r.classes) + len(r.plans) + len(r.nodes) + len(r.volumes)
}

// VolumeChanges counts the volumes that got or lost a row.
func (r *Registry) VolumeChanges() uint64 { return r.volumeChanges }

// newHistogram returns an empty histogram, one that was used before if there is any.
func (r *Registry) newHistogram() *Histogram {
	if last := len(r.freeHistograms) - 1; last >= 0 {
		histogram := r.freeHistograms[last]
		r.freeHistograms = r.freeHistograms[:last]
		return histogram
	}
	return new(Histogram)
}
