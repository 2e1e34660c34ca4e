package metricsexport

import (
	"context"
	"time"

	"junctionwharf/telemetry"
)

// run is the state of Exporter.Run; its goroutine owns it.
type run struct {
	exporter   *Exporter
	previous   *telemetry.Snapshot // the last snapshot, read and reset; the next snapshot reuses its memory
	timestamps telemetry.TimestampSequence
	summarizer *telemetry.Summarizer
	interval   time.Duration // time between snapshots; 0 while no sink is enabled
	ticker     *time.Ticker  // nil until the first sink is enabled
	ticks      <-chan time.Time
}

// Run sends metrics to the sinks until ctx ends or Shutdown is called. It must be called only once.
func (e *Exporter) Run(ctx context.Context) {
	e.started.Store(true)
	defer close(e.done)
	defer e.stopSinks(time.Time{})
	r := &run{exporter: e, summarizer: telemetry.NewSummarizer()}
	defer r.stopTicker()
	for {
		select {
		case <-ctx.Done():
			return
		case deadline := <-e.shutdown:
			r.shutdown(ctx, deadline)
			return
		case settings := <-e.settings:
			r.applySettings(settings)
		case notification := <-e.notifications:
			for _, s := range e.currentSinks() {
				s.notify(notification)
			}
		case <-r.ticks:
			r.export(ctx, false)
		}
	}
}

// applySettings changes the sinks and restarts the snapshot intervals. It drops the previous snapshot, since the
// registry may be a new one.
func (r *run) applySettings(settings Settings) {
	r.interval = r.exporter.applySinks(settings)
	r.previous = nil
	r.stopTicker()
	if r.interval > 0 {
		r.ticker = time.NewTicker(r.interval)
		r.ticks = r.ticker.C
	}
}

func (r *run) stopTicker() {
	if r.ticker != nil {
		r.ticker.Stop()
	}
	r.ticks = nil
}

// export takes a snapshot and merges it into each sink. The sinks whose interval is over encode the interval. If final
// is set, all sinks encode it.
func (r *run) export(ctx context.Context, final bool) {
	taken := r.exporter.takeSnapshot(ctx, r.previous)
	if taken.snapshot == nil {
		return // there is no registry, or the loop was too slow: the interval continues
	}
	r.previous = taken.snapshot
	timestamp, steppedBack := r.timestamps.Next(time.Now().Unix())
	if steppedBack {
		r.exporter.options.Log.Warn("clock stepped back")
	}
	metrics := append(taken.metrics, r.exporter.Metrics()...)
	for _, s := range r.exporter.currentSinks() {
		s.add(taken.snapshot, r.interval)
		if final || s.intervalOver() {
			s.encode(interval{
				broker:     r.exporter.options.Name,
				timestamp:  timestamp,
				metrics:    metrics,
				summarizer: r.summarizer,
			})
		}
	}
	taken.snapshot.Reset(yield)
}

// shutdown sends the interval in progress to all sinks and waits for them until the deadline.
func (r *run) shutdown(ctx context.Context, deadline time.Time) {
	sinks := r.exporter.currentSinks()
	if len(sinks) > 0 {
		r.export(ctx, true)
	}
	for _, s := range sinks {
		s.shutdown(deadline)
	}
	r.exporter.stopSinks(deadline)
}

// stopSinks stops all sinks, at the deadline at the latest.
func (e *Exporter) stopSinks(deadline time.Time) {
	for _, s := range e.currentSinks() {
		s.stop(deadline)
	}
}
