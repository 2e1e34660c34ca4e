package scheduler

// callOff calls off an attempt that is of no use.
func (g *Scheduler) callOff(n *node, r *request) bool { return g.moveOn(n, r) || g.callOffLate(n, r) }

// callOffLate guards a jammed node against work that earns next to nothing: what is late already is called
// off and answered, so that the node does what can still be in time. It should catch any jam, whoever filled
// the node. Where nodes go on with what was called off it would hide how long they take, so without an
// answer between the next attempt runs to its end. It hurts where late answers earn much.
func (g *Scheduler) callOffLate(n *node, r *request) bool {
	if r.over || g.now <= r.due || !n.jammed(g) || n.futile || !g.set.Capabilities.Cancel {
		return false
	}
	n.futile = true
	n.answers++ // it would have taken this long at least
	n.waited += (g.now - r.sentAt).Seconds()
	g.act(Cancel{ID: r.ID, Attempt: r.attempts - 1})
	g.giveUp(r)
	return true
}

// findLost guards against answers that never come: lost messages, a stuck request, a silent node, a
// half-dead path. An attempt that later ones overtook, or that is out past any likely answer, gives its
// room back; unless it is just late it is called off and tried again where the rules allow. It hurts
// where a node serves out of turn or has become slower at one stroke.
func (g *Scheduler) findLost(n *node) {
	for _, r := range n.flight {
		out := (g.now - r.sentAt).Seconds()
		usual := overtime * n.took * max(1, r.Units/max(1, g.set.MeanUnits))
		if g.callOff(n, r) || r.lost || out < usual || r.passed < overtakes && out < g.aim.Seconds() {
			continue
		}
		r.lost = true
		n.out--
		if r.passed < overtakes { // as far as seen the node is that slow
			n.answers++
			n.waited += out
		}
		g.log("attempt lost", "%s after %.0f ms", n.Name, out*1000)
		again := !r.over && (r.passed >= overtakes || n.silent(g)) // a repeat of a late one is twice the work
		again = again && g.set.Capabilities.Cancel && r.class.Idempotency == Idempotent
		if again && g.now < r.due && g.mayTryAgain(r) {
			g.act(Cancel{ID: r.ID, Attempt: r.attempts - 1})
		}
	}
}

// moveOn guards the requests of a shard with several nodes against one that says nothing: an attempt that is
// out for far longer than usual, while others of the shard answered and this one did not, shows it silent;
// where it may run twice it is called off and tried at another. Whatever was written to the node stays its
// own. It hurts where a sound node pauses for as long. A broker that stood still itself, stopped or starved,
// judges nobody until it has read what came meanwhile.
func (g *Scheduler) moveOn(n *node, r *request) bool {
	if g.ticks != g.lookTick {
		if g.lookTick > 0 && g.now-g.lookAt > 3*g.tick {
			g.stoodTill = g.now + 2*g.tick
		}
		g.lookTick, g.lookAt = g.ticks, g.now
	}
	if n.member == nil || n.home.group == nil || r.over || g.now < g.stoodTill ||
		g.now-r.sentAt < overdueTicks*g.tick || n.heard > r.sentAt {
		return false
	}
	other := n.elsewhere()
	if other == nil ||
		(g.now-r.sentAt).Seconds() < overtime*other.took*max(1, r.Units/max(1, g.set.MeanUnits)) {
		return false
	}
	shown := other.heard > r.sentAt || n.member.Unresponsive()
	if shown {
		g.foundSilent(n)
	}
	if !shown && g.spent > movesMost-1 || !g.set.Capabilities.Cancel || !r.harmless() ||
		!g.mayTryAgain(r) || g.now+2*g.tick >= r.deadline {
		return false
	}
	if !shown {
		g.spent++
		r.moved = moved{n, r.sentAt}
	}
	r.late(g)
	g.act(Cancel{ID: r.ID, Attempt: r.attempts - 1})
	return true
}

// moved tells from which node a request was tried elsewhere on suspicion, and when it had been sent there.
type moved struct {
	from *node
	at   Time
}

// Where no node has answered since an attempt went out, it is tried elsewhere on suspicion alone, for so many
// of the sends: were all nodes slow, more would only add to it.
const (
	movesEach = 0.1
	movesMost = 5.0
)

// overdueTicks is for how long an attempt is out at least before it is tried at another node.
const overdueTicks = 4
