package broker

import (
	"junctionwharf/scheduler"
	"junctionwharf/telemetry"
)

// send starts an attempt, or reports to the scheduler at once that it was not sent.
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

// maySend guards the storage nodes and the clients against a decision that events have overtaken: a request that is
// over or whose time is up, a second copy, a node that was removed from the list, or one of another shard.
func (s *State) maySend(r *requestState, a scheduler.Forward, node *nodeState) bool {
	if r.inFlight || r.answered || s.now >= r.deadline || a.Timeout < 0 {
		return false
	}
	if node == nil || node.address == "" {
		return false
	}
	return r.request.Shard < 0 || node.shard == r.request.Shard
}

// limitAttempt returns how long an attempt may take, and sets a timer where that is less than its client waits.
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

// limitIdempotency guards against a retry that runs twice. Nodes drop repeats of a request with an idempotency key
// for no longer than its class's window, which runs from the first attempt that may have run. The scheduler keeps to
// the window as it decides, but the connection may come up later than that: so what is not fully written by its end
// is cancelled.
func (s *State) limitIdempotency(r *requestState, id uint64) {
	at, limited := s.idempotencyEnd(r)
	if !limited {
		return
	}
	s.timers.Cancel(r.idempotencyTimer)
	r.idempotencyTimer = s.setTimer(at, timer{kind: idempotencyTimer, id: id, attempt: r.attempts - 1})
}

// idempotencyEnd reports until when a further attempt of a request may be sent, if its class limits that.
func (s *State) idempotencyEnd(r *requestState) (at Micros, limited bool) {
	if !r.mayHaveRun {
		return 0, false
	}
	for _, class := range s.scheduler.Classes() {
		if class.Name == r.request.Class {
			return r.mayHaveRunAt + MicrosOf(class.DedupWindow), class.Idempotency == scheduler.IdempotentWithKey
		}
	}
	return 0, false
}

// stopAttempt ends the attempt in flight.
func (s *State) stopAttempt(id uint64, r *requestState, reason scheduler.Outcome) {
	if !r.inFlight || r.stopped {
		return
	}
	r.stopped = true
	r.stopReason = reason
	s.emit(StopAttempt{ID: id, Number: r.attempts - 1})
}

// handleAttemptEnd handles the result of an attempt that ended by itself. One that comes after a stop, or after its
// request is over, is discarded.
func (s *State) handleAttemptEnd(e AttemptEnded) {
	r := s.requests[e.ID]
	if r == nil || !r.awaits(e.Attempt) || r.stopped {
		s.discard(e.Result.Value)
		return
	}
	outcome := e.Result.outcome()
	if r.answered && e.Result.Err != nil { // cancelled with its request: that it broke says nothing about the node
		outcome = scheduler.NotSent
		if e.Result.Err.Progress == FullyWritten {
			outcome = scheduler.Canceled
		}
	}
	s.endAttempt(e.ID, r, outcome, e.Result)
}

// handleAttemptStop handles how far an attempt came that was stopped.
func (s *State) handleAttemptStop(e AttemptStopped) {
	r := s.requests[e.ID]
	if r == nil || !r.awaits(e.Attempt) {
		return
	}
	outcome := r.stopReason
	if e.Progress != FullyWritten {
		outcome = scheduler.Unreachable // proved never to have run
	}
	s.endAttempt(e.ID, r, outcome, Result{Load: scheduler.NoLoadReport})
}

// endAttempt reports an attempt's one outcome to the scheduler and passes a served answer on.
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
		s.respond(id, r, Response{Verdict: Served, Value: result.Value})
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

// telemetryOutcomes maps an attempt's outcome to telemetry's. NotSent is one that was cancelled before it was sent.
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
	// waitsPerAttempt is how often an attempt waits for a processor here: to be written, for its answer to be seen,
	// read, and taken. If it were lower, a busy broker would take its own lag for slow nodes; if it were higher, it
	// would overlook them.
	waitsPerAttempt = 4
	// minNodeTimeDivisor leaves a node a tenth of the measured time, so that a lag that was measured too high never
	// makes an attempt look as if it had taken no time.
	minNodeTimeDivisor = 10
	// lagSmoothing is the divisor of a new measurement's weight in the mean: four measurements, about 40 ms. If it were
	// lower, a single pause would distort the latencies; if it were higher, the start of an overload would.
	lagSmoothing = 4
)

// timeAtNode takes out of an attempt's time what this process itself let it wait. It guards sound nodes against being
// thought slow, and given less load, where the broker has too much to do.
func (s *State) timeAtNode(took Micros) Micros {
	return max(took/minNodeTimeDivisor, took-waitsPerAttempt*s.schedulingLag)
}

func (s *State) handleLag(e LagMeasured) {
	s.schedulingLag += (e.Waited - s.schedulingLag) / lagSmoothing
	if e.Unknown {
		s.schedulingLag = 0
	}
}
