package broker

import (
	"sync/atomic"

	"junctionwharf/admission"
	"junctionwharf/telemetry"
)

// overload is the part of the loop's overload state that is read without a lock. The admission controller is guarded by
// inbox.mu instead, because the clients' goroutines call it.
type overload struct {
	maxOpen        int64         // admission.Settings.MaxOpenOverloaded, 0 for no bound
	lagWanted      chan struct{} // holds one token, so that signaling never blocks
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

// manyOpen is the number of open requests from which on the lag is measured: half of maxOpen. The bound maxOpen itself
// applies only while the broker lags.
func (o *overload) manyOpen() int64 { return max(1, o.maxOpen/2) }

// noteOpen asks for lag measurements when the number of open requests reaches manyOpen.
func (o *overload) noteOpen(open int64) {
	if open != o.manyOpen() || o.maxOpen <= 0 {
		return
	}
	select {
	case o.lagWanted <- struct{}{}:
	default:
	}
}

// Admit asks admission control for a decision on a request. It returns nil if the request is admitted. Otherwise it
// returns the final answer, and the request must not be submitted.
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

// Overloaded reports whether more requests are open than the processor can handle, so that a protocol server may reject
// a request before it reads the request. It takes no lock.
func (l *Loop) Overloaded() bool {
	return l.overload.maxOpen > 0 && l.overload.lagging.Load() && l.Metrics.open.Load() >= l.overload.maxOpen
}

// RejectOverload counts a request that a protocol server rejected unread because of Overloaded.
func (l *Loop) RejectOverload(class string) {
	l.overload.rejectedUnread.Store(true)
	l.CountRejection(class)
}

// CountRejection counts a request that a protocol server rejected without submitting it.
func (l *Loop) CountRejection(class string) {
	l.Metrics.received.Add(1)
	l.Metrics.rejected.Add(1)
	if known := l.Metrics.findClass(class); known != nil {
		known.rejected.Add(1)
	}
}

// SheddingLoad reports whether admission control is rejecting requests.
func (l *Loop) SheddingLoad() bool { return l.overload.shedding.Load() }

// RecordSchedulingLag reports to admission control how long runnable work in this process has waited for a processor
// since the last call. It is called at intervals. The delay of the loop's own queue is not a sufficient measure: Go
// first runs the goroutine that was woken last. This may be the loop, while hundreds of goroutines wait to read their
// input.
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
	// The event wakes an idle loop. The next event would otherwise have to wake it, and the time until the loop runs
	// would be recorded as lag.
	l.Post(LagMeasured{Waited: waited})
}

// LagMeasurementWanted returns a channel that receives a value when the number of open requests becomes so large that
// lag measurements should begin.
func (l *Loop) LagMeasurementWanted() <-chan struct{} { return l.overload.lagWanted }

// KeepMeasuringLag reports whether lag measurements should continue: many requests are open, the broker lags, or it
// sheds load.
func (l *Loop) KeepMeasuringLag() bool {
	return l.Metrics.open.Load() >= l.overload.manyOpen() || l.overload.lagging.Load() || l.overload.shedding.Load()
}

// SetLagMeasured sets whether RecordSchedulingLag will be called from now on. It drops earlier measurements.
func (l *Loop) SetLagMeasured(measuring bool) {
	l.inbox.mu.Lock()
	l.inbox.lag = 0
	l.inbox.mu.Unlock()
	if !measuring {
		l.Post(LagMeasured{Unknown: true})
	}
}
