package broker

import (
	"maps"
	"slices"

	"junctionwharf/scheduler"
	"junctionwharf/telemetry"
	"junctionwharf/timingwheel"
)

// requestState tracks a request from its arrival until it is answered and has no attempt in flight.
type requestState struct {
	request   *Request
	arrivedAt Micros
	deadline  Micros
	answered  bool // the final answer was given, or the client has disconnected

	attempts    int    // attempts that the scheduler started, sent or not; the last attempt's number is one less
	node        string // node of the last attempt
	firstSentAt Micros // when the first attempt was sent; 0 before that
	sentAt      Micros // when the last attempt was sent
	inFlight    bool   // the last attempt has not ended
	stopped     bool   // the last attempt is being stopped; how much of it was written is not known yet
	stopReason  scheduler.Outcome
	checkAt     Micros // when the stop of the last attempt must have ended, 0 for no such time

	mayHaveRun   bool   // an ended attempt may have run
	mayHaveRunAt Micros // when the first attempt that may have run was sent

	deadlineTimer    timingwheel.Handle
	attemptTimer     timingwheel.Handle
	idempotencyTimer timingwheel.Handle
}

// awaits reports whether this attempt is in flight, so that its outcome is still expected.
func (r *requestState) awaits(attempt int) bool { return r.inFlight && r.attempts-1 == attempt }

// maxFreeRequests bounds the request states that are kept for reuse, which take about half a megabyte. With a smaller
// value, a busy broker would allocate a state for each request. With a larger value, the memory of a single peak would
// never be released.
const maxFreeRequests = 1 << 12

func (s *State) handleArrival(e RequestArrived) {
	request := e.Request
	at := s.now
	if e.At > 0 { // queued for this turn: the time in the queue counts against the client's timeout
		at = min(at, e.At)
	}
	r := s.newRequestState()
	*r = requestState{
		request:   request,
		arrivedAt: at,
		deadline:  max(s.now, at+max(0, request.Timeout)),
	}
	s.requests[e.ID] = r
	if s.shuttingDown { // the process may exit before an attempt would be answered
		s.conclude(e.ID, Response{Verdict: Rejected})
		return
	}
	r.deadlineTimer = s.setTimer(r.deadline, timer{kind: deadlineTimer, id: e.ID})
	s.notifyScheduler(scheduler.Request{
		ID:        e.ID,
		Class:     request.Class,
		Plan:      request.Plan,
		Key:       request.Key,
		Remaining: (r.deadline - s.now).Duration(),
		Volume:    request.Volume,
		Units:     request.Units,
		Shard:     request.Shard,
		Brokers:   request.Brokers,
		Retry:     request.Retry,
		Write:     request.Write,

		Generation: request.Generation,
	})
}

// newRequestState returns a request state, if possible a reused one. The caller sets all fields.
func (s *State) newRequestState() *requestState {
	last := len(s.freeRequests) - 1
	if last < 0 {
		return &requestState{}
	}
	r := s.freeRequests[last]
	s.freeRequests = s.freeRequests[:last]
	return r
}

// handleCancellation ends a request whose client has disconnected. If an attempt is in flight and its request is not
// fully written, the attempt is canceled.
func (s *State) handleCancellation(id uint64) {
	r := s.requests[id]
	if r == nil || r.answered {
		return
	}
	r.answered = true
	s.record(s.requestObservation(r, telemetry.Abandoned))
	s.notifyScheduler(scheduler.ClientGone{ID: id})
	if r.inFlight && !r.stopped {
		s.emit(CancelUnlessWritten{ID: id, Number: r.attempts - 1})
	}
	s.forget(id, r)
}

// handleShutdown ends all open requests as soon as possible, because the process is about to exit.
func (s *State) handleShutdown() {
	s.shuttingDown = true
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		s.answerNow(id)
	}
}

// answerNow ends a request as soon as possible:
//   - A request without any attempt is rejected.
//   - An attempt in flight is stopped. Its outcome determines the answer, as at the deadline.
//   - A request that waits for a retry fails.
func (s *State) answerNow(id uint64) {
	r := s.requests[id]
	if r == nil {
		return
	}
	if r.attempts == 0 && !r.answered {
		s.overrule(id, r, Rejected)
		return
	}
	s.handleDeadline(id, r)
}

// overrule gives a final answer that the scheduler did not decide on, and notifies the scheduler, which drops the
// request.
func (s *State) overrule(id uint64, r *requestState, verdict Verdict) {
	s.respond(id, r, Response{Verdict: verdict})
	s.notifyScheduler(scheduler.ClientGone{ID: id})
	s.forget(id, r)
}

// conclude gives the final answer that the scheduler decided on, or that was given before the scheduler received the
// request. The scheduler need not be notified. conclude does nothing for a request that is already answered.
func (s *State) conclude(id uint64, response Response) {
	if r := s.requests[id]; r != nil && !r.answered {
		s.respond(id, r, response)
		s.forget(id, r)
	}
}

// respond gives the final answer. A request gets at most one answer: no other function emits Respond, only
// handleCancellation also sets answered, and all callers check answered first.
func (s *State) respond(id uint64, r *requestState, response Response) {
	r.answered = true
	observation := s.requestObservation(r, verdictEnds[response.Verdict])
	if _, streams := response.Value.(Streaming); streams {
		s.streaming[id] = observation
	} else {
		s.record(observation)
	}
	s.emit(Respond{ID: id, Response: response})
}

// handleStreamEnd records the outcome of a request with a Streaming value.
func (s *State) handleStreamEnd(e StreamEnded) {
	observation, streams := s.streaming[e.ID]
	if !streams {
		return
	}
	delete(s.streaming, e.ID)
	if !e.Complete {
		observation.RequestOutcome = telemetry.Failed
	}
	s.record(observation)
}

// forget drops a request once it is answered and has no attempt in flight.
func (s *State) forget(id uint64, r *requestState) {
	if !r.answered || r.inFlight {
		return
	}
	s.timers.Cancel(r.deadlineTimer)
	s.timers.Cancel(r.attemptTimer)
	s.timers.Cancel(r.idempotencyTimer)
	delete(s.requests, id)
	// The state may be reused immediately. Events identify a request by its id, and ids are never reused, so no event
	// of this request can affect the state's next request.
	if len(s.freeRequests) < maxFreeRequests {
		*r = requestState{}
		s.freeRequests = append(s.freeRequests, r)
	}
}

// discard releases the resources of a value that no client will receive, such as a node's connection.
func (s *State) discard(value any) {
	if value != nil {
		s.emit(DiscardValue{Value: value})
	}
}

// verdictEnds maps verdicts to telemetry's request outcomes.
var verdictEnds = [...]telemetry.RequestOutcome{
	Served:   telemetry.Served,
	Rejected: telemetry.Rejected,
	Failed:   telemetry.Failed,
}

// requestObservation returns the observation for telemetry of a request that ends now.
func (s *State) requestObservation(r *requestState, end telemetry.RequestOutcome) telemetry.Observation {
	firstSentAt := r.firstSentAt
	if r.attempts == 0 || firstSentAt == 0 {
		firstSentAt = s.now
	}
	return telemetry.Observation{
		Kind:           telemetry.RequestEnded,
		RequestOutcome: end,
		Class:          r.request.Class,
		Plan:           r.request.Plan,
		Volume:         r.request.Volume,
		Node:           r.node,
		Units:          r.request.Units,
		TotalMicros:    int64(s.now - r.arrivedAt),
		QueueMicros:    int64(firstSentAt - r.arrivedAt),
	}
}
