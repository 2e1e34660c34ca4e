package metricsexport

import (
	"hash/maphash"
	"slices"
	"time"

	"junctionwharf/telemetry"
)

// applySinks starts, keeps and stops sinks as the settings require. It returns the time between snapshots: the greatest
// common divisor of the sinks' intervals, or 0 if no sink is enabled.
func (e *Exporter) applySinks(settings Settings) time.Duration {
	old := e.currentSinks()
	var sinks []*sink
	snapshotInterval := time.Duration(0)
	for _, wanted := range targets(settings, e.options.Name) {
		if e.testTargetHook != nil {
			e.testTargetHook(&wanted)
		}
		sinks = append(sinks, e.keepOrStart(old, wanted))
		snapshotInterval = greatestCommonDivisor(snapshotInterval, wanted.interval)
	}
	for _, s := range old {
		if !slices.Contains(sinks, s) {
			s.stop(time.Time{})
		}
	}
	e.mu.Lock()
	e.sinks = sinks
	e.mu.Unlock()
	enabled := len(sinks) > 0
	e.options.Loop.Do(func() { e.applyRegistry(enabled, settings.Registry) })
	return snapshotInterval
}

// keepOrStart returns the old sink for the target if there is one, or starts a new sink.
func (e *Exporter) keepOrStart(old []*sink, wanted target) *sink {
	for _, s := range old {
		if s.target.equal(wanted) {
			return s
		}
	}
	return newSink(wanted, e.options.Log, e.Notify, randomSeed())
}

// applyRegistry creates, changes or removes the registry. It runs on the loop's goroutine.
func (e *Exporter) applyRegistry(enabled bool, options telemetry.Options) {
	e.enabled = enabled
	if !enabled {
		e.registry = nil
		return
	}
	var err error
	if e.registry == nil {
		e.registry, err = telemetry.New(options)
	} else {
		err = e.registry.ApplyOptions(options)
	}
	if err != nil { // the settings were checked before: this protects against an incomplete check
		e.enabled = e.registry != nil
		e.options.Log.Error("series disabled", "reason", err)
	}
}

func randomSeed() uint64 { return new(maphash.Hash).Sum64() }

// greatestCommonDivisor returns the longest duration of which both a and b are multiples.
func greatestCommonDivisor(a, b time.Duration) time.Duration {
	for b > 0 {
		a, b = b, a%b
	}
	return a
}
