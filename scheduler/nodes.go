package scheduler

import (
	"cmp"
	"slices"

	"junctionwharf/balancer"
)

// node is what is known of one node of the endpoint list.
type node struct {
	Endpoint
	state            NodeState // as listed, Removed also once a full list no longer has it
	listedGeneration uint64    // scanSchedule.generation when a list last had it
	sequence         int       // in the order in which nodes were first seen
	shard            *shard    // that it was first listed with
	replica          *balancer.Replica

	active        bool       // ticks work on it
	attempts      []*request // in flight, in the order sent
	inFlight      int        // of them those that are not presumed lost
	finishedUnits float64    // answered in this tick

	limit     concurrencyLimit
	latency   latencyStats
	health    nodeHealth
	slowStart slowStart
}

// shardTable holds the shards by id.
type shardTable struct {
	byID     map[int]*shard
	ids      []int    // in order
	balanced []*shard // those with a balancer, by id
}

// shardByID returns a shard, which it makes where it is new.
func (s *Scheduler) shardByID(id int) *shard {
	sh := s.shards.byID[id]
	if sh == nil {
		sh = &shard{id: id}
		s.shards.byID[id] = sh
		s.nodes.recount = true
		at, _ := slices.BinarySearch(s.shards.ids, id)
		s.shards.ids = slices.Insert(s.shards.ids, at, id)
	}
	return sh
}

// compareShardID orders shards by their ids.
func compareShardID(sh *shard, id int) int { return cmp.Compare(sh.id, id) }

func (sh *shard) addNode(n *node) {
	sh.nodes = append(sh.nodes, n)
	n.shard = sh
}

func (sh *shard) firstReady() *node {
	for _, n := range sh.nodes {
		if n.state == Ready {
			return n
		}
	}
	return nil
}

// hasSeveralReady tells whether more than one node could serve the shard.
func (sh *shard) hasSeveralReady() bool {
	ready := 0
	for _, n := range sh.nodes {
		if n.state == Ready {
			if ready++; ready > 1 {
				return true
			}
		}
	}
	return false
}

// fastest is the ready node by which the shard's service time is estimated: of several, the least latency
// among those that are not unresponsive, since that is where a request goes next.
func (sh *shard) fastest() *node {
	first := sh.firstReady()
	if first == nil || sh.balancer == nil {
		return first
	}
	best := first
	for _, n := range sh.nodes {
		if n.state != Ready || n.replica == nil || n.replica.Unresponsive() || n.latency.smoothed <= 0 {
			continue
		}
		unknown := best.replica == nil || best.replica.Unresponsive() || best.latency.smoothed <= 0
		if unknown || n.latency.smoothed < best.latency.smoothed {
			best = n
		}
	}
	return best
}

// serviceTime is how many seconds an attempt at the shard takes, 0 where that is not known.
func (sh *shard) serviceTime() float64 {
	if n := sh.fastest(); n != nil {
		return n.latency.smoothed
	}
	return 0
}

// workingNodes is how many nodes work at the shard's queue.
func (sh *shard) workingNodes() float64 {
	if sh.balancer == nil {
		return 1
	}
	count := 0
	for _, n := range sh.nodes {
		if n.state == Ready && n.replica != nil && !n.replica.Unresponsive() {
			count++
		}
	}
	return float64(max(1, min(count, sh.balancer.SubsetSize())))
}
