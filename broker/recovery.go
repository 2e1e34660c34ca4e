package broker

import (
	"slices"

	"junctionwharf/scheduler"
)

// A panic that an event, an action or an effect causes is contained at that one: those behind it in the turn are
// handled, and what it concerned is brought to an end. Each request therefore gets its answer.

// handleEvents applies events from index first on, and returns the index behind the last event that was applied. If an
// event causes a panic, this is the index behind that event.
func (s *State) handleEvents(events []Event, first int) (next int) {
	next = first
	defer s.contain(func() {
		s.abandonEvent(events[next])
		next++
	})
	for ; next < len(events); next++ {
		s.handle(events[next])
	}
	return next
}

// applyActions carries out actions of the scheduler from index first on, like handleEvents.
func (s *State) applyActions(actions []scheduler.Action, first int) (next int) {
	next = first
	defer s.contain(func() {
		s.abandonAction(actions[next])
		next++
	})
	for ; next < len(actions); next++ {
		s.apply(actions[next])
	}
	return next
}

// reduceScheduler passes events to the scheduler and carries out its actions. After a panic in the scheduler it carries
// out the actions until then, and passes on the events behind the one that caused the panic.
func (s *State) reduceScheduler(events []scheduler.Event) {
	for done := false; !done; {
		var actions []scheduler.Action
		actions, done = s.schedulerActions(events)
		if !done {
			handled := min(s.scheduler.Handled()+1, len(events))
			events = events[handled:]
			done = len(events) == 0
			actions = slices.Clone(actions) // the next call of the scheduler reuses the slice
		}
		for next := 0; next < len(actions); {
			next = s.applyActions(actions, next)
		}
	}
}

// schedulerActions returns the actions of the scheduler, or those until it panicked.
func (s *State) schedulerActions(events []scheduler.Event) (actions []scheduler.Action, done bool) {
	defer s.contain(func() {
		actions = s.scheduler.Actions()
		s.failLostArrivals(events)
	})
	return s.scheduler.Reduce(s.now.Duration(), events), true
}

// failLostArrivals fails the request whose arrival caused a panic in the scheduler.
func (s *State) failLostArrivals(events []scheduler.Event) {
	at := s.scheduler.Handled()
	if at >= len(events) {
		return
	}
	arrival, is := events[at].(scheduler.Request)
	if !is {
		return
	}
	if r := s.requests[arrival.ID]; r != nil && !r.answered {
		s.overrule(arrival.ID, r, Failed)
	}
}

// contain recovers a panic, which Panics then returns, and calls repair. It must be deferred.
func (s *State) contain(repair func()) {
	cause := recover()
	if cause == nil {
		return
	}
	s.panics = append(s.panics, cause)
	defer func() {
		if again := recover(); again != nil {
			s.panics = append(s.panics, again)
		}
	}()
	repair()
}

// Panics returns the causes of the panics that the last Reduce contained.
func (s *State) Panics() []any { return s.panics }

// AwaitsAnswer reports whether a request has arrived and has no final answer yet.
func (s *State) AwaitsAnswer(id uint64) bool {
	r := s.requests[id]
	return r != nil && !r.answered
}

// abandonEvent ends what an event concerned that caused a panic. A request whose arrival or attempt it was fails.
func (s *State) abandonEvent(event Event) {
	switch e := event.(type) {
	case RequestArrived:
		s.abandonRequest(e.ID)
	case RequestCancelled:
		if r := s.requests[e.ID]; r != nil {
			r.answered = true
			s.forget(e.ID, r)
		}
	case AttemptEnded:
		s.discard(e.Result.Value)
		s.abandonAttempt(e.ID, e.Attempt)
	case AttemptStopped:
		s.abandonAttempt(e.ID, e.Attempt)
	}
}

// abandonAction ends what an action of the scheduler concerned that caused a panic.
func (s *State) abandonAction(action scheduler.Action) {
	switch a := action.(type) {
	case scheduler.Forward:
		s.abandonRequest(a.ID)
	case scheduler.Reject:
		s.abandonRequest(a.ID)
	case scheduler.Fail:
		s.abandonRequest(a.ID)
	}
}

// abandonAttempt ends an attempt, which may have run, and fails its request.
func (s *State) abandonAttempt(id uint64, attempt int) {
	r := s.requests[id]
	if r == nil || !r.awaits(attempt) {
		return
	}
	r.inFlight = false
	r.stopped = false
	s.notifyScheduler(scheduler.AttemptEnded{
		ID:       id,
		Attempt:  attempt,
		Node:     r.node,
		Outcome:  scheduler.ConnectionBroken,
		Finished: true,
		Load:     scheduler.NoLoadReport,
	})
	s.abandonRequest(id)
}

// abandonRequest fails a request. An attempt in flight is stopped.
func (s *State) abandonRequest(id uint64) {
	r := s.requests[id]
	if r == nil {
		return // the loop answers a client whose request is unknown
	}
	s.stopAttempt(id, r, scheduler.Canceled)
	if r.answered {
		s.forget(id, r)
		return
	}
	s.overrule(id, r, Failed)
}

// executeAll executes effects from index first on, and returns the index behind the last one that was executed and the
// events that the effects cause. If an effect causes a panic, this is the index behind that effect.
func (l *Loop) executeAll(effects []Effect, first int, now Micros, events []Event) (next int, caused []Event) {
	next, caused = first, events
	defer func() {
		if cause := recover(); cause != nil {
			l.logPanic(cause)
			l.recovering = true
			if e := l.abandonEffect(effects[next]); e != nil {
				caused = append(caused, e)
			}
			next++
		}
	}()
	for ; next < len(effects); next++ {
		if e := l.execute(effects[next], now); e != nil {
			caused = append(caused, e)
		}
	}
	return next, caused
}

// abandonEffect returns the event that ends what an effect concerned that caused a panic, nil for none. An attempt that
// could not be stopped is reported as fully written: its request may have run. One that could not be started ends at
// its request's deadline in the same way (see stopAttempt).
func (l *Loop) abandonEffect(effect Effect) Event {
	e, is := effect.(StopAttempt)
	if !is {
		return nil
	}
	delete(l.handles, attemptKey{e.ID, e.Number})
	return AttemptStopped{ID: e.ID, Attempt: e.Number, Progress: FullyWritten}
}

// answerLost answers the clients whose requests the state does not hold, after a panic. The requests may have run. It
// must follow the turn that handles the collected events, since their arrivals are not in the inbox any more.
func (l *Loop) answerLost() {
	l.recovering = false
	queued := l.queuedArrivals()
	for id := range l.clients {
		if !queued[id] && !l.state.AwaitsAnswer(id) {
			l.safely(func() { l.respond(Respond{ID: id, Response: Response{Verdict: Failed}}) })
		}
	}
}

// queuedArrivals returns the ids of the requests whose arrival no turn has handled yet.
func (l *Loop) queuedArrivals() map[uint64]bool {
	l.inbox.mu.Lock()
	defer l.inbox.mu.Unlock()
	queued := map[uint64]bool{}
	for _, e := range l.inbox.events {
		if arrival, is := e.(RequestArrived); is {
			queued[arrival.ID] = true
		}
	}
	return queued
}

func (l *Loop) logPanic(cause any) {
	l.dependencies.Log.Error("panic", "front", "core", "panic", cause)
}
