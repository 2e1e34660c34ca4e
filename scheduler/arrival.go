package scheduler

import (
	"log/slog"
	"time"
)

// handleArrival takes a request and rejects none: it works out since when its client waits, by when it is
// due and what it is worth, and queues it. A request of an unknown class or plan fails at once.
func (s *Scheduler) handleArrival(e Request) {
	if s.requests[e.ID] != nil {
		return
	}
	s.budget.recordRequest(s.now)
	class, plan := s.classes[e.Class], s.plans[e.Plan]
	if class == nil || plan == nil {
		s.log(messageUnknownClass, slog.String("class", e.Class), slog.String("plan", e.Plan))
		s.emit(Fail{ID: e.ID})
		return
	}
	r := &request{Request: e, class: class, deadline: s.now + e.Remaining}
	s.requests[e.ID] = r
	earlier, known := s.unserved[retryKey{e.Class, e.Volume, e.Key, e.Units}]
	r.firstArrival = firstArrival(s.now, &r.Request, class.Deadline, earlier, known)
	r.softDeadline = min(r.firstArrival+class.LatencyObjective, r.deadline)
	r.volume = s.volumeFor(&r.Request, plan)
	r.volume.arrivedUnits += e.Units
	r.valueShare = s.valueShare(r.volume, e.Units)
	r.value = class.PriorityWeight * plan.Price * r.valueShare
	s.joinKeyQueue(r)
	s.enqueue(r)
}

// retryKey is what the requests of a client for one thing have in common.
type retryKey struct {
	class, volume, key string
	units              float64
}

// unservedRecord remembers a request that was not served, so that the client's retry keeps its first arrival
// time.
type unservedRecord struct {
	firstArrival Time
	expires      Time // the client gives up
}

// firstArrival is when a client first asked: the latency objective runs from there. A request like an
// unserved one, within the time that its client had left, is taken for its retry; one that only says
// it is a retry has used up what is missing of its class's deadline. Any other with little time left comes
// from an impatient client. It errs where two clients ask for the same thing at once.
func firstArrival(now Time, e *Request, deadline time.Duration, earlier unservedRecord, known bool) Time {
	if known && now+e.Remaining <= earlier.expires {
		return earlier.firstArrival
	}
	if e.Retry {
		return min(now, now+e.Remaining-deadline)
	}
	return now
}

// enqueue queues a request at its shard, or for a new object at the shard where it will wait least.
func (s *Scheduler) enqueue(r *request) {
	id := r.Shard
	if id < 0 {
		id = s.placeNewObject(r)
	}
	s.enqueueAt(s.shardByID(id), r)
}
