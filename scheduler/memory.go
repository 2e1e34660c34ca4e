package scheduler

import (
	"maps"
	"slices"
)

const (
	// volumeIdleTicks is for how many ticks without a request a volume is remembered. Higher, memory grows
	// with all volumes of the last hours; lower, a volume that comes back has a full bucket again, and its
	// demand is unknown.
	volumeIdleTicks = 2400
	// expiryTicks is how many ticks there are between two searches for key queues and unserved requests that
	// are over. Higher, they take memory for longer; lower, ticks take longer.
	expiryTicks = 16
	// sweepMin and sweepFraction are how many volumes a tick looks at, at least and as a fraction of all.
	// Higher, ticks take longer; lower, memory is freed later.
	sweepMin      = 256
	sweepFraction = 64
	// servedWarmUps is for how many warm-up times the served rate of a shard without nodes is remembered.
	// Higher, memory grows with all shards that ever were; lower, a node that replaces the last one starts
	// slower than it could.
	servedWarmUps = 4
)

// forget bounds the memory of a process that runs for months, while nodes are replaced under new names,
// volumes come and go and reports get old. A node that is gone is kept while attempts are in flight there, a
// shard while a new node may be measured by what the last one served.
func (s *Scheduler) forget() {
	if s.nodes.recount {
		s.nodes.recount = s.forgetNodes()
	}
	s.forgetVolumes()
	s.demand.forgetOld(s.ticks)
}

// forgetExpired drops key queues and unserved requests that are over. They count no more, kept or not.
func (s *Scheduler) forgetExpired() {
	if s.ticks%expiryTicks > 0 {
		return
	}
	maps.DeleteFunc(s.keyQueues, func(_ string, q *keyQueue) bool {
		return len(q.waiting) == 0 && s.now >= q.quietUntil
	})
	maps.DeleteFunc(s.unserved, func(_ retryKey, u unservedRecord) bool {
		return s.now > u.expires
	})
}

// forgetNodes drops nodes and shards that are gone, and tells whether some are left for a later tick.
func (s *Scheduler) forgetNodes() (left bool) {
	before := len(s.nodes.list)
	s.nodes.list = slices.DeleteFunc(s.nodes.list, func(n *node) bool {
		if n.state != Removed {
			return false
		}
		if len(n.attempts) > 0 {
			left = true
			return false
		}
		delete(s.nodes.byName, n.Name)
		return true
	})
	if len(s.nodes.list) < before {
		for _, id := range s.shards.ids {
			sh := s.shards.byID[id]
			sh.nodes = slices.DeleteFunc(sh.nodes, func(n *node) bool { return s.nodes.byName[n.Name] != n })
		}
	}
	return s.forgetShards() || left
}

// forgetShards drops shards without nodes and requests, and tells whether some without nodes are left.
func (s *Scheduler) forgetShards() (left bool) {
	memory := servedWarmUps*s.settings.Rules.WarmUpTime + s.minObjective
	s.shards.ids = slices.DeleteFunc(s.shards.ids, func(id int) bool {
		sh := s.shards.byID[id]
		if len(sh.nodes) > 0 {
			return false
		}
		servedLately := sh.servedAt > 0 && s.now-sh.servedAt <= memory
		if len(sh.queue) > 0 || servedLately {
			left = true
			return false
		}
		delete(s.shards.byID, id)
		isThis := func(other *shard) bool { return other == sh }
		s.shards.balanced = slices.DeleteFunc(s.shards.balanced, isThis)
		return true
	})
	return left
}

// forgetVolumes drops volumes that have been idle for long. A tick looks at a part of them.
func (s *Scheduler) forgetVolumes() {
	t := &s.volumes
	if t.sweepPosition >= len(t.list) {
		t.sweepPosition = 0
	}
	end := min(len(t.list), t.sweepPosition+max(sweepMin, len(t.list)/sweepFraction))
	kept := t.sweepPosition
	for _, v := range t.list[t.sweepPosition:end] {
		if s.ticks-v.lastUsedTick <= volumeIdleTicks {
			t.list[kept] = v
			kept++
			continue
		}
		delete(t.byName, v.name)
		if t.byHash[v.hash] == v {
			delete(t.byHash, v.hash)
		}
	}
	t.closeGap(kept, end)
	t.sweepPosition = kept
}

// closeGap fills the places from start to end with the last volumes of the list: their order does not count.
func (t *volumeTable) closeGap(start, end int) {
	if start >= end {
		return
	}
	left := len(t.list) - (end - start)
	copy(t.list[start:], t.list[max(end, left):])
	clear(t.list[left:])
	t.list = t.list[:left]
}
