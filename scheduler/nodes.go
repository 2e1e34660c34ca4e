package scheduler

import (
	"cmp"
	"slices"
	"time"

	"junctionwharf/balancer"
)

type node struct {
	Endpoint
	state    NodeState
	out      int     // attempts out
	bound    float64 // most attempts out
	full     bool    // the bound held something back since it was judged
	judged   int     // tick in which answers last moved the bound
	pacedAt  Time    // last send, from which a bound below one paces the next
	finished float64 // units served for this host in this tick
	took     float64 // running mean of seconds from send to answer
	standing float64 // least of the recent times, which rises slowly
	futile   bool    // an attempt was called off since its last answer
	answers  int     // answers in this tick
	waited   float64 // seconds that they took together
	lastSent Time    // first send since the last outcome
	heard    Time    // last answer of any kind
	restTill Time    // nothing is sent before: it turned attempts away
	rest     time.Duration
	faults   int  // attempts that failed since its last answer that served
	bornAt   Time // earliest start that fits what is known, for the cold guard
	cold     bool
	savings  float64 // units that may be sent to it while it is cold
	savedAt  Time
	flight   []*request // attempts out, in the order sent
	home     *shard     // among whose nodes it stands
	member   *balancer.Replica
	listed   uint64 // Scheduler.stirred when a list last named it
	number   int    // of its first coming
	works    bool   // it stands among those at work
}

func (g *Scheduler) shardOf(id int) *shard {
	s := g.shards[id]
	if s == nil {
		s = &shard{id: id}
		g.shards[id], g.resum = s, true
		at, _ := slices.BinarySearch(g.shardIDs, id)
		g.shardIDs = slices.Insert(g.shardIDs, at, id)
	}
	return s
}

func (s *shard) add(n *node) {
	s.nodes = append(s.nodes, n)
	n.home = s
}

func (s *shard) readyNode() *node {
	for _, n := range s.nodes {
		if n.state == Ready {
			return n
		}
	}
	return nil
}

// several tells whether a shard has more than one node that could serve.
func (s *shard) several() bool {
	ready := 0
	for _, n := range s.nodes {
		if n.state == Ready {
			if ready++; ready > 1 {
				return true
			}
		}
	}
	return false
}

// byShard orders shards by their ids.
func byShard(s *shard, id int) int { return cmp.Compare(s.id, id) }
