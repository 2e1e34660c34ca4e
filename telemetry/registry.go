package telemetry

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxName bounds the length of a name in a row, in bytes. A longer name is truncated and gets a hash as its suffix.
	// With a larger bound, names that clients choose take more memory in each row. With a smaller bound, more names are
	// shown with a hash.
	maxName = 80
	// hashSuffix is the length of "-" and 16 hex digits.
	hashSuffix = 17
	// rowBytes is the maximum memory of a row. It counts the histograms twice, since the reader of the last snapshot
	// owns one set. It adds 64 bytes to the buckets of each histogram, and 256 bytes for the row, its map entry and
	// its slice headers.
	rowBytes = 2*int(latencyCount)*(4*bucketCount+64) + 8*int(counterCount) + maxName + 256
	// volumeShare is the divisor that gives the number of rows reserved for volumes among the rows that nodes and
	// volumes share. With a larger value, a large endpoint list leaves few rows for volumes. With a smaller value,
	// nodes are missing from the graphs sooner.
	volumeShare = 4
)

// rowState is the state of one row: the counts for one name of one dimension.
type rowState struct {
	name         string
	counts       Counts
	histograms   [latencyCount]*Histogram // nil if no time was counted since the last snapshot
	hash         uint64                   // hash of a volume's name; 0 in other rows
	decayedUnits float64                  // of a volume: units before the last snapshot, halved at each snapshot
	newUnits     float64                  // of a volume: units since the last snapshot
	age          int                      // snapshots since the row was created
	idle         int                      // snapshots since the last observation
	removing     bool                     // the next snapshot reports and removes the row
}

// Registry counts observations in rows. It is not safe for concurrent use: the broker's loop owns it. A reader receives
// a Snapshot, which then belongs to the reader.
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
	selected       map[uint64]bool // volumes that get a row at their next request, by hash
	freeHistograms []*Histogram
	sharedRows     int    // rows for nodes and volumes together
	volumeChanges  uint64 // number of times that a volume got or lost a row
}

// New returns an empty registry. If Options.Check fails, it also returns an *OptionError, and the registry must not be
// used.
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

// ApplyOptions changes the options. The next snapshot removes the rows beyond a smaller bound and the rows of removed
// classes and plans. If Check fails, ApplyOptions changes nothing and returns the *OptionError.
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

// setRows gives each name a row and marks all other rows for removal.
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

// removeNodesBeyondBound marks nodes for removal until at most maxNodeRows remain. It marks them in order of name.
func (r *Registry) removeNodesBeyondBound() {
	excess := len(r.nodes) - r.maxNodeRows()
	for _, name := range slices.Sorted(maps.Keys(r.nodes)) {
		r.nodes[name].removing = r.nodes[name].removing || excess > 0
		excess--
	}
}

// maxNodeRows returns how many nodes may have rows: all shared rows except those reserved for volumes.
func (r *Registry) maxNodeRows() int { return r.sharedRows - max(1, r.sharedRows/volumeShare) }

// maxVolumeRows returns how many volumes may have rows now: all shared rows that nodes do not use.
func (r *Registry) maxVolumeRows() int { return r.sharedRows - len(r.nodes) }

// truncateName returns a copy of a name. A name longer than maxName is truncated and gets a hash of the whole name as
// its suffix.
func truncateName(name string) string {
	if len(name) <= maxName {
		return strings.Clone(name)
	}
	return fmt.Sprintf("%s-%016x", name[:maxName-hashSuffix], xxhash.Sum64String(name))
}

// hashOf returns the hash of a volume's name, which is never 0.
func hashOf(name string) uint64 { return max(1, xxhash.Sum64String(name)) }

// Rows returns the number of rows, including the row of All.
func (r *Registry) Rows() int {
	const others, all, none = int(DimensionCount - 1), 1, 1
	return all + others + none + len(r.classes) + len(r.plans) + len(r.nodes) + len(r.volumes)
}

// VolumeChanges returns how many times a volume got or lost a row.
func (r *Registry) VolumeChanges() uint64 { return r.volumeChanges }

// newHistogram returns an empty histogram. It reuses a free histogram if there is one.
func (r *Registry) newHistogram() *Histogram {
	if last := len(r.freeHistograms) - 1; last >= 0 {
		histogram := r.freeHistograms[last]
		r.freeHistograms = r.freeHistograms[:last]
		return histogram
	}
	return new(Histogram)
}
