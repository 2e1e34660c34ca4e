package broker

import (
	"junctionwharf/scheduler"
	"junctionwharf/telemetry"
)

// send starts an attempt, or reports to the scheduler immediately that the attempt was not sent.
func (s *State) send(a scheduler.Forward) {
	r := s.requests[a.ID]
	if r == nil {
		return
	}
	r.attempts++
	node := s.nodes[a.Node]
	if !s.maySend(r, a, node) {
		s.notifyScheduler(scheduler.AttemptEnded{
			ID:       a.ID,
			Attempt:  r.attempts - 1,
			Node:     a.Node,
			Outcome:  scheduler.NotSent,
			Finished: r.answered,
			Load:     scheduler.NoLoadReport,
		})
		return
	}
	timeout := s.limitAttempt(r, a)
	r.inFlight = true
	r.node = a.Node
	r.sentAt = s.now
	if r.firstSentAt == 0 {
		r.firstSentAt = s.now
	}
	s.limitIdempotency(r, a.ID)
	s.emit(StartAttempt{ID: a.ID, Number: r.attempts - 1, Attempt: Attempt{
		Node:    a.Node,
		Address: node.address,
		Request: r.request,
		Timeout: timeout,
	}})
}

// maySend reports whether an attempt may still be sent. It checks this again, because events may have occurred since
// the scheduler's decision. An attempt may not be sent if the request is answered, past its deadline or already in
// flight, if the scheduler's timeout for the attempt is negative, or if the node has no address, was removed from the
// list or is in another shard than the request.
func (s *State) maySend(r *requestState, a scheduler.Forward, node *nodeState) bool {
	if r.inFlight || r.answered || s.now >= r.deadline || a.Timeout < 0 {
		return false
	}
	if node == nil || node.address == "" {
		return false
	}
	return r.request.Shard < 0 || node.shard == r.request.Shard
}

// limitAttempt returns the timeout of an attempt. It sets a timer if the timeout ends before the request's deadline.
func (s *State) limitAttempt(r *requestState, a scheduler.Forward) Micros {
	timeout := r.deadline - s.now
	if a.Timeout <= 0 || MicrosOf(a.Timeout) >= timeout {
		return timeout
	}
	timeout = MicrosOf(a.Timeout)
	s.timers.Cancel(r.attemptTimer)
	r.attemptTimer = s.setTimer(s.now+timeout, timer{kind: attemptTimer, id: a.ID, attempt: r.attempts - 1})
	return timeout
}

// limitIdempotency prevents a request from being executed twice because of a retry. Nodes drop repeats of a request
// with an idempotency key only within its class's window, which starts with the first attempt that may have run. The
// scheduler allows a retry only within the window, but the connection may be established later. Therefore a timer
// cancels the attempt at the end of the window unless the request is fully written by then.
func (s *State) limitIdempotency(r *requestState, id uint64) {
	at, limited := s.idempotencyEnd(id, r)
	if !limited {
		return
	}
	s.timers.Cancel(r.idempotencyTimer)
	r.idempotencyTimer = s.setTimer(at, timer{kind: idempotencyTimer, id: id, attempt: r.attempts - 1})
}

// idempotencyEnd returns the time until which a request may be sent again. limited is false if there is no such limit:
// if no attempt can have run yet, or if the request's class is not idempotent with a key.
func (s *State) idempotencyEnd(id uint64, r *requestState) (at Micros, limited bool) {
	if !r.mayHaveRun {
		return 0, false
	}
	class, known := s.scheduler.ClassOf(id)
	return r.mayHaveRunAt + MicrosOf(class.DedupWindow), known && class.Idempotency == scheduler.IdempotentWithKey
}

// stopAttempt stops the attempt in flight. The loop then reports with AttemptStopped how much was written.
func (s *State) stopAttempt(id uint64, r *requestState, reason scheduler.Outcome) {
	if !r.inFlight || r.stopped {
		return
	}
	r.stopped = true
	r.stopReason = reason
	s.emit(StopAttempt{ID: id, Number: r.attempts - 1})
}

// handleAttemptEnd handles the result of an attempt that ended without being stopped. A result is discarded if the
// attempt was stopped or is no longer the attempt in flight, or if its request is no longer tracked.
func (s *State) handleAttemptEnd(e AttemptEnded) {
	r := s.requests[e.ID]
	if r == nil || !r.awaits(e.Attempt) || r.stopped {
		s.discard(e.Result.Value)
		return
	}
	outcome := e.Result.outcome()
	if r.answered && e.Result.Err != nil { // the attempt was canceled because its request ended: no fault of the node
		outcome = scheduler.NotSent
		if e.Result.Err.Progress == FullyWritten {
			outcome = scheduler.Canceled
		}
	}
	s.endAttempt(e.ID, r, outcome, e.Result)
}

// handleAttemptStop handles the end of an attempt that was stopped. The event reports how much of the request was
// written.
func (s *State) handleAttemptStop(e AttemptStopped) {
	r := s.requests[e.ID]
	if r == nil || !r.awaits(e.Attempt) {
		return
	}
	outcome := r.stopReason
	if e.Progress != FullyWritten {
		outcome = scheduler.Unreachable // the attempt cannot have run
	}
	s.endAttempt(e.ID, r, outcome, Result{Load: scheduler.NoLoadReport})
}

// endAttempt reports the outcome of an attempt to telemetry and the scheduler, and answers the request if the attempt
// succeeded.
func (s *State) endAttempt(id uint64, r *requestState, outcome scheduler.Outcome, result Result) {
	r.inFlight = false
	r.stopped = false
	if !r.mayHaveRun && outcome.MayHaveExecuted() {
		r.mayHaveRun = true
		r.mayHaveRunAt = r.sentAt
	}
	s.record(telemetry.Observation{
		Kind:           telemetry.AttemptEnded,
		AttemptOutcome: telemetryOutcomes[outcome],
		Class:          r.request.Class,
		Plan:           r.request.Plan,
		Volume:         r.request.Volume,
		Node:           r.node,
		Units:          r.request.Units,
		AttemptMicros:  int64(s.now - r.sentAt),
	})
	if outcome == scheduler.Success && !r.answered {
		s.respond(id, r, s.successResponse(id, result))
	} else {
		s.discard(result.Value)
	}
	s.notifyScheduler(scheduler.AttemptEnded{
		ID:              id,
		Attempt:         r.attempts - 1,
		Node:            r.node,
		Outcome:         outcome,
		Latency:         s.timeAtNode(s.now - r.sentAt).Duration(),
		Finished:        r.answered,
		RateUsed:        result.RateUsed,
		ServedElsewhere: result.ServedElsewhere,
		Load:            result.Load,
	})
	s.forget(id, r)
}

// successResponse returns the final answer to a request that a node has served. Without the value, the client may send
// the request again only if its class is idempotent.
func (s *State) successResponse(id uint64, result Result) Response {
	if !result.ValueDiscarded {
		return Response{Verdict: Served, Value: result.Value}
	}
	if class, known := s.scheduler.ClassOf(id); known && class.Idempotency == scheduler.Idempotent {
		return Response{Verdict: Rejected}
	}
	return Response{Verdict: Failed}
}

// telemetryOutcomes maps scheduler outcomes to telemetry's. NotSent is the outcome of an attempt that was canceled
// before it was sent.
var telemetryOutcomes = [...]telemetry.AttemptOutcome{
	scheduler.Success:          telemetry.Success,
	scheduler.Failure:          telemetry.Failure,
	scheduler.Overloaded:       telemetry.Overloaded,
	scheduler.TimedOut:         telemetry.TimedOut,
	scheduler.Unreachable:      telemetry.Unreachable,
	scheduler.ConnectionBroken: telemetry.ConnectionBroken,
	scheduler.Canceled:         telemetry.Canceled,
	scheduler.NotSent:          telemetry.Canceled,
}

const (
	// waitsPerAttempt is how many times an attempt waits for a processor in this process: to write the request, to
	// notice the answer, to read it and to handle it. With a smaller value, a busy broker would take its own lag for
	// slow nodes. With a larger value, it would overlook slow nodes.
	waitsPerAttempt = 4
	// minNodeTimeDivisor keeps at least a tenth of the measured time as the node's time. Without it, an attempt would
	// seem to have taken no time if the lag was measured too high.
	minNodeTimeDivisor = 10
	// lagSmoothing is the inverse of a measurement's weight in the mean lag. The mean covers about four measurements,
	// or 40 ms. With a smaller value, a single pause would distort the latencies. With a larger value, the start of an
	// overload would distort them.
	lagSmoothing = 4
)

// timeAtNode subtracts from an attempt's duration the time for which the attempt waited for a processor in this
// process. Otherwise an overloaded broker would consider healthy nodes slow and send them less load.
func (s *State) timeAtNode(took Micros) Micros {
	return max(took/minNodeTimeDivisor, took-waitsPerAttempt*s.schedulingLag)
}

func (s *State) handleLag(e LagMeasured) {
	s.schedulingLag += (e.Waited - s.schedulingLag) / lagSmoothing
	if e.Unknown {
		s.schedulingLag = 0
	}
}
