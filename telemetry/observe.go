package telemetry

import "strings"

// maxUnits bounds the units that are counted for one request. With a larger bound, a single wrong value could overflow
// a counter. With a smaller bound, part of a request that is really that large would be missing from the sums.
const maxUnits = 1e9

// Observe counts observations, in order. It allocates memory only for a new row, and for the first time of each kind of
// latency that a row counts in an interval.
func (r *Registry) Observe(observations []Observation) {
	for i := range observations {
		o := &observations[i]
		switch o.Kind {
		case RequestEnded:
			r.countRequest(o)
		case AttemptEnded:
			r.countAttempt(o)
		case NodeListed:
			r.addNode(o.Node)
		case NodeUnlisted:
			delete(r.listed, o.Node)
			if row := r.nodes[o.Node]; row != nil {
				row.removing = true
			}
		}
	}
}

func (r *Registry) countRequest(o *Observation) {
	milliUnits := toMilliUnits(o.Units)
	total := clampMicros(o.TotalMicros)
	queued := clampMicros(o.QueueMicros)
	totalBucket := bucketOf(total)
	queuedBucket := bucketOf(queued)
	volume := r.volumeRow(o.Volume)
	if volume.hash != 0 {
		volume.newUnits += o.Units
	} else {
		r.sketch.Add(hashOf(o.Volume), o.Units)
	}
	rows := [...]*rowState{
		r.namedRow(r.classes, o.Class, ByClass),
		r.namedRow(r.plans, o.Plan, ByPlan),
		r.nodeRow(o.Node),
		volume,
	}
	for _, row := range rows {
		row.idle = 0
		row.counts[o.RequestOutcome]++
		row.counts[MilliUnits] += milliUnits
		if o.RequestOutcome == Served {
			row.counts[MilliUnitsServed] += milliUnits
		}
		r.histogram(row, TotalLatency).add(totalBucket, total)
		r.histogram(row, QueueLatency).add(queuedBucket, queued)
	}
}

func (r *Registry) countAttempt(o *Observation) {
	micros := clampMicros(o.AttemptMicros)
	bucket := bucketOf(micros)
	rows := [...]*rowState{
		r.namedRow(r.classes, o.Class, ByClass),
		r.namedRow(r.plans, o.Plan, ByPlan),
		r.nodeRow(o.Node),
		r.volumeRow(o.Volume),
	}
	for _, row := range rows {
		row.idle = 0
		row.counts[Attempts]++
		row.counts[FirstAttemptOutcome+Counter(o.AttemptOutcome)]++
		r.histogram(row, AttemptLatency).add(bucket, micros)
	}
}

// toMilliUnits converts units to thousandths. To keep the sums exact, NaN and negative values count as 0, and values
// above maxUnits count as maxUnits.
func toMilliUnits(units float64) uint64 {
	if !(units > 0) {
		return 0
	}
	return uint64(min(units, maxUnits)*1000 + 0.5)
}

func (r *Registry) histogram(row *rowState, latency Latency) *Histogram {
	if row.histograms[latency] == nil {
		row.histograms[latency] = r.newHistogram()
	}
	return row.histograms[latency]
}

func (r *Registry) namedRow(rows map[string]*rowState, name string, dimension Dimension) *rowState {
	if row := rows[name]; row != nil {
		return row
	}
	return &r.others[dimension]
}

// nodeRow returns the row of a node, or the row None without a node. The row of an unlisted node is removed once its
// final value was reported. An attempt that ends after that counts in Other.
func (r *Registry) nodeRow(name string) *rowState {
	if name == "" {
		return &r.none
	}
	if row := r.nodes[name]; row != nil {
		return row
	}
	return &r.others[ByNode]
}

// volumeRow returns the row of a volume. A volume without a row gets a new row if there is room or if selectVolumes
// reserved a row for it. Otherwise it counts in Other.
func (r *Registry) volumeRow(name string) *rowState {
	hash := hashOf(name)
	if row := r.volumes[hash]; row != nil {
		return row
	}
	reserved := len(r.selected)
	if r.selected[hash] {
		reserved = 0
	}
	if len(r.volumes)+reserved >= r.maxVolumeRows() {
		return &r.others[ByVolume]
	}
	row := &rowState{name: truncateName(name), hash: hash, decayedUnits: r.sketch.LowerBound(hash)}
	r.volumes[hash] = row
	r.sketch.Remove(hash)
	delete(r.selected, hash)
	r.volumeChanges++
	return row
}

// addNode gives a listed node its row if there is room. Otherwise the node waits for a snapshot that removes a volume.
func (r *Registry) addNode(name string) {
	if row := r.nodes[name]; row != nil {
		row.removing = false
	}
	name = strings.Clone(name)
	r.listed[name] = true
	r.addNodeRow(name)
}

func (r *Registry) addNodeRow(name string) {
	if r.nodes[name] != nil || len(r.nodes) >= r.maxNodeRows() {
		return
	}
	if len(r.nodes)+len(r.volumes)+len(r.selected) < r.sharedRows {
		r.nodes[name] = &rowState{name: truncateName(name)}
	}
}

// waitingNodes returns how many listed nodes have no row although maxNodeRows would allow it.
func (r *Registry) waitingNodes() int {
	return max(0, min(len(r.listed), r.maxNodeRows())-len(r.nodes))
}
