package scheduler

import "slices"

// answerTicks is the number of ticks before its deadline at which a request is given up and no longer
// retried. With a larger value requests that could still be served are given up. With a smaller value answers
// arrive after the client has disconnected.
const answerTicks = 2

// retryBudget limits the number of retries relative to the number of requests in a sliding window.
type retryBudget struct {
	requests []Time // arrivals within the window, in order
	retries  []Time // forwards within the window that were not a request's first, in order
}

func (b *retryBudget) recordRequest(now Time) { b.requests = append(b.requests, now) }

func (b *retryBudget) recordRetry(now Time) { b.retries = append(b.retries, now) }

// trim drops the entries that are older than the window. Requests exactly as old as the window are dropped
// and retries of that age are kept, so that the count at the window's edge never exceeds the budget.
func (b *retryBudget) trim(now, window Time) {
	for len(b.requests) > 0 && now-b.requests[0] >= window {
		b.requests = b.requests[1:]
	}
	for len(b.retries) > 0 && now-b.retries[0] > window {
		b.retries = b.retries[1:]
	}
}

// allows reports whether the budget admits one more retry. With a window of 0 there is no budget.
func (b *retryBudget) allows(now Time, rules *Rules) bool {
	if rules.RetryBudgetWindow <= 0 {
		return true
	}
	b.trim(now, rules.RetryBudgetWindow)
	budget := rules.RetryBudgetMin + rules.RetryBudgetRatio*float64(len(b.requests))
	return float64(len(b.retries)+1) <= budget
}

// mayRetry reports whether a request may run again. It checks the number of attempts, the effect of a second
// execution, and the retry budget.
func (s *Scheduler) mayRetry(r *request) bool {
	limit := s.settings.Capabilities.MaxAttempts
	if limit > 0 && r.attempts >= limit {
		return false
	}
	if r.executedOn != nil && !r.mayExecuteAgain(s.now) {
		return false
	}
	return s.budget.allows(s.now, &s.settings.Rules)
}

// mayExecuteAgain reports whether a request that may have executed can safely execute again. Nodes ignore
// repeats of an idempotency key only within the class's dedup window.
func (r *request) mayExecuteAgain(now Time) bool {
	switch r.class.Idempotency {
	case IdempotentWithKey:
		return now <= r.firstExecution+r.class.DedupWindow
	case NotIdempotent:
		return false
	default:
		return true
	}
}

// safeToRepeat reports whether the client may safely repeat the request although it may have executed.
func (r *request) safeToRepeat() bool {
	switch r.class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		return r.class.Scope == ScopeAll
	default:
		return false
	}
}

// onAttemptEnded handles the outcome of an attempt: it ends the request, queues it for a retry, or sends its
// final answer. A TimedOut attempt is never retried, because the client no longer waits.
func (s *Scheduler) onAttemptEnded(e AttemptEnded) {
	r := s.requests[e.ID]
	if r == nil || r.inFlightAt == nil || r.inFlightAt.Name != e.Node || e.Attempt != r.attempts-1 {
		return // the event is not about the attempt in flight
	}
	n := r.inFlightAt
	r.inFlightAt = nil
	s.markChanged(n.shard)
	if at := slices.Index(n.attempts, r); at >= 0 {
		n.attempts = slices.Delete(n.attempts, at, at+1)
	}
	if !r.lost {
		n.inFlight--
	}
	s.recordOutcome(n, r, e.Outcome, e.Latency)
	s.reportToBalancer(n, r, e.Outcome, e.Latency)
	if e.Outcome.MayHaveExecuted() && r.executedOn == nil {
		r.executedOn = n
		r.firstExecution = r.sentAt
		r.volume.quota.Settle(r.ID)
	}
	if r.keyQueue != nil && e.Outcome.mayStillRun() {
		r.keyQueue.quietUntil = s.now + s.settings.Rules.QuietPeriod + 1 // the period includes its end
	}
	switch {
	case e.Finished || r.answered || e.Outcome == Success:
		s.finish(r)
	case e.Outcome == TimedOut || !s.mayRetry(r) || s.now+answerTicks*s.tickPeriod >= r.deadline:
		s.giveUp(r)
	default:
		s.requeue(r, n)
	}
}

// mayStillRun reports whether a node may still execute an attempt that ended with this outcome.
func (o Outcome) mayStillRun() bool { return o == TimedOut || o == ConnectionBroken || o == Canceled }

// requeue queues a request again after its attempt at a node ended without success.
func (s *Scheduler) requeue(r *request, n *node) {
	if n.shard.balancer != nil && n.shard.hasSeveralReady() {
		s.extendSoftDeadline(r)
	}
	s.enqueue(r)
}

// extendSoftDeadline gives a request that is retried at another node enough time to run there: the smallest
// latency objective from now, but no longer than until answerTicks before the deadline. The request may miss
// its latency objective, but a late answer is worth more than none.
func (s *Scheduler) extendSoftDeadline(r *request) {
	extended := max(r.softDeadline, s.now+s.minObjective)
	r.softDeadline = min(r.deadline-answerTicks*s.tickPeriod, extended)
}
