package daemon

import (
	"context"
	"runtime/metrics"
	"time"

	"junctionwharf/admission"
	"junctionwharf/broker"
)

// latencyMetric is the Go runtime's histogram of the time that runnable goroutines waited for a processor, in seconds.
const latencyMetric = "/sched/latencies:seconds"

// lagMeter reads the scheduling lag from the Go runtime.
type lagMeter struct {
	sample []metrics.Sample
	before []uint64 // the histogram's counts at the last read
}

// read returns the mean lag since the last read, or 0 if no goroutine was scheduled. Each wait is counted with the
// lower bound of its histogram bucket.
func (m *lagMeter) read() broker.Micros {
	if m.sample == nil {
		m.sample = []metrics.Sample{{Name: latencyMetric}}
	}
	metrics.Read(m.sample)
	if m.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0 // this version of the runtime lacks the metric
	}
	histogram := m.sample[0].Value.Float64Histogram()
	if m.before == nil {
		m.before = make([]uint64, len(histogram.Counts))
	}
	sum := 0.0 // seconds
	waits := uint64(0)
	for i, count := range histogram.Counts {
		if added := count - m.before[i]; added > 0 {
			waits += added
			sum += float64(added) * max(0, histogram.Buckets[i]) // the first bucket begins at minus infinity
		}
		m.before[i] = count
	}
	if waits == 0 {
		return 0
	}
	return broker.Micros(sum / float64(waits) * float64(broker.Second))
}

// watchLag reports the scheduling lag to admission control until ctx ends. Unless always is set, it starts to measure
// when many requests are open. It stops when few requests are open and the broker neither lags nor sheds load, so that
// an idle broker is not woken up.
func watchLag(ctx context.Context, loop *broker.Loop, always bool) {
	for {
		if !always {
			select {
			case <-ctx.Done():
				return
			case <-loop.LagMeasurementWanted():
			}
		}
		if !measureLag(ctx, loop, always) {
			return
		}
	}
}

// measureLag reports the lag until the loop no longer needs it, or until ctx ends if always is set. It returns false if
// ctx ended.
func measureLag(ctx context.Context, loop *broker.Loop, always bool) bool {
	var meter lagMeter
	meter.read() // discards the waits before this call
	loop.SetLagMeasured(true)
	ticker := time.NewTicker(time.Duration(admission.DefaultWindow) * time.Microsecond)
	defer ticker.Stop()
	for always || loop.KeepMeasuringLag() {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
			loop.RecordSchedulingLag(meter.read())
		}
	}
	loop.SetLagMeasured(false)
	return true
}
