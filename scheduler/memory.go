package scheduler

import (
	"maps"
	"slices"
)

// sweptLeast and sweptPart bound how many volumes a tick looks at for being forgotten.
const (
	sweptLeast = 256
	sweptPart  = 64
)

// cleanTicks is how many ticks there are between two looks for what is over.
const cleanTicks = 16

// clean drops turns and clients' patience that are over. They count no more, kept or not.
func (g *Scheduler) clean() {
	if g.ticks%cleanTicks > 0 {
		return
	}
	maps.DeleteFunc(g.turns, func(_ string, t *turn) bool { return len(t.waiting) == 0 && g.now >= t.restTo })
	maps.DeleteFunc(g.unserved, func(_ try, p patience) bool { return g.now > p.till })
}

// forget guards a process that runs for months: nodes are replaced under new names, volumes come and go, and
// news of peers gets old. A node that is gone is kept while attempts are out there, a shard while a node that
// comes new may be measured by what the last one served.
func (g *Scheduler) forget() {
	if g.resum {
		g.resum = g.forgetNodes()
	}
	g.forgetVolumes()
	maps.DeleteFunc(g.kept, func(_ uint32, told []news) bool {
		return !slices.ContainsFunc(told, func(n news) bool { return g.heard(n) > 0 })
	})
}

// forgetNodes drops nodes and shards that are gone, and tells whether some are left for a later tick.
func (g *Scheduler) forgetNodes() (left bool) {
	listed := len(g.nodeList)
	g.nodeList = slices.DeleteFunc(g.nodeList, func(n *node) bool {
		over := n.state == Removed && len(n.flight) == 0
		if over {
			delete(g.nodes, n.Name)
		}
		left = left || n.state == Removed && !over
		return over
	})
	for _, id := range g.shardIDs {
		if s := g.shards[id]; len(g.nodeList) < listed {
			s.nodes = slices.DeleteFunc(s.nodes, func(n *node) bool { return g.nodes[n.Name] != n })
		}
	}
	g.shardIDs = slices.DeleteFunc(g.shardIDs, func(id int) bool {
		s := g.shards[id]
		fresh := s.servedAt > 0 && g.now-s.servedAt <= 4*g.set.Rules.WarmUpTime+g.aim
		over := len(s.nodes)+len(s.held) == 0 && !fresh
		if over {
			delete(g.shards, id)
			g.groups = slices.DeleteFunc(g.groups, func(other *shard) bool { return other == s })
		}
		left = left || len(s.nodes) == 0 && !over
		return over
	})
	return left
}

// forgetVolumes drops volumes that have been idle for long, a part of them in each tick.
func (g *Scheduler) forgetVolumes() {
	if g.swept >= len(g.inOrder) {
		g.swept = 0
	}
	end := min(len(g.inOrder), g.swept+max(sweptLeast, len(g.inOrder)/sweptPart))
	kept := g.swept
	for _, v := range g.inOrder[g.swept:end] {
		if g.ticks-v.asked <= idleTicks {
			g.inOrder[kept] = v
			kept++
			continue
		}
		delete(g.volumes, v.name)
		if g.byID[v.id] == v {
			delete(g.byID, v.id)
		}
	}
	if kept < end { // the gap is closed by the last ones: the order is not needed
		left := len(g.inOrder) - (end - kept)
		copy(g.inOrder[kept:], g.inOrder[max(end, left):])
		clear(g.inOrder[left:])
		g.inOrder = g.inOrder[:left]
	}
	g.swept = kept
}
