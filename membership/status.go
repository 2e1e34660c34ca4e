package membership

import (
	"maps"
	"slices"
	"time"
)

// SourceStatus describes a source for operators.
type SourceStatus struct {
	Name     string
	Claims   int           // number of nodes that the source claims
	Suspects int           // number of these nodes whose removal is deferred
	Age      time.Duration // since the last answer; negative if there was none
	Reason   string        // of the last failure; empty after an answer
	Answers  uint64
	Failures uint64
	Rejected uint64 // rejected answers and entries
}

// Sources returns the status of all sources. now is the current time.
func (s *State) Sources(now Micros) []SourceStatus {
	var all []SourceStatus
	for _, src := range s.sources {
		status := SourceStatus{
			Name:     src.Name,
			Claims:   src.present,
			Age:      -1,
			Reason:   src.lastFailure,
			Answers:  src.answers,
			Failures: src.failures,
			Rejected: src.rejected,
		}
		if src.answeredAt > 0 {
			status.Age = time.Duration(now-src.answeredAt) * time.Microsecond
		}
		for _, c := range src.claims {
			if c.suspect {
				status.Suspects++
			}
		}
		all = append(all, status)
	}
	return all
}

// List returns all listed nodes in the order of their addresses, and for each node the names of the sources that claim
// it.
func (s *State) List() (nodes []Node, claimedBy [][]string) {
	for _, address := range slices.Sorted(maps.Keys(s.nodes)) {
		n := s.nodes[address]
		if !n.listed {
			continue
		}
		var names []string
		for _, src := range s.sources {
			if c, known := src.claims[address]; known && !c.removed {
				names = append(names, src.Name)
			}
		}
		nodes = append(nodes, n.announced)
		claimedBy = append(claimedBy, names)
	}
	return nodes, claimedBy
}
