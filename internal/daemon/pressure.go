package daemon

import (
	"context"
	"runtime/metrics"
	"time"

	"junctionwharf/admission"
	"junctionwharf/broker"
)

// pressure reads from Go's runtime for how long goroutines that could run waited for a processor.
type pressure struct {
	sample []metrics.Sample
	before []uint64
}

const waitsMetric = "/sched/latencies:seconds"

// waited is the mean since the last call, 0 if none ran. Of an interval of the histogram its lower end counts.
func (p *pressure) waited() broker.Micros {
	if p.sample == nil {
		p.sample = []metrics.Sample{{Name: waitsMetric}}
	}
	metrics.Read(p.sample)
	if p.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0 // this runtime does not tell
	}
	h := p.sample[0].Value.Float64Histogram()
	if p.before == nil {
		p.before = make([]uint64, len(h.Counts))
	}
	sum, n := 0.0, uint64(0)
	for i, count := range h.Counts {
		if more := count - p.before[i]; more > 0 {
			n += more
			sum += float64(more) * max(0, h.Buckets[i]) // the first begins at minus infinity
		}
		p.before[i] = count
	}
	if n == 0 {
		return 0
	}
	return broker.Micros(sum / float64(n) * 1e6)
}

// watchPressure tells admission control how long work waits, until ctx ends. Unless it is to be known always, it measures only from when
// many requests wait at once until nothing waits for the processor any more: an idle broker is not woken for it.
func watchPressure(ctx context.Context, loop *broker.Loop, always bool) {
	for {
		if !always {
			select {
			case <-ctx.Done():
				return
			case <-loop.LagMeasurementWanted():
			}
		}
		var p pressure
		p.waited()
		loop.SetLagMeasured(true)
		tick := time.NewTicker(time.Duration(admission.DefaultWindow) * time.Microsecond)
		for always || loop.KeepMeasuringLag() {
			select {
			case <-ctx.Done():
				tick.Stop()
				return
			case <-tick.C:
				loop.RecordSchedulingLag(p.waited())
			}
		}
		tick.Stop()
		loop.SetLagMeasured(false)
	}
}
