package scheduler

import (
	"time"
)

// ask subscribes to the list, and again after growing waits until a list comes.
func (g *Scheduler) ask() {
	if !g.set.Subscribe || g.watching || g.now < g.askAt {
		return
	}
	g.act(WatchEndpoints{On: true})
	wait := max(g.watchWait, time.Duration(watchRetry*float64(g.set.Rules.PollDeadline)), g.tick)
	g.watchWait = min(2*wait, max(g.set.Rules.PollDeadline, wait))
	g.askAt = g.now + wait + time.Duration(g.rng.Float64()*float64(wait)/2)
}

// takeList follows the list; it acts in the batch in which it is told.
func (g *Scheduler) takeList(e EndpointUpdate) {
	if e.Kind == FailedUpdate {
		g.log("list failed", "asking again")
		g.watching = false
		return
	}
	if e.Kind != CachedUpdate {
		g.watching, g.watchWait = true, 0
	}
	g.stirred++
	g.lists++
	g.resum = true
	first := !g.listed
	g.listed = g.listed || len(e.Endpoints) > 0
	for _, info := range e.Endpoints {
		g.takeNode(info, e.Kind, first)
	}
	if e.Kind == DeltaUpdate {
		return
	}
	for _, n := range g.nodeList {
		if n.listed != g.stirred {
			n.state = Removed
		}
	}
}

func (g *Scheduler) takeNode(info Endpoint, kind UpdateKind, first bool) {
	n := g.nodes[info.Name]
	if n == nil {
		n = &node{bound: boundStart, heard: g.now, number: g.nodesSeen}
		g.nodesSeen++
		g.nodes[info.Name] = n
		g.nodeList = append(g.nodeList, n)
		g.shardOf(info.Shard).add(n)
		n.bornAt, n.cold = g.now, !first
	}
	if info.StartedAt > n.StartedAt || n.state == Removed && info.State == Ready {
		n.bornAt, n.bound = g.now, boundStart
		if info.StartedAt > 0 {
			n.bornAt = min(info.StartedAt, g.now)
		}
		n.cold = true
	}
	if n.cold && n.savedAt < n.bornAt-g.set.Rules.OverloadWindow {
		spread := g.rng.Float64() * (1 - 1/float64(g.set.Brokers)) // keeps first sends of many hosts apart
		n.savings, n.savedAt = -spread*g.set.MeanUnits, g.now
		if g.processes == 1 { // else the other process may have spent what was saved
			n.savedAt -= g.set.Rules.OverloadWindow
		}
	}
	n.Endpoint, n.state, n.listed = info, info.State, g.stirred
	if info.State != Ready {
		g.log("node leaves", "%s", info.Name)
	}
}
