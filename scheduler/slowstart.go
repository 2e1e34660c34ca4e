package scheduler

import "time"

// minOverloadMultiple is the minimum value used for Rules.OverloadMultiple. With a smaller value the budget
// of a node that has just started would be almost 0, and the node would stay idle until it is warm.
const minOverloadMultiple = 2.0

// slowStart is this broker's budget, in units, for forwards to a node that may have just started.
type slowStart struct {
	warmingUp  bool
	startedAt  Time // start time from the endpoint list, or when the node was first listed
	tokens     float64
	refilledAt Time
}

// slowStartAllows reports whether a node's slow-start budget admits a request with the given units. The
// budget protects a node that may have just started from a load under which it would fail. A sign of a budget
// that is too large is a node that stops right after its start while brokers send to it. Units that the node
// served return to the budget, since the node can handle them. In addition, each broker accumulates its part
// of the load that a starting node can certainly handle. The units of rejected and lost attempts do not
// return. A request larger than the whole budget is admitted when the budget is full. As a trade-off,
// throughput is lost if only a few brokers have requests for the node.
func (s *Scheduler) slowStartAllows(n *node, units float64) bool {
	rules := &s.settings.Rules
	if !n.slowStart.update(s.now, rules) {
		return true
	}
	even := s.settings.SlowStartUnits / float64(s.settings.Brokers)
	age := s.now - n.slowStart.startedAt
	budget := slowStartBudget(age, rules, even, s.shards.byID[n.Shard].servedRate, s.processes.known)
	n.slowStart.refill(s.now, budget, rules.OverloadWindow)
	return n.slowStart.tokens >= min(units, budget)
}

// update ends the warm-up one overload window after the warm-up time, or at once if there is no overload
// window. It reports whether the node is still warming up.
func (w *slowStart) update(now Time, rules *Rules) bool {
	if !w.warmingUp || rules.OverloadWindow <= 0 || now-w.startedAt >= rules.WarmUpTime+rules.OverloadWindow {
		w.warmingUp = false
	}
	return w.warmingUp
}

// refill adds tokens at the rate of budget units per window, up to a total of budget.
func (w *slowStart) refill(now Time, budget float64, window time.Duration) {
	w.tokens = min(budget, w.tokens+budget*(now-w.refilledAt).Seconds()/window.Seconds())
	w.refilledAt = now
}

// slowStartBudget returns the budget, in units, of one process for a node of the given age. The base is the
// load that this broker may send to the node in an overload window. It is the larger of two values:
//   - even: the broker's equal share of Settings.SlowStartUnits.
//   - The rate at which the shard's warm nodes served this broker (servedRate, in units a second), scaled to
//     the load at which a starting node fails. The sum over all brokers is safe, because what the shard
//     served all brokers was at most the capacity of one warm node.
//
// In a window the node may receive, from all brokers together, their saved budgets, the refill of one window,
// and as many units as it served. The served units are at most the sum of the bases divided by multiple. The
// budget is therefore half of the rest of the base. It grows as slowly as a node may warm up, and is split
// evenly over the processes of the broker.
func slowStartBudget(age time.Duration, rules *Rules, even, servedRate, processes float64) float64 {
	multiple := max(minOverloadMultiple, rules.OverloadMultiple)
	own := servedRate * rules.InitialCapacity * multiple * rules.OverloadWindow.Seconds()
	budget := max(even, own) * (1 - 1/multiple) / 2 / processes
	if rules.InitialCapacity > 0 && rules.WarmUpTime > 0 {
		warm := max(0, (age-rules.OverloadWindow).Seconds()) / rules.WarmUpTime.Seconds()
		budget *= 1 + warm*(1-rules.InitialCapacity)/rules.InitialCapacity
	}
	return budget
}

// capacityShare returns the fraction of its capacity that the node certainly has, from 0 to 1.
func (w *slowStart) capacityShare(now Time, rules *Rules) float64 {
	if !w.warmingUp || rules.WarmUpTime <= 0 || rules.InitialCapacity <= 0 {
		return 1
	}
	age := max(0, (now - w.startedAt).Seconds())
	return min(1, rules.InitialCapacity+(1-rules.InitialCapacity)*age/rules.WarmUpTime.Seconds())
}
