package scheduler

import (
	"maps"
	"slices"
)

const (
	// volumeIdleTicks is the number of ticks without a request after which a volume is forgotten. With a
	// larger value memory grows with all volumes of the last hours. With a smaller value a volume that
	// returns has lost its saved tokens, and its demand is unknown.
	volumeIdleTicks = 2400
	// expiryTicks is the number of ticks between two searches for expired key queues and unserved requests.
	// With a larger value expired entries use memory for longer. With a smaller value ticks take longer.
	expiryTicks = 16
	// sweepMin and sweepFraction define the number of volumes that a tick checks: the total divided by
	// sweepFraction, at least sweepMin. If a tick checks more volumes, it takes longer. If it checks fewer,
	// memory is freed later.
	sweepMin      = 256
	sweepFraction = 64
	// servedWarmUps is the time for which the served rate of a shard without nodes is kept, as a multiple of
	// the warm-up time. With a larger value memory holds more shards that no longer exist. With a smaller
	// value a node that replaces the last node of its shard starts slower than it could.
	servedWarmUps = 4
)

// forget bounds the memory of a process that runs for months, while nodes are replaced under new names,
// volumes appear and disappear, and reports expire. A removed node is kept while attempts are in flight at
// it. A shard without nodes is kept while it has queued requests, or while the rate at which its nodes served
// this broker may set the slow-start budget of a new node.
func (s *Scheduler) forget() {
	if s.nodes.recount {
		s.nodes.recount = s.forgetNodes()
	}
	s.forgetVolumes()
	s.demand.forgetOld(s.ticks)
}

// forgetExpired drops expired key queues and unserved requests. Dropping them does not change any decision.
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

// forgetNodes drops removed nodes and empty shards. It reports whether nodes or shards remain that a later
// tick must drop.
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

// forgetShards drops shards without nodes, unless they have queued requests or served a request recently. It
// reports whether shards without nodes remain.
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

// forgetVolumes drops volumes without an open request, and without a new one for volumeIdleTicks. Each tick
// checks a part of the volumes.
func (s *Scheduler) forgetVolumes() {
	t := &s.volumes
	if t.sweepPosition >= len(t.list) {
		t.sweepPosition = 0
	}
	for range min(len(t.list)-t.sweepPosition, max(sweepMin, len(t.list)/sweepFraction)) {
		v := t.list[t.sweepPosition]
		if v.openRequests > 0 || s.ticks-v.lastUsedTick <= volumeIdleTicks {
			t.sweepPosition++
			continue
		}
		s.forgetVolume(v) // the last volume of the list takes its position
	}
}
