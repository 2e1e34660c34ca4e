package broker

import (
	"sync/atomic"

	"junctionwharf/admission"
	"junctionwharf/telemetry"
)

// overload is what the loop knows of its own overload without a lock. Admission control itself is guarded by
// inbox.mu, since goroutines of clients call it.
type overload struct {
	maxOpen        int64         // admission.Settings.MaxOpenOverloaded, 0 for none
	lagWanted      chan struct{} // holds one token, so that signalling never blocks
	lagging        atomic.Bool   // the scheduling lag is above admission.OverloadLag
	shedding       atomic.Bool   // admission control rejects requests
	rejectedUnread atomic.Bool   // RejectOverload was called since the last RecordSchedulingLag
}

func (o *overload) init(controller *admission.Controller) {
	if controller != nil {
		o.maxOpen = int64(controller.MaxOpenOverloaded())
	}
	o.lagWanted = make(chan struct{}, 1)
}

// manyOpen is how many open requests justify measuring the lag: half of the bound that depends on it.
func (o *overload) manyOpen() int64 { return max(1, o.maxOpen/2) }

// noteOpen asks for measurements when the open requests have become many.
func (o *overload) noteOpen(open int64) {
	if open != o.manyOpen() || o.maxOpen <= 0 {
		return
	}
	select {
	case o.lagWanted <- struct{}{}:
	default:
	}
}

// Admit has admission control decide on a request. What it rejects has its final answer, which is returned, and must
// not be submitted; nil lets it in.
func (l *Loop) Admit(request *Request) *Response {
	if l.dependencies.Admission == nil {
		return nil
	}
	admissionRequest := admission.Request{
		Class:   request.Class,
		Plan:    request.Plan,
		Volume:  request.Volume,
		Units:   request.Units,
		Brokers: request.Brokers,
		Wait:    int64(request.Timeout),
	}
	now := int64(l.clock.Now())
	open := l.OpenRequests()
	l.inbox.mu.Lock()
	reason, retryAfter := l.dependencies.Admission.Admit(now, open, &admissionRequest)
	if reason != admission.Admitted && len(l.inbox.rejections) < maxQueuedRejections && l.dependencies.Observe != nil {
		l.inbox.rejections = append(l.inbox.rejections, telemetry.Observation{
			Kind:           telemetry.RequestEnded,
			RequestOutcome: telemetry.Rejected,
			Class:          request.Class,
			Plan:           request.Plan,
			Volume:         request.Volume,
			Units:          request.Units,
		})
	}
	l.inbox.mu.Unlock()
	if reason == admission.Admitted {
		return nil
	}
	l.Metrics.received.Add(1)
	l.Metrics.rejected.Add(1)
	l.Metrics.countResponse(request.Class, Rejected)
	return &Response{Verdict: Rejected, RetryAfter: Micros(retryAfter)}
}

// Overloaded reports whether more requests wait than the processor can do, so that a protocol server may reject one
// before it reads it. It takes no lock.
func (l *Loop) Overloaded() bool {
	return l.overload.maxOpen > 0 && l.overload.lagging.Load() && l.Metrics.open.Load() >= l.overload.maxOpen
}

// RejectOverload counts a request that was rejected unread because of Overloaded.
func (l *Loop) RejectOverload(class string) {
	l.overload.rejectedUnread.Store(true)
	l.Metrics.received.Add(1)
	l.Metrics.rejected.Add(1)
	if known := l.Metrics.findClass(class); known != nil {
		known.rejected.Add(1)
	}
}

// SheddingLoad reports whether admission control rejects requests.
func (l *Loop) SheddingLoad() bool { return l.overload.shedding.Load() }

// RecordSchedulingLag tells admission control, from time to time, for how long whatever could run waited for a
// processor meanwhile. The loop's own queue says less: Go runs next what was woken last, which may be the loop, while
// hundreds wait to read what has come.
func (l *Loop) RecordSchedulingLag(waited Micros) {
	l.inbox.mu.Lock()
	if controller := l.dependencies.Admission; controller != nil {
		if l.overload.rejectedUnread.Swap(false) {
			controller.RecordOverload()
		}
		controller.RecordLag(int64(l.clock.Now()), int64(max(waited, l.inbox.lag)))
		l.overload.lagging.Store(controller.Overloaded())
		l.overload.shedding.Store(controller.Shedding())
	}
	l.inbox.lag = 0
	l.inbox.mu.Unlock()
	// It wakes an idle loop: else this would wait for the next event, and count as its lag.
	l.Post(LagMeasured{Waited: waited})
}

// LagMeasurementWanted signals each time many requests have come to be open at once, so that somebody may begin to
// measure.
func (l *Loop) LagMeasurementWanted() <-chan struct{} { return l.overload.lagWanted }

// KeepMeasuringLag reports whether to go on measuring: many requests are open, or work lately waited for a
// processor.
func (l *Loop) KeepMeasuringLag() bool {
	return l.Metrics.open.Load() >= l.overload.manyOpen() || l.overload.lagging.Load() || l.overload.shedding.Load()
}

// SetLagMeasured reports that RecordSchedulingLag will be called from now on, or not any more: what was known before
// counts no longer.
func (l *Loop) SetLagMeasured(measuring bool) {
	l.inbox.mu.Lock()
	l.inbox.lag = 0
	l.inbox.mu.Unlock()
	if !measuring {
		l.Post(LagMeasured{Unknown: true})
	}
}
