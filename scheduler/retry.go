package scheduler

import (
	"slices"
)

func (g *Scheduler) endAttempt(e AttemptEnded) {
	r := g.requests[e.ID]
	if r == nil || r.outAt == nil || r.outAt.Name != e.Node || e.Attempt != r.attempts-1 {
		return
	}
	n := r.outAt
	r.outAt = nil
	n.home.touch(g)
	if at := slices.Index(n.flight, r); at >= 0 {
		n.flight = slices.Delete(n.flight, at, at+1)
	}
	if !r.lost {
		n.out--
	}
	g.learn(n, r, e)
	g.observe(n, r, e)
	if e.Outcome.MayHaveExecuted() && r.ranAt == nil {
		r.ranAt, r.firstRun = n, r.sentAt
		r.volume.limit.Settle(r.ID)
	}
	if r.turn != nil && (e.Outcome == TimedOut || e.Outcome == ConnectionBroken || e.Outcome == Canceled) {
		r.turn.restTo = g.now + g.set.Rules.QuietPeriod + 1
	}
	if e.Finished || r.over || e.Outcome == Success {
		g.finish(r)
		return
	}
	if e.Outcome == TimedOut || !g.mayTryAgain(r) || g.now+2*g.tick >= r.deadline {
		g.giveUp(r)
		return
	}
	g.holdAgain(r, n)
}

// mayTryAgain holds the rules on effects, attempts and the budget.
func (g *Scheduler) mayTryAgain(r *request) bool {
	rules, most := g.set.Rules, g.set.Capabilities.MaxAttempts
	late := r.class.Idempotency == IdempotentWithKey && g.now > r.firstRun+r.class.DedupWindow
	if most > 0 && r.attempts >= most || r.ranAt != nil && (late || r.class.Idempotency == NotIdempotent) {
		return false
	}
	if rules.RetryBudgetWindow <= 0 {
		return true
	}
	g.trimBudget()
	return float64(len(g.extras)+1) <= rules.RetryBudgetMin+rules.RetryBudgetRatio*float64(len(g.taken))
}

// trimBudget forgets requests a little early and further attempts a little late, to be safe at the edge.
func (g *Scheduler) trimBudget() {
	span := g.set.Rules.RetryBudgetWindow
	for ; len(g.taken) > 0 && g.now-g.taken[0] >= span; g.taken = g.taken[1:] {
	}
	for ; len(g.extras) > 0 && g.now-g.extras[0] > span; g.extras = g.extras[1:] {
	}
}

// harmless tells whether a request may run twice.
func (r *request) harmless() bool {
	return r.class.Idempotency == Idempotent ||
		r.class.Idempotency == IdempotentWithKey && r.class.Scope == ScopeAll
}

// late gives a request that is tried at another node its time there: its aim may be over, and a late answer
// is worth more than none.
func (r *request) late(g *Scheduler) { r.due = min(r.deadline-2*g.tick, max(r.due, g.now+g.aim)) }

// holdAgain holds a request whose attempt has ended without an answer.
func (g *Scheduler) holdAgain(r *request, n *node) {
	if n.home.group != nil && n.home.several() {
		r.late(g)
	}
	g.hold(r)
}
