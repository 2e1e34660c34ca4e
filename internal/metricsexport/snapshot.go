package metricsexport

import (
	"context"
	"sync/atomic"
	"time"

	"junctionwharf/broker"
	"junctionwharf/telemetry"
)

// snapshotTimeout is how long the loop may take to run the call that takes a snapshot. Higher, an overloaded broker's
// intervals end late; lower, they are merged with the next one, and its graphs have gaps.
const snapshotTimeout = time.Second

// takenSnapshot is a snapshot and the broker's own metrics of the same moment. Without a snapshot it is empty.
type takenSnapshot struct {
	snapshot *telemetry.Snapshot
	metrics  []broker.Metric
}

// takeSnapshot has the loop take a snapshot, and waits for it until ctx ends or snapshotTimeout is over. It is empty if
// there is no registry, or if the loop was late.
//
// A late loop must not take a snapshot that nobody reads: the counts of its interval would be lost. So either side
// claims the snapshot first; the loop that comes second takes none, and a waiter that comes second waits for the one
// that is being taken.
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

// snapshotOnLoop runs on the loop's goroutine.
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
