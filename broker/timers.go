package broker

import (
	"junctionwharf/scheduler"
	"junctionwharf/timingwheel"
)

// timerKind is the purpose of a timer.
type timerKind int

const (
	schedulerTimer   timerKind = iota // set by the scheduler
	attemptTimer                      // the attempt's timeout, if the scheduler set one; currently no rule does
	idempotencyTimer                  // end of the idempotency window: from then on, nodes no longer drop repeats
	deadlineTimer                     // the client's deadline
)

// timer is an entry of the loop's timing wheel.
type timer struct {
	kind    timerKind
	id      uint64 // the request's id, or the token of a schedulerTimer
	attempt int    // the attempt's number, for an attemptTimer or idempotencyTimer
}

// answerGrace is how long a request whose attempt was stopped stays open for the outcome of the attempt and the
// scheduler's answer: 5 ms after the deadline or the call of answerNow. If the attempt has ended by then without an
// answer, the request fails. With a smaller value, requests that answerNow ends and whose attempt never ran
// could fail instead of being rejected. With a larger value, clients could wait longer past their deadlines.
const answerGrace Micros = 5000

func (s *State) setTimer(at Micros, t timer) timingwheel.Handle { return s.timers.Set(int64(at), t) }

// fireTimers fires all timers that are due, and reports whether it did. If one causes a panic, its request fails.
func (s *State) fireTimers() (done bool) {
	var t timer
	defer s.contain(func() {
		if t.kind != schedulerTimer {
			s.abandonRequest(t.id)
		}
	})
	for {
		next, _, due := s.timers.Pop(int64(s.now))
		if !due {
			return true
		}
		t = next
		s.fire(t)
	}
}

func (s *State) fire(t timer) {
	if t.kind == schedulerTimer {
		s.notifyScheduler(scheduler.TimerFired{Token: t.id})
		return
	}
	r := s.requests[t.id]
	if r == nil {
		return
	}
	switch t.kind {
	case attemptTimer:
		if r.attempts-1 == t.attempt {
			s.stopAttempt(t.id, r, scheduler.TimedOut)
		}
	case idempotencyTimer:
		if r.awaits(t.attempt) && !r.stopped {
			s.emit(CancelUnlessWritten{ID: t.id, Number: t.attempt})
		}
	case deadlineTimer:
		s.handleDeadline(t.id, r)
	}
}

// handleDeadline ends a request at its deadline. It distinguishes these cases:
//   - An attempt is in flight: the attempt is stopped, its outcome determines the answer, and the request is checked
//     again after answerGrace. If the attempt has not stopped by then, it is taken for one that may have run.
//   - No attempt is in flight and the request has no answer: the request fails.
func (s *State) handleDeadline(id uint64, r *requestState) {
	if r.inFlight {
		if r.stopped && r.checkAt > 0 && s.now >= r.checkAt {
			s.handleAttemptStop(AttemptStopped{ID: id, Attempt: r.attempts - 1, Progress: FullyWritten})
			return
		}
		s.stopAttempt(id, r, scheduler.TimedOut)
		r.checkAt = s.now + answerGrace
		r.deadlineTimer = s.setTimer(s.now+answerGrace, timer{kind: deadlineTimer, id: id})
		return
	}
	if !r.answered {
		// A fault in the scheduler left the request open past its deadline. Without this answer, the client would never
		// get one.
		s.overrule(id, r, Failed)
	}
}
