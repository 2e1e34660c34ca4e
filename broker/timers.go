package broker

import (
	"junctionwharf/scheduler"
	"junctionwharf/timingwheel"
)

// timerKind says what a timer is for.
type timerKind int

const (
	schedulerTimer   timerKind = iota // the scheduler asked for it
	attemptTimer                      // an attempt takes longer than the scheduler allowed it; no rule sets it
	idempotencyTimer                  // from now on nodes would run a repeat a second time
	deadlineTimer                     // the client's time is up
)

// timer is an entry of the loop's timing wheel.
type timer struct {
	kind    timerKind
	id      uint64 // a request's id, or the token of a schedulerTimer
	attempt int    // of attemptTimer and idempotencyTimer
}

// answerGrace is how long past a deadline the outcome of a stopped attempt may take to come before the request fails
// without it: 5 ms. If it were lower, requests whose attempt never ran would fail instead of being rejected; if it were
// higher, clients would wait past their deadline for longer.
const answerGrace Micros = 5000

func (s *State) setTimer(at Micros, t timer) timingwheel.Handle { return s.timers.Set(int64(at), t) }

// fireTimers takes all timers that are due.
func (s *State) fireTimers() {
	for {
		t, _, due := s.timers.Pop(int64(s.now))
		if !due {
			return
		}
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

// handleDeadline ends a request whose time is up: the attempt in flight is stopped, and its outcome decides the answer.
func (s *State) handleDeadline(id uint64, r *requestState) {
	if r.inFlight {
		s.stopAttempt(id, r, scheduler.TimedOut)
		r.deadlineTimer = s.setTimer(s.now+answerGrace, timer{kind: deadlineTimer, id: id})
		return
	}
	if !r.answered {
		// Guards against a scheduler that holds a request past its deadline: the client would never be answered.
		s.overrule(id, r, Failed)
	}
}
