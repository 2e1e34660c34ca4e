package scheduler

// coldRoom guards a node that may have just started, whatever the reason, from falling over. What a node
// served it was able to do; beyond that each host saves up its part of what a cold node surely bears: by
// the even split, or by what the shard served this host when warm, since all hosts together had no more
// than a whole node. The part grows as slowly as a node may warm; where it is less than a request, whole
// savings pay for one. Refused and lost attempts weigh too. It hurts when few hosts have work for the node.
func (g *Scheduler) coldRoom(n *node, units float64) bool {
	rules := g.set.Rules
	age := g.now - n.bornAt
	if !n.cold || rules.OverloadWindow <= 0 || age >= rules.WarmUpTime+rules.OverloadWindow {
		n.cold = false
		return true
	}
	multiple, span := max(2, rules.OverloadMultiple), rules.OverloadWindow.Seconds()
	own := g.shards[n.Shard].served * rules.InitialCapacity * multiple * span
	part := max(g.set.SlowStartUnits/float64(g.set.Brokers), own) * (1 - 1/multiple) / 2 / g.processes
	if rules.InitialCapacity > 0 && rules.WarmUpTime > 0 {
		warm := max(0, (age-rules.OverloadWindow).Seconds()) / rules.WarmUpTime.Seconds()
		part *= 1 + warm*(1-rules.InitialCapacity)/rules.InitialCapacity
	}
	n.savings = min(part, n.savings+part*(g.now-n.savedAt).Seconds()/span)
	n.savedAt = g.now
	return n.savings >= min(units, part)
}
