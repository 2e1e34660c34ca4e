package scheduler

import (
	"math"
)

// hasRoom tells whether a node's bound lets an attempt out now. Below a bound of one sends are paced, and at
// a jammed node those beyond the reserve in any case, longer the less they are worth. That guards reserved
// work of other hosts, which this host does not see, against any surge. It hurts at nodes slow by themselves.
func (g *Scheduler) hasRoom(n *node, r *request) bool {
	room := float64(n.out) < max(1, math.Floor(n.bound)) && len(n.flight) < 2*boundMost
	paced := n.bound < 1 || r.part < 1 && n.jammed(g)
	room = room && !(paced && (g.now-n.pacedAt).Seconds()*r.part < n.took/n.bound)
	n.full = n.full || !room
	return room && g.now >= n.restTill
}

// jammed tells whether even the quickest of a node's recent answers are slow: a queue stands there.
func (n *node) jammed(g *Scheduler) bool { return n.standing > jamShare*g.aim.Seconds() }

// judge moves a node's bound by the time that its answers took, for each tick since the last answer up to
// three. Below one it guards a node that many hosts share, each with little: while even the quickest of the
// recent answers are slow, a queue stands there and sends are paced, in the mean down to this host's part of
// what one host alone may have out. It should catch any jam at a node, whatever the cause, and let pauses,
// flushes and large requests of a sound node pass. It hurts where few of many hosts use a jammed node.
func (g *Scheduler) judge(n *node) {
	if n.silent(g) {
		g.log("silent node", "%s with %d out", n.Name, n.out)
		n.bound = min(n.bound, 1)
	}
	if n.answers == 0 {
		if len(n.flight) == 0 && n.took > queueShare*g.aim.Seconds() { // old news of a jam fades
			n.took *= 1 - fading
		}
		return
	}
	ticks := float64(min(g.ticks-n.judged, 3))
	mean := n.waited / float64(n.answers)
	n.took += (1 - math.Pow(1-smoothing, ticks)) * (mean - n.took)
	n.standing = min(mean, n.standing+smoothing*(mean-n.standing))
	if n.took > queueShare*g.aim.Seconds() && n.bound > 1 {
		n.bound = max(1, n.bound*math.Pow(boundCut, ticks))
	} else if n.jammed(g) {
		n.bound = max(min(1, boundMost/float64(g.set.Brokers)), n.bound*math.Pow(boundCut, ticks))
	} else if n.full && n.took < queueShare*g.aim.Seconds() || n.bound < 1 {
		n.bound = min(boundMost, n.bound+0.25*min(1, n.bound)*ticks)
	}
	n.answers, n.waited, n.full, n.judged = 0, 0, false, g.ticks
}
