package daemon

import (
	"context"
	"runtime/metrics"
	"time"

	"junctionwharf/admission"
	"junctionwharf/broker"
)

// latencyMetric is Go's histogram of how long goroutines that could run waited for a processor, in seconds.
const latencyMetric = "/sched/latencies:seconds"

// lagMeter reads the scheduling lag from Go's runtime.
type lagMeter struct {
	sample []metrics.Sample
	before []uint64 // the histogram's counts at the last read
}

// read is the mean lag since the last read, 0 if no goroutine ran. Of a bucket of the histogram its lower bound counts.
func (m *lagMeter) read() broker.Micros {
	if m.sample == nil {
		m.sample = []metrics.Sample{{Name: latencyMetric}}
	}
	metrics.Read(m.sample)
	if m.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0 // this runtime has no such metric
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
			sum += float64(added) * max(0, histogram.Buckets[i]) // the first begins at minus infinity
		}
		m.before[i] = count
	}
	if waits == 0 {
		return 0
	}
	return broker.Micros(sum / float64(waits) * float64(broker.Second))
}

// watchLag reports the scheduling lag to admission control, until ctx ends. Unless it is wanted always, it measures
// only from when many requests wait at once until nothing waits for the processor any more: an idle broker is not
// woken for it.
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

// measureLag reports the lag for as long as it is wanted; false if ctx ended.
func measureLag(ctx context.Context, loop *broker.Loop, always bool) bool {
	var meter lagMeter
	meter.read() // what came before does not count
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
