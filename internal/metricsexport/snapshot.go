package metricsexport

import (
	"context"
	"sync/atomic"
	"time"

	"junctionwharf/broker"
	"junctionwharf/telemetry"
)

// snapshotTimeout is the maximum time until the loop begins a requested snapshot. With a longer timeout, the intervals
// of an overloaded broker end late. With a shorter timeout, more intervals are merged with the next ones, and graphs
// have gaps.
const snapshotTimeout = time.Second

// takenSnapshot is a snapshot and the broker's own metrics at the same moment. If no snapshot was taken, it is empty.
type takenSnapshot struct {
	snapshot *telemetry.Snapshot
	metrics  []broker.Metric
}

// takeSnapshot makes the loop take a snapshot and waits for it until ctx ends or snapshotTimeout has passed. The result
// is empty if there is no registry or if the loop was too slow.
//
// A slow loop must not take a snapshot after takeSnapshot has returned, since the snapshot would not be read and the
// counts of its interval would be lost. So the loop and takeSnapshot compete to claim the snapshot. If takeSnapshot
// claims it first, the loop takes no snapshot. If the loop claims it first, takeSnapshot waits for the snapshot.
func (e *Exporter) takeSnapshot(ctx context.Context, previous *telemetry.Snapshot) takenSnapshot {
	result := make(chan takenSnapshot, 1)
	var claimed atomic.Bool
	e.options.Loop.Do(func() {
		if e.registry == nil || !claimed.CompareAndSwap(false, true) {
			result <- takenSnapshot{}
			return
		}
		result <- e.snapshotOnLoop(previous)
	})
	timeout := time.NewTimer(snapshotTimeout)
	defer timeout.Stop()
	select {
	case taken := <-result:
		return taken
	case <-ctx.Done():
	case <-timeout.C:
	}
	if claimed.CompareAndSwap(false, true) {
		return takenSnapshot{}
	}
	return <-result
}

// snapshotOnLoop takes a snapshot. It runs on the loop's goroutine.
func (e *Exporter) snapshotOnLoop(previous *telemetry.Snapshot) takenSnapshot {
	snapshot := e.registry.Snapshot(previous)
	volumeChanges := e.registry.VolumeChanges()
	metrics := e.options.Metrics()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rows = len(snapshot.Rows)
	e.volumeChanges = volumeChanges
	return takenSnapshot{snapshot: snapshot, metrics: metrics}
}
