package scheduler

import "time"

// giveUpExpired gives up, at once, the requests of a shard that can no longer be served within their latency
// objective, or not before their clients leave.
func (s *Scheduler) giveUpExpired(sh *shard) {
	serviceTime := sh.serviceTime()
	if s.nothingExpires(sh, serviceTime) {
		return
	}
	sh.summary.generation = 0 // the next to be given up is looked for anew
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

// giveUp gives the final answer: a rejection where the client may safely repeat the request, else a failure.
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

// retryAfter is when a rejected client is told to come back, 0 where it is told nothing.
func (s *Scheduler) retryAfter() time.Duration {
	if !s.settings.Capabilities.RetryAfter {
		return 0
	}
	return min(s.minObjective, s.settings.Capabilities.MaxRetryAfter)
}

// endUnserved ends a request that was not served, and remembers it for the client's retry.
func (s *Scheduler) endUnserved(r *request) {
	if !r.answered {
		key := retryKey{r.Class, r.Volume, r.Key, r.Units}
		s.unserved[key] = unservedRecord{
			firstArrival: r.firstArrival,
			expires:      r.firstArrival + r.class.Deadline,
		}
	}
	s.finish(r)
}

// finish ends what is owed for a request. It is forgotten when no attempt is in flight either.
func (s *Scheduler) finish(r *request) {
	r.answered = true
	if r.queuedAt != nil {
		r.queuedAt.dequeue(r)
	}
	if r.inFlightAt == nil {
		r.volume.quota.Settle(r.ID)
		delete(s.requests, r.ID)
		r.leaveKeyQueue()
	}
}
