package consensus

import (
	"maps"

	"junctionwharf/clusterconfig"
)

// disturb injects a random fault of a voter, a link or a lease holder, and schedules the next fault.
func (c *cluster) disturb() {
	if c.Now > c.lastFault {
		return
	}
	c.After(clusterconfig.Micros(200_000+c.random.IntN(1_200_000)), c.disturb)
	v := c.voters[c.random.IntN(len(c.voters))]
	span := clusterconfig.Micros(100_000 + c.random.IntN(3_000_000))
	index := c.random.IntN(len(c.holders))
	h := c.holders[index]
	switch c.random.IntN(9) {
	case 0:
		v.receivesFrom = c.Now + span
		v.sendsFrom = c.Now + span
	case 1:
		v.receivesFrom = c.Now + span
	case 2:
		v.sendsFrom = c.Now + span
	case 3:
		c.suspend(v, span)
	case 4:
		crash(v)
		c.startVoter(v, v.ID())
	case 5, 6:
		c.loseState(v)
	case 7:
		h.stopped = true
		c.After(span, func() { h.stopped = false })
	case 8:
		h.partitionedUntil = c.Now + span
		if c.random.IntN(2) == 0 {
			c.restartHolder(h, index)
		}
	}
}

// suspend stops a voter. When the voter runs again, a client reads from it first. The voter then receives the messages
// that arrived meanwhile, before its clock ticks.
func (c *cluster) suspend(v *simVoter, span clusterconfig.Micros) {
	if v.stopped {
		return
	}
	v.stopped = true
	c.After(span, func() {
		v.stopped = false
		waiting := v.waiting
		v.waiting = nil
		c.read(0, v)
		for _, do := range waiting {
			c.run(v, do)
		}
	})
}

// crash ends the open proposals of a leader with an unknown outcome.
func crash(v *simVoter) {
	if !v.leadership.isLeader {
		return
	}
	for hash, outcome := range maps.Clone(v.leadership.callers) {
		delete(v.leadership.callers, hash)
		outcome(clusterconfig.Entry{}, ErrOutcomeUnknown)
	}
}

// loseState restarts a voter with an empty disk if othersComplete allows it.
func (c *cluster) loseState(v *simVoter) {
	if !c.othersComplete() {
		return
	}
	crash(v)
	c.replaced++
	id, storage := RandomID(c.random), NewMemoryStorage()
	if c.fault == reusedIdentity {
		id, storage = v.ID(), bootstrapped(c.t, v.State().Members)
	}
	v.storage = storage
	c.startVoter(v, id)
}

// othersComplete reports whether all voters are reachable and know each other's present identities, so that each voter
// that lost its state has been added again. Otherwise, the loss of another voter's state could lose the majority for
// good.
func (c *cluster) othersComplete() bool {
	for _, v := range c.voters {
		if v.stopped || c.Now < v.receivesFrom || c.Now < v.sendsFrom || v.inJointConfig() {
			return false
		}
		for _, other := range c.voters {
			if v.State().Members[other.name] != other.ID() {
				return false
			}
		}
	}
	return true
}
