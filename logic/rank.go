package logic

import (
	"cmp"

	"junctionwharf/choice"
)

// before tells whether n is the better choice than other, as package choice ranks them.
func (n *node) before(other *node) bool {
	return choice.Before(choice.Candidate{Priority: n.Priority, Out: n.out, Part: n.Part},
		choice.Candidate{Priority: other.Priority, Out: other.out, Part: other.Part})
}

// byShard orders shards by their ids.
func byShard(s *shard, id int) int { return cmp.Compare(s.id, id) }
