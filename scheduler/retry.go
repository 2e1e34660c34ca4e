package scheduler

import "slices"

// answerTicks is how many ticks before its deadline a request is answered at the latest, and no longer
// retried. Higher, requests that could still be served are given up; lower, answers come after the client has
// left.
const answerTicks = 2

// retryBudget bounds retries against requests over a sliding window.
type retryBudget struct {
	requests []Time // arrivals within the window, in order
	retries  []Time // and forwards beyond a request's first
}

func (b *retryBudget) recordRequest(now Time) { b.requests = append(b.requests, now) }

func (b *retryBudget) recordRetry(now Time) { b.retries = append(b.retries, now) }

// trim forgets what is older than the window: requests a moment early and retries a moment late, so that a
// count at the window's edge is on the safe side.
func (b *retryBudget) trim(now, window Time) {
	for len(b.requests) > 0 && now-b.requests[0] >= window {
		b.requests = b.requests[1:]
	}
	for len(b.retries) > 0 && now-b.retries[0] > window {
		b.retries = b.retries[1:]
	}
}

// allows tells whether one more retry stays in the budget. A window of 0 is no budget.
func (b *retryBudget) allows(now Time, rules *Rules) bool {
	if rules.RetryBudgetWindow <= 0 {
		return true
	}
	b.trim(now, rules.RetryBudgetWindow)
	budget := rules.RetryBudgetMin + rules.RetryBudgetRatio*float64(len(b.requests))
	return float64(len(b.retries)+1) <= budget
}

// mayRetry tells whether a request may run again: by its attempts, by what a second execution would do, and
// by the budget.
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

// mayExecuteAgain tells whether a request that may have executed does no harm if it does so again: its nodes
// drop repeats of an idempotency key for a while.
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

// safeToRepeat tells whether a client may repeat a request that may have executed.
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

// onAttemptEnded takes the outcome of an attempt: the request is over, is retried, or gets its final answer.
// TimedOut is never retried: it means that the client's own time is up.
func (s *Scheduler) onAttemptEnded(e AttemptEnded) {
	r := s.requests[e.ID]
	if r == nil || r.inFlightAt == nil || r.inFlightAt.Name != e.Node || e.Attempt != r.attempts-1 {
		return // of an attempt that is not in flight
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
		r.keyQueue.quietUntil = s.now + s.settings.Rules.QuietPeriod + 1 // past its end, not at it
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

// mayStillRun tells whether the node may still be at work on an attempt that ended so.
func (o Outcome) mayStillRun() bool { return o == TimedOut || o == ConnectionBroken || o == Canceled }

// requeue queues a request again whose attempt at a node ended without an answer.
func (s *Scheduler) requeue(r *request, n *node) {
	if n.shard.balancer != nil && n.shard.hasSeveralReady() {
		s.extendSoftDeadline(r)
	}
	s.enqueue(r)
}

// extendSoftDeadline gives a request that is retried at another node its time there: its latency objective
// may be missed, and a late answer is worth more than none.
func (s *Scheduler) extendSoftDeadline(r *request) {
	extended := max(r.softDeadline, s.now+s.minObjective)
	r.softDeadline = min(r.deadline-answerTicks*s.tickPeriod, extended)
}
