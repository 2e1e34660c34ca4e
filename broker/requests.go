package broker

import (
	"maps"
	"slices"

	"junctionwharf/scheduler"
	"junctionwharf/telemetry"
	"junctionwharf/timingwheel"
)

// requestState is a request from its arrival until it is answered and no attempt is in flight.
type requestState struct {
	request   *Request
	arrivedAt Micros
	deadline  Micros
	answered  bool // the final answer was given, or the client has disconnected

	attempts    int    // sent so far; the last one's number is one less
	node        string // where the last attempt was sent
	firstSentAt Micros // when the first attempt was sent, 0 before
	sentAt      Micros // when the last one was
	inFlight    bool   // the last attempt has not ended
	stopped     bool   // it is being stopped, and how far it came is not known yet
	stopReason  scheduler.Outcome

	mayHaveRun   bool
	mayHaveRunAt Micros // when the first attempt that may have run was sent

	deadlineTimer    timingwheel.Handle
	attemptTimer     timingwheel.Handle
	idempotencyTimer timingwheel.Handle
}

// awaits reports whether the outcome of this attempt is still to come.
func (r *requestState) awaits(attempt int) bool { return r.inFlight && r.attempts-1 == attempt }

// maxFreeRequests bounds the request states that are kept for later requests: about half a megabyte. If it were
// lower, a busy broker would allocate one for each request; if it were higher, memory of one peak would never be
// given back.
const maxFreeRequests = 1 << 12

func (s *State) handleArrival(e RequestArrived) {
	request := e.Request
	at := s.now
	if e.At > 0 { // it waited for this turn: its client's time, and what is told to the scheduler, is less by that
		at = min(at, e.At)
	}
	r := s.newRequestState()
	*r = requestState{
		request:   request,
		arrivedAt: at,
		deadline:  max(s.now, at+max(0, request.Timeout)),
	}
	s.requests[e.ID] = r
	if s.shuttingDown { // nobody would be left to answer it
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
	})
}

// newRequestState returns one that is over, if there is one, for the caller to fill.
func (s *State) newRequestState() *requestState {
	last := len(s.freeRequests) - 1
	if last < 0 {
		return &requestState{}
	}
	r := s.freeRequests[last]
	s.freeRequests = s.freeRequests[:last]
	return r
}

// handleCancellation ends a request whose client has disconnected. Its attempt's connection may come up later: what
// nobody waits for is not sent on.
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

// handleShutdown answers all that is still due, for the process ends.
func (s *State) handleShutdown() {
	s.shuttingDown = true
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		s.answerNow(id)
	}
}

// answerNow answers a request now: an attempt in flight is stopped, and what was never sent is rejected.
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

// overrule gives a final answer in the scheduler's stead, which forgets the request.
func (s *State) overrule(id uint64, r *requestState, verdict Verdict) {
	s.respond(id, r, Response{Verdict: verdict})
	s.notifyScheduler(scheduler.ClientGone{ID: id})
	s.forget(id, r)
}

// conclude gives the scheduler's own final answer.
func (s *State) conclude(id uint64, response Response) {
	if r := s.requests[id]; r != nil && !r.answered {
		s.respond(id, r, response)
		s.forget(id, r)
	}
}

// respond gives the final answer. It guards the promise of one answer a request: every answer passes here, answered is
// set nowhere else but for a client that has disconnected, and all callers check it first.
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

// handleStreamEnd records how a request with a Streaming value ended.
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

// forget drops a request that is over.
func (s *State) forget(id uint64, r *requestState) {
	if !r.answered || r.inFlight {
		return
	}
	s.timers.Cancel(r.deadlineTimer)
	s.timers.Cancel(r.attemptTimer)
	s.timers.Cancel(r.idempotencyTimer)
	delete(s.requests, id)
	// The state may be used again at once: events name a request by its id, which does not come again, so that none of
	// this request can meet the next one's.
	if len(s.freeRequests) < maxFreeRequests {
		*r = requestState{}
		s.freeRequests = append(s.freeRequests, r)
	}
}

// discard releases what a value holds, such as a node's connection, when no client receives it.
func (s *State) discard(value any) {
	if value != nil {
		s.emit(DiscardValue{Value: value})
	}
}

// verdictEnds maps a verdict to telemetry's.
var verdictEnds = [...]telemetry.RequestOutcome{
	Served:   telemetry.Served,
	Rejected: telemetry.Rejected,
	Failed:   telemetry.Failed,
}

// requestObservation is what telemetry is told of a request that ends now.
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
