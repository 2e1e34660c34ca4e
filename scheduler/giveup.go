package scheduler

import "time"

// giveUpExpired gives up the queued requests of a shard that can no longer be answered by their soft
// deadline, or that are within answerTicks of their deadline.
func (s *Scheduler) giveUpExpired(sh *shard) {
	serviceTime := sh.serviceTime()
	if s.nothingExpires(sh, serviceTime) {
		return
	}
	sh.summary.generation = 0 // giveUpAt must be recomputed
	for i := 0; i < len(sh.queue); {
		r := sh.queue[i]
		inTime := serviceTime <= (r.softDeadline - s.now).Seconds()
		if inTime && s.now+answerTicks*s.tickPeriod < r.deadline {
			i++
			continue
		}
		s.giveUp(r)
	}
}

// giveUp sends the final answer of a request: a rejection if the client may safely repeat the request and the
// deadline has not passed, otherwise a failure.
func (s *Scheduler) giveUp(r *request) {
	mayHaveExecuted := r.executedOn != nil || r.inFlightAt != nil
	safe := !mayHaveExecuted || r.safeToRepeat()
	if safe && s.now < r.deadline {
		s.emit(Reject{ID: r.ID, After: s.retryAfter()})
	} else {
		s.emit(Fail{ID: r.ID})
	}
	s.endUnserved(r)
}

// retryAfter returns the wait that a rejection suggests to its client, 0 for no suggestion.
func (s *Scheduler) retryAfter() time.Duration {
	if !s.settings.Capabilities.RetryAfter {
		return 0
	}
	return min(s.minObjective, s.settings.Capabilities.MaxRetryAfter)
}

// endUnserved ends a request. If the request has no answer yet, it is recorded as unserved, so that the
// client's retry is recognized.
func (s *Scheduler) endUnserved(r *request) {
	if !r.answered {
		s.rememberUnserved(r)
	}
	s.finish(r)
}

// rememberUnserved records an unserved request. Beyond the bound on volumes it records none: the client's
// retry then counts as a new request.
func (s *Scheduler) rememberUnserved(r *request) {
	if len(s.unserved) >= s.volumes.max {
		return
	}
	key := retryKey{r.Class, r.Volume, r.Key, r.Units}
	s.unserved[key] = unservedRecord{
		firstArrival: r.firstArrival,
		expires:      r.firstArrival + r.class.Deadline,
	}
}

// finish marks a request as answered and dequeues it. It deletes the request unless an attempt is in flight;
// then onAttemptEnded deletes it.
func (s *Scheduler) finish(r *request) {
	r.answered = true
	if r.queuedAt != nil {
		r.queuedAt.dequeue(r)
	}
	if r.inFlightAt == nil {
		r.volume.quota.Settle(r.ID)
		if s.requests[r.ID] == r {
			delete(s.requests, r.ID)
			s.volumes.closeRequest(r.volume)
		}
		r.leaveKeyQueue()
	}
}
