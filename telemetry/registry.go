package telemetry

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Dimension is a way to divide all that a broker did.
type Dimension uint8

// The dimensions. All has the one row All itself.
const (
	All Dimension = iota
	ByClass
	ByPlan
	ByNode
	ByVolume
	DimensionCount // how many there are
)

func (d Dimension) String() string {
	return [...]string{"all", "class", "plan", "node", "volume"}[d]
}

// Counter is the place of a counter in Counts.
type Counter uint8

// The counters. Units are counted in thousandths, as whole numbers, so that sums are exact. The first four stand in the
// order of RequestOutcome, those from FirstAttemptOutcome on in the order of AttemptOutcome.
const (
	RequestsServed Counter = iota
	RequestsRejected
	RequestsFailed
	RequestsAbandoned
	Attempts
	FirstAttemptOutcome
	MilliUnits       = FirstAttemptOutcome + Counter(outcomes) // of all requests that ended
	MilliUnitsServed = MilliUnits + 1
	counters         = MilliUnitsServed + 1
)

// Counts are cumulative: they only grow while a row lasts.
type Counts [counters]uint64

// CounterNames names the counters of Counts as sinks see them.
var CounterNames = [counters]string{"served", "busy", "failed", "left", "attempts", "attempts_success", "attempts_failure",
	"attempts_overloaded", "attempts_timed_out", "attempts_unreachable", "attempts_broken", "attempts_withdrawn",
	"units_milli", "units_milli_served"}

// Latency is the place of a histogram in a Row.
type Latency uint8

// The timings, in µs.
const (
	TotalLatency   Latency = iota // from arrival to the final answer
	QueueLatency                  // in the module, before the first attempt
	AttemptLatency                // of one attempt
	timings
)

// LatencyNames names the timings as sinks see them.
var LatencyNames = [timings]string{"whole_us", "waiting_us", "at_node_us"}

// SummaryNames names the figures of a Summary, in its order.
var SummaryNames = [...]string{"count", "p50", "p90", "p99", "p99_9", "max"}

// RowSeries is how many series a sink may see of one row.
const RowSeries = int(counters) + int(timings)*len(SummaryNames)

// rowBytes is what a row takes at the most: its histograms twice, since one set is with the reader of the last cut.
const rowBytes = 2*int(timings)*(4*slots+64) + 8*int(counters) + maxName + 256

// Names that a row has where no name of its own fits. A real name equal to one of them is told apart when it is escaped.
const (
	Other = "other" // all that has no row of its own
	None  = "none"  // of nodes: requests that came to no attempt
)

// maxName bounds the bytes of a name that a row holds; what is longer keeps its head and gets its hash.
const maxName = 80

// Options of a Registry. The zero value of a field means its default.
type Options struct {
	MaxSeries      int // bound on the series that sinks see, 2000 by default
	MaxBytes       int // bound on the memory of rows, 16 MiB by default
	ReservedSeries int // series that others than the registry tell, which count in MaxSeries
	IdleSnapshots  int // a volume leaves after so many cuts without a request, 30 by default
	MinSnapshots   int // a volume keeps its row for so many cuts at the least, 3 by default

	Classes, Plans []string // they always have rows
}

// The defaults of Options, and of the choice among volumes.
const (
	DefaultMaxSeries = 2000
	DefaultMaxBytes  = 16 << 20
	defaultIdle      = 30
	defaultHold      = 3

	better       = 1.5 // a volume takes over a row when it is so many times as heavy
	sketchFactor = 4   // counters of the sketch for each row that a volume may have
	volumeShare  = 4   // nodes leave volumes one in so many of the rows that they share
	turnover     = 4   // at a cut no more than one in so many volumes' rows changes hands
)

// Check names the option that makes no sense.
func (o Options) Check() error {
	o.complete()
	if need := (o.base() + 1) * RowSeries; o.MaxSeries < need+o.ReservedSeries {
		return fmt.Errorf("max_series: %d is below %d, which %d classes and %d plans need", o.MaxSeries, need+o.ReservedSeries, len(o.Classes), len(o.Plans))
	}
	if need := (o.base() + 1) * rowBytes; o.MaxBytes < need {
		return fmt.Errorf("max_bytes: %d is below %d, which %d classes and %d plans need", o.MaxBytes, need, len(o.Classes), len(o.Plans))
	}
	return nil
}

func (o *Options) complete() {
	for _, d := range []struct {
		value    *int
		fallback int
	}{{&o.MaxSeries, DefaultMaxSeries}, {&o.MaxBytes, DefaultMaxBytes}, {&o.IdleSnapshots, defaultIdle}, {&o.MinSnapshots, defaultHold}} {
		if *d.value == 0 {
			*d.value = d.fallback
		}
	}
}

// base is how many rows there always are: All, four of Other, None, and those of classes and plans.
func (o *Options) base() int { return 6 + len(o.Classes) + len(o.Plans) }

// row counts for one name of one dimension.
type row struct {
	name   string
	counts Counts
	times  [timings]*Histogram // nil where nothing was timed since the last cut
	hash   uint64              // of a volume
	load   float64             // of a volume: units of late, halved at each cut
	fresh  float64             // units since the last cut
	held   int                 // cuts since the row was made
	idle   int                 // cuts since the last fact
	gone   bool                // the next cut is its last
}

// Registry counts facts in rows. It is for one goroutine; what a reader gets is a Snapshot, which is the reader's own.
type Registry struct {
	opt     Options
	classes map[string]*row
	plans   map[string]*row
	nodes   map[string]*row
	volumes map[uint64]*row
	others  [DimensionCount]row
	none    row

	listed  map[string]bool // nodes in the list
	sketch  *Sketch
	invited map[uint64]bool // volumes that get a row at their next request
	free    []*Histogram
	spare   int    // rows for nodes and volumes together
	changes uint64 // volumes that got or lost a row
}

// New returns an empty registry.
func New(opt Options) (*Registry, error) {
	r := &Registry{classes: map[string]*row{}, plans: map[string]*row{}, nodes: map[string]*row{}, volumes: map[uint64]*row{},
		listed: map[string]bool{}, invited: map[uint64]bool{}}
	for d := range r.others {
		r.others[d].name = Other
	}
	r.none.name = None
	return r, r.ApplyOptions(opt)
}

// ApplyOptions goes over to other options: rows beyond a smaller bound leave with the next cut, those of classes and plans
// that vanished too. Options that make no sense change nothing.
func (r *Registry) ApplyOptions(opt Options) error {
	if err := opt.Check(); err != nil {
		return err
	}
	opt.complete()
	r.opt = opt
	keep := func(rows map[string]*row, names []string) {
		for _, name := range names {
			if rows[name] == nil {
				rows[name] = &row{name: shorten(name)}
			}
			rows[name].gone = false
		}
		for name, e := range rows {
			e.gone = !slices.Contains(names, name)
		}
	}
	keep(r.classes, opt.Classes)
	keep(r.plans, opt.Plans)
	r.spare = min((opt.MaxSeries-opt.ReservedSeries)/RowSeries, opt.MaxBytes/rowBytes) - opt.base()
	over := len(r.nodes) - r.nodeRoom()
	for _, name := range slices.Sorted(maps.Keys(r.nodes)) {
		r.nodes[name].gone = r.nodes[name].gone || over > 0
		over--
	}
	counters := sketchFactor * r.spare
	if r.sketch == nil || cap(r.sketch.heap) != counters {
		r.sketch = NewSketch(counters)
	}
	return nil
}

// nodeRoom is how many nodes may have rows: all but those kept for volumes.
func (r *Registry) nodeRoom() int { return r.spare - max(1, r.spare/volumeShare) }

// volumeRoom is how many volumes may have rows now: all that nodes do not use.
func (r *Registry) volumeRoom() int { return r.spare - len(r.nodes) }

func shorten(name string) string {
	if len(name) <= maxName {
		return strings.Clone(name)
	}
	return fmt.Sprintf("%s-%016x", name[:maxName-17], xxhash.Sum64String(name))
}

// Rows tells how many rows there are, All among them.
func (r *Registry) Rows() int {
	return 1 + int(DimensionCount-1) + 1 + len(r.classes) + len(r.plans) + len(r.nodes) + len(r.volumes)
}

// VolumeChanges counts the volumes that got or lost a row.
func (r *Registry) VolumeChanges() uint64 { return r.changes }

// Observe counts facts, in order.
func (r *Registry) Observe(facts []Observation) {
	for i := range facts {
		f := &facts[i]
		switch f.Kind {
		case RequestEnded:
			r.ended(f)
		case AttemptEnded:
			r.tried(f)
		case NodeListed:
			r.list(f.Node)
		case NodeUnlisted:
			delete(r.listed, f.Node)
			if e := r.nodes[f.Node]; e != nil {
				e.gone = true
			}
		}
	}
}

func (r *Registry) ended(f *Observation) {
	units := milli(f.Units)
	whole, waiting := clip(f.TotalMicros), clip(f.QueueMicros)
	wholeSlot, waitingSlot := slotOf(whole), slotOf(waiting)
	volume := r.volume(f.Volume)
	if volume.hash != 0 {
		volume.fresh += f.Units
	} else {
		r.sketch.Add(hashOf(f.Volume), f.Units)
	}
	for _, e := range [...]*row{r.named(r.classes, f.Class, ByClass), r.named(r.plans, f.Plan, ByPlan), r.node(f.Node), volume} {
		e.idle = 0
		e.counts[f.RequestOutcome]++
		e.counts[MilliUnits] += units
		if f.RequestOutcome == Served {
			e.counts[MilliUnitsServed] += units
		}
		r.timed(e, TotalLatency).add(wholeSlot, whole)
		r.timed(e, QueueLatency).add(waitingSlot, waiting)
	}
}

func (r *Registry) tried(f *Observation) {
	took := clip(f.AttemptMicros)
	slot := slotOf(took)
	for _, e := range [...]*row{r.named(r.classes, f.Class, ByClass), r.named(r.plans, f.Plan, ByPlan), r.node(f.Node), r.volume(f.Volume)} {
		e.idle = 0
		e.counts[Attempts]++
		e.counts[FirstAttemptOutcome+Counter(f.AttemptOutcome)]++
		r.timed(e, AttemptLatency).add(slot, took)
	}
}

func clip(micros int64) int64 { return max(0, min(micros, maxMicros)) }

// milli guards the exact sums against figures that are no numbers, or too large for one.
func milli(units float64) uint64 {
	if !(units > 0) {
		return 0
	}
	return uint64(min(units, 1e9)*1000 + 0.5)
}

func (r *Registry) timed(e *row, t Latency) *Histogram {
	if e.times[t] == nil {
		e.times[t] = r.buckets()
	}
	return e.times[t]
}

func (r *Registry) buckets() *Histogram {
	if last := len(r.free) - 1; last >= 0 {
		b := r.free[last]
		r.free = r.free[:last]
		return b
	}
	return new(Histogram)
}

func (r *Registry) named(rows map[string]*row, name string, d Dimension) *row {
	if e := rows[name]; e != nil {
		return e
	}
	return &r.others[d]
}

// node finds the row of a node. One that is not listed any more has none, once its last value was told: an attempt that
// was out when it left ends in Other.
func (r *Registry) node(name string) *row {
	if name == "" {
		return &r.none
	}
	if e := r.nodes[name]; e != nil {
		return e
	}
	return &r.others[ByNode]
}

// list gives a node its row, if there is room; else it waits for a cut that has a volume leave.
func (r *Registry) list(name string) {
	if e := r.nodes[name]; e != nil {
		e.gone = false
	}
	name = strings.Clone(name)
	r.listed[name] = true
	r.admit(name)
}

func (r *Registry) admit(name string) {
	if r.nodes[name] == nil && len(r.nodes) < r.nodeRoom() && len(r.nodes)+len(r.volumes)+len(r.invited) < r.spare {
		r.nodes[name] = &row{name: shorten(name)}
	}
}

// waiting is how many nodes wait for rows that they may have.
func (r *Registry) waiting() int {
	return max(0, min(len(r.listed), r.nodeRoom())-len(r.nodes))
}

func hashOf(name string) uint64 { return max(1, xxhash.Sum64String(name)) }

func (r *Registry) volume(name string) *row {
	hash := hashOf(name)
	if e := r.volumes[hash]; e != nil {
		return e
	}
	kept := len(r.invited)
	if r.invited[hash] {
		kept = 0
	}
	if len(r.volumes)+kept >= r.volumeRoom() {
		return &r.others[ByVolume]
	}
	e := &row{name: shorten(name), hash: hash, load: r.sketch.LowerBound(hash)}
	r.volumes[hash] = e
	r.sketch.Remove(hash)
	delete(r.invited, hash)
	r.changes++
	return e
}

// ---- cuts

// Row is what a cut tells of one name of one dimension.
type Row struct {
	Dimension  Dimension
	Name       string
	Reserved   bool // Name is All's, Other or None, and not a name of the site's own
	Counts     Counts
	Histograms [timings]*Histogram // of the interval; nil where nothing was timed
	Final      bool                // the row is told for the last time; from now on its counts stand in Other
}

// Snapshot is all rows at one moment. The sums of Counts over the rows of each dimension are equal.
type Snapshot struct{ Rows []Row }

// Reset empties the times of a cut that its reader is done with. It is the reader's work: it takes longer than the cut. pause
// is called between rows.
func (c *Snapshot) Reset(pause func()) {
	for _, row := range c.Rows {
		for _, b := range row.Histograms {
			if b != nil {
				b.reset()
			}
		}
		pause()
	}
}

// Snapshot ends an interval and tells of it. spent is an earlier cut that its reader has cleared, nil for none; its memory is
// used again.
func (r *Registry) Snapshot(spent *Snapshot) *Snapshot {
	cut := &Snapshot{}
	if spent != nil {
		cut.Rows = spent.Rows[:0]
		for _, row := range spent.Rows {
			for _, b := range row.Histograms {
				if b != nil {
					r.free = append(r.free, b)
				}
			}
		}
		clear(spent.Rows)
		spent.Rows = nil
	}
	r.choose()
	for _, part := range []struct {
		d    Dimension
		rows map[string]*row
	}{{ByClass, r.classes}, {ByPlan, r.plans}, {ByNode, r.nodes}} {
		for name, e := range part.rows {
			r.tell(cut, part.d, e, e.gone)
			if e.gone {
				delete(part.rows, name)
			}
		}
		r.tellOther(cut, part.d)
	}
	r.tell(cut, ByNode, &r.none, false)
	cut.Rows[len(cut.Rows)-1].Reserved = true
	for hash, e := range r.volumes {
		r.tell(cut, ByVolume, e, e.gone)
		if e.gone {
			delete(r.volumes, hash)
			r.changes++
		}
	}
	r.tellOther(cut, ByVolume)
	for i, row := range cut.Rows {
		if row.Final { // only now: this cut's Other does not hold them yet
			for c, n := range row.Counts {
				r.others[cut.Rows[i].Dimension].counts[c] += n
			}
		}
	}
	cut.sum(r)
	if r.waiting() > 0 && len(r.nodes)+len(r.volumes) < r.spare {
		for _, name := range slices.Sorted(maps.Keys(r.listed)) {
			r.admit(name)
		}
	}
	return cut
}

func (r *Registry) tell(cut *Snapshot, d Dimension, e *row, last bool) {
	cut.Rows = append(cut.Rows, Row{Dimension: d, Name: e.name, Counts: e.counts, Histograms: e.times, Final: last})
	e.times = [timings]*Histogram{}
	e.held++
	e.idle++
	e.load = e.load/2 + e.fresh
	e.fresh = 0
}

func (r *Registry) tellOther(cut *Snapshot, d Dimension) {
	r.tell(cut, d, &r.others[d], false)
	cut.Rows[len(cut.Rows)-1].Reserved = true
}

// sum adds the row of All, which is that of all classes together.
func (c *Snapshot) sum(r *Registry) {
	all := Row{Dimension: All, Name: All.String(), Reserved: true}
	for _, row := range c.Rows {
		if row.Dimension != ByClass {
			continue
		}
		for i, n := range row.Counts {
			all.Counts[i] += n
		}
		for t, b := range row.Histograms {
			if b == nil {
				continue
			}
			if all.Histograms[t] == nil {
				all.Histograms[t] = r.buckets()
			}
			all.Histograms[t].merge(b)
		}
	}
	c.Rows = append(c.Rows, all)
}

// choose says which volumes leave with this cut, and which have a row from their next request on. It guards against
// series that flicker: a volume that is not clearly heavier than one with a row stays in Other, one that got
// a row keeps it for a while, and no more than a quarter of the rows change hands at once.
func (r *Registry) choose() {
	clear(r.invited)
	leaving := 0
	for _, e := range r.volumes {
		if e.gone = e.idle >= r.opt.IdleSnapshots; e.gone {
			leaving++
		}
	}
	for over := len(r.nodes) + r.waiting() + len(r.volumes) - leaving - r.spare; over > 0; over-- {
		if e := r.lightest(); e != nil {
			e.gone = true
		}
	}
	least := make([]*row, 0, len(r.volumes))
	for _, e := range r.volumes {
		if !e.gone && e.held >= r.opt.MinSnapshots {
			least = append(least, e)
		}
	}
	slices.SortFunc(least, lighter)
	best := slices.Clone(r.sketch.heap)
	slices.SortFunc(best, func(a, b counter) int {
		return cmp.Or(cmp.Compare(b.sure(), a.sure()), cmp.Compare(a.key, b.key))
	})
	for i := range min(len(least), len(best), max(1, r.volumeRoom()/turnover)) {
		if best[i].sure() <= better*least[i].weight() {
			break
		}
		least[i].gone = true
		r.invited[best[i].key] = true
	}
	r.sketch.Halve()
}

// weight is what a volume's row is worth keeping for.
func (e *row) weight() float64 { return e.load/2 + e.fresh }

func lighter(a, b *row) int {
	return cmp.Or(cmp.Compare(a.weight(), b.weight()), strings.Compare(a.name, b.name))
}

// lightest is the volume that leaves first.
func (r *Registry) lightest() *row {
	var least *row
	for _, e := range r.volumes {
		if !e.gone && (least == nil || lighter(e, least) < 0) {
			least = e
		}
	}
	return least
}
