package scheduler

import (
	"log/slog"
	"time"
)

// handleArrival computes the first arrival, the deadlines and the value of a request, and queues the request.
// A request of a class or plan that its settings do not name fails at once. All other requests are queued.
// A request whose ID is already in use is ignored. A request of a new volume is rejected if there is no room
// for the volume.
func (s *Scheduler) handleArrival(e Request) {
	if s.requests[e.ID] != nil {
		return
	}
	s.budget.recordRequest(s.now)
	table := s.tableOf(e.Generation)
	class, plan := table.classes[e.Class], table.plans[e.Plan]
	if class == nil || plan == nil {
		s.log(messageUnknownClass, slog.String("class", e.Class), slog.String("plan", e.Plan))
		s.emit(Fail{ID: e.ID})
		return
	}
	if !s.hasRoomFor(e.Volume) {
		s.emit(Reject{ID: e.ID, After: s.retryAfter()})
		return
	}
	r := &request{Request: e, class: class, limited: plan.Limit > 0, deadline: s.now + e.Remaining}
	s.requests[e.ID] = r
	earlier, known := s.unserved[retryKey{e.Class, e.Volume, e.Key, e.Units}]
	r.firstArrival = firstArrival(s.now, &r.Request, class.Deadline, earlier, known)
	r.softDeadline = min(r.firstArrival+class.LatencyObjective, r.deadline)
	r.volume = s.volumeFor(&r.Request, plan)
	r.volume.openRequests++
	r.volume.arrivedUnits += e.Units
	r.valueShare = s.valueShare(r.volume, e.Units)
	r.value = class.PriorityWeight * plan.Price * r.valueShare
	s.joinKeyQueue(r)
	s.enqueue(r)
}

// retryKey identifies an unserved request and the client's retries of it, which have equal fields. It does
// not name the client: equal requests of different clients have the same retryKey.
type retryKey struct {
	class, volume, key string
	units              float64
}

// unservedRecord describes a request that was not served, so that the client's retry keeps its first arrival.
type unservedRecord struct {
	firstArrival Time
	expires      Time // when a client that waits for the class's deadline gives up
}

// firstArrival estimates the time at which a client first sent a request. The latency objective starts there.
// There are three cases:
//   - The request equals an unserved request, and its deadline is not later than that record expires: it is
//     treated as a retry and keeps the first arrival of the unserved request.
//   - Otherwise, the request is marked as a retry: the client is assumed to have waited already for the
//     class's deadline minus the remaining time.
//   - Any other request is treated as new. If little time remains, the client uses a short timeout.
//
// The result is wrong if two clients send equal requests at the same time.
func firstArrival(now Time, e *Request, deadline time.Duration, earlier unservedRecord, known bool) Time {
	if known && now+e.Remaining <= earlier.expires {
		return earlier.firstArrival
	}
	if e.Retry {
		return min(now, now+e.Remaining-deadline)
	}
	return now
}

// enqueue queues a request at its shard, or a new object at the shard that placeNewObject chooses. If no node
// is a candidate, a new object is queued at shard -1.
func (s *Scheduler) enqueue(r *request) {
	id := r.Shard
	if id < 0 {
		id = s.placeNewObject(r)
	}
	s.enqueueAt(s.shardByID(id), r)
}
