package scheduler

import (
	"cmp"
	"slices"

	"junctionwharf/balancer"
)

// node is the state of one node of the endpoint list.
type node struct {
	Endpoint
	state            NodeState // as listed, or Removed if the last full list did not name the node
	listedGeneration uint64    // scanSchedule.generation of the last update that named the node
	sequence         int       // position in the order in which nodes were first seen
	shard            *shard    // shard in the first list entry of the node
	replica          *balancer.Replica

	active        bool       // ticks process the node
	attempts      []*request // in flight, in the order sent
	inFlight      int        // attempts that are not presumed lost
	finishedUnits float64    // units of the requests that succeeded in this tick

	limit     concurrencyLimit
	latency   latencyStats
	health    nodeHealth
	slowStart slowStart
}

// shardTable holds the shards by id.
type shardTable struct {
	byID     map[int]*shard
	ids      []int    // sorted
	balanced []*shard // shards with a balancer, sorted by id
}

// shardByID returns the shard with an id. It creates the shard if it does not exist.
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

// compareShardID compares a shard's id with an id.
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

// hasSeveralReady reports whether more than one node of the shard is ready.
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

// fastest returns the ready node from which the shard's service time is estimated, nil for none. In a shard
// with a balancer it is the responsive node with the lowest known latency, because a request is given up only
// if even that node could not serve it in time. If no latency is known, it is the first ready node.
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

// serviceTime returns the expected duration of an attempt at the shard in seconds, 0 if unknown.
func (sh *shard) serviceTime() float64 {
	if n := sh.fastest(); n != nil {
		return n.latency.smoothed
	}
	return 0
}

// workingNodes returns the number of nodes that serve the shard's queue: 1 without a balancer, otherwise the
// ready and responsive nodes, at least 1 and at most the size of the balancer's subset.
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
