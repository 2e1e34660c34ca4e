// Package choice ranks the nodes that could serve a request, as SRV records mean it (RFC 2782): the lower priority goes
// first while it has room, and those of one priority share the rest by their parts. It has no state.
package choice

// Candidate is a node that has room for the request.
type Candidate struct {
	Priority int     // lower goes first
	Out      int     // attempts out there
	Part     float64 // of the load, against others of its priority; 0 or less counts as 1
}

// Before tells whether a is the better choice than b. Of one priority it is the one that would be loaded less, against its
// part, with the request on top: with equal parts, the one with fewer attempts out. A tie goes to neither.
func Before(a, b Candidate) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return float64(a.Out+1)*part(b) < float64(b.Out+1)*part(a)
}

func part(c Candidate) float64 {
	if c.Part > 0 {
		return c.Part
	}
	return 1
}
