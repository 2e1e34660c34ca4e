package scheduler

import "time"

// minOverloadMultiple is the least that the overload multiple counts as. Lower, the budget of a node that has
// just started would fall to nothing, and it would stay idle until it is warm.
const minOverloadMultiple = 2.0

// slowStart is the budget of a node that may have just started, from which this broker's forwards are paid in
// units.
type slowStart struct {
	warmingUp  bool
	startedAt  Time // the earliest start that fits what is known
	tokens     float64
	refilledAt Time
}

// slowStartAllows guards a node that may have just started, whatever the reason, from a load under which it
// would go down. It shows as a node that stops right after its start while brokers send to it. What a node
// served it was able to do; beyond that each broker saves up its part of what a starting node surely bears.
// Rejected and lost attempts weigh too. A request larger than the whole budget is let go once the budget is
// full. It costs throughput where few of the brokers have requests for the node.
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

// update ends the warm-up when its time is over, and tells whether the node is still warming up.
func (w *slowStart) update(now Time, rules *Rules) bool {
	if !w.warmingUp || rules.OverloadWindow <= 0 || now-w.startedAt >= rules.WarmUpTime+rules.OverloadWindow {
		w.warmingUp = false
	}
	return w.warmingUp
}

// refill saves a budget up over a window, and no more than one budget.
func (w *slowStart) refill(now Time, budget float64, window time.Duration) {
	w.tokens = min(budget, w.tokens+budget*(now-w.refilledAt).Seconds()/window.Seconds())
	w.refilledAt = now
}

// slowStartBudget is how many units one process may send to a node of an age within the overload window. The
// base is the broker's even part of what all may send, or what the shard served this broker when warm, in
// units a second, as far as a starting node can do it: all brokers together had no more than a whole node. It
// grows as slowly as a node may warm up, and the processes of one broker have equal parts of it.
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

// capacityShare is the part of its capacity that the node surely has, from 0 to 1.
func (w *slowStart) capacityShare(now Time, rules *Rules) float64 {
	if !w.warmingUp || rules.WarmUpTime <= 0 || rules.InitialCapacity <= 0 {
		return 1
	}
	age := max(0, (now - w.startedAt).Seconds())
	return min(1, rules.InitialCapacity+(1-rules.InitialCapacity)*age/rules.WarmUpTime.Seconds())
}
