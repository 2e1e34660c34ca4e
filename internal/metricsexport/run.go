package metricsexport

import (
	"context"
	"time"

	"junctionwharf/telemetry"
)

// run is the state of Exporter.Run; its goroutine owns it.
type run struct {
	exporter   *Exporter
	previous   *telemetry.Snapshot // read and reset, its memory is used for the next one
	timestamps telemetry.TimestampSequence
	summarizer *telemetry.Summarizer
	interval   time.Duration // between snapshots; 0 while no sink is on
	ticker     *time.Ticker  // nil until a sink is on
	ticks      <-chan time.Time
}

// Run sends to the sinks until ctx ends or Shutdown was called. It is called once.
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

// applySettings changes the sinks and begins intervals anew: the registry may be another one, so nothing of an older
// snapshot is used again.
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

// export takes a snapshot and hands it to the sinks. A sink whose interval is over encodes it; with final, all do.
func (r *run) export(ctx context.Context, final bool) {
	taken := r.exporter.takeSnapshot(ctx, r.previous)
	if taken.snapshot == nil {
		return // the loop had no time: the interval goes on
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

// shutdown sends the interval in progress to all sinks, and waits for them until the deadline.
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

// stopSinks ends all sinks, at the deadline at the latest.
func (e *Exporter) stopSinks(deadline time.Time) {
	for _, s := range e.currentSinks() {
		s.stop(deadline)
	}
}
