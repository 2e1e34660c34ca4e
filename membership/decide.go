package membership

import "slices"

// Reasons for the state of a node, as operators read them on the console.
const (
	reasonUnclaimed       = "no source holds it"
	reasonRemovedPrefix   = "removed by "
	reasonDrainingPrefix  = "draining by "
	reasonSuspectedSuffix = ", suspect: its latest answers lack it"
)

// decide applies rules 1 to 4 and 7 to one address, and reports whether the result is a change for the core.
func (s *State) decide(address string) (Node, bool) {
	removedBy, removedAt := s.latestRemoval(address)
	m := s.merge(address, removedBy != "", removedAt)
	if !m.claimed {
		s.dropRemovals(address)
	}
	if !m.believed || !m.mayAdd {
		return s.remove(address, removedBy)
	}
	return s.list(address, m)
}

// latestRemoval returns the source with the latest removal of an address, and the time of that removal (rule 3). by is
// empty if there is no removal.
func (s *State) latestRemoval(address string) (by string, at Micros) {
	at = -1
	for _, src := range s.sources {
		if c, known := src.claims[address]; known && c.removed && c.at > at {
			by = src.Name
			at = c.at
		}
	}
	return by, at
}

// dropRemovals deletes the removals of an address that no source claims, because there is no claim left to overrule.
func (s *State) dropRemovals(address string) {
	for _, src := range s.sources {
		if c, known := src.claims[address]; known && c.removed {
			delete(src.claims, address)
			src.removed--
		}
	}
}

// merged combines the claims of all sources on one address.
type merged struct {
	claimed    bool  // a source lists the address, even if a removal overrules the claim
	believed   bool  // a source lists the address, and no removal overrules the claim
	first      claim // believed claim of the first source that has one
	reason     string
	mayAdd     bool   // a source with a believed claim has the permission to add
	drainingBy string // first source whose believed claim drains the node; empty if there is none
	lastStart  Micros // first known start in the believed claims, or UnknownStart
}

// merge combines the claims on an address. Claims that the latest removal overrules are not believed.
func (s *State) merge(address string, removed bool, removedAt Micros) merged {
	m := merged{lastStart: UnknownStart}
	for _, src := range s.sources {
		c, known := src.claims[address]
		if !known || c.removed {
			continue
		}
		m.claimed = true
		if removed && c.at <= removedAt {
			continue
		}
		if !m.believed {
			m.believed = true
			m.first = c
			m.reason = src.Name
			if c.suspect {
				m.reason += reasonSuspectedSuffix
			}
		}
		m.mayAdd = m.mayAdd || src.Permissions.Add
		if c.State == Draining && src.Permissions.Drain && m.drainingBy == "" {
			m.drainingBy = src.Name
		}
		if m.lastStart == UnknownStart {
			m.lastStart = c.LastStart
		}
	}
	return m
}

// remove removes an address from the list, and returns the removed node. It returns false if the address was not
// listed.
func (s *State) remove(address, removedBy string) (Node, bool) {
	n := s.nodes[address]
	if s.heldBack[address] { // the node was removed again while its return was delayed
		delete(s.heldBack, address)
		s.removals = append(s.removals, removal{address, s.now})
	}
	if n == nil || !n.listed {
		return Node{}, false
	}
	removed := n.announced
	removed.State = Removed
	removed.Reason = reasonUnclaimed
	if removedBy != "" {
		removed.Reason = reasonRemovedPrefix + removedBy
	}
	n.listed = false
	n.removedAt = s.now
	s.removals = append(s.removals, removal{address, s.now})
	delete(s.names, removed.Name)
	return removed, true
}

// list adds an address to the list or updates it, and returns the node. It returns false if nothing has changed for the
// core.
func (s *State) list(address string, m merged) (Node, bool) {
	n := s.nodes[address]
	if n == nil {
		n = &node{}
		s.nodes[address] = n
	}
	if !n.listed && !s.mayReturn(address, n) {
		return Node{}, false
	}
	entry := m.first.Entry
	reason := m.reason
	entry.LastStart = s.startTime(n, m.lastStart, m.first.firstAnswer)
	entry.State = Ready
	if m.drainingBy != "" {
		entry.State = Draining
		reason = reasonDrainingPrefix + m.drainingBy
	}
	if n.listed {
		entry.Name = n.announced.Name
	} else {
		entry.Name = s.uniqueName(entry.Name, address)
	}
	announced := Node{Entry: entry, Reason: reason}
	if n.listed && n.announced.Entry == announced.Entry {
		n.announced = announced
		return Node{}, false
	}
	n.listed = true
	n.announced = announced
	s.names[entry.Name] = address
	return announced, true
}

// startTime returns the start time of a node for the core, which warms up a node that has just started (rule 7). 0
// means long ago.
func (s *State) startTime(n *node, claimed Micros, firstAnswer bool) Micros {
	switch {
	case claimed != UnknownStart:
		return claimed
	case n.listed:
		return n.announced.LastStart
	case n.removedAt == 0 && firstAnswer: // already in the source's first answer: probably started earlier
		return 0
	}
	return s.now
}

const (
	// firstHold is the delay of a flapping node's first delayed return: 2 s, doubled with each further one. If it were
	// lower, the node would more often receive requests that it then loses. If it were higher, a node would be out for
	// long after a few restarts.
	firstHold Micros = 2e6
	// maxHoldDoublings keeps the doubled delay within 64 bits. Options.MaxHold limits the delay long before.
	maxHoldDoublings = 20
	// maxRememberedReturns is the maximum number of returns recorded for a flapping node. It must exceed
	// Options.MaxReturns by the number of doublings after which the delay reaches Options.MaxHold.
	maxRememberedReturns = 32
)

// mayReturn reports whether an unlisted node may be listed now. The return of a flapping node is delayed (rule 7).
func (s *State) mayReturn(address string, n *node) bool {
	if n.removedAt == 0 {
		return true
	}
	if s.now < n.heldUntil {
		s.heldBack[address] = true
		return false
	}
	n.returns = slices.DeleteFunc(n.returns, func(at Micros) bool { return at < s.now-s.options.FlapWindow })
	if over := len(n.returns) - s.options.MaxReturns; over >= 0 && n.heldUntil <= n.removedAt {
		n.heldUntil = s.now + min(s.options.MaxHold, firstHold<<min(over, maxHoldDoublings))
		s.heldBack[address] = true
		return false
	}
	n.returns = append(n.returns, s.now)
	if len(n.returns) > maxRememberedReturns {
		n.returns = n.returns[1:]
	}
	return true
}

// uniqueName returns a name that no other listed node has. A node without a name is named by its address. If another
// address has the name, the node's address is appended.
func (s *State) uniqueName(name, address string) string {
	if name == "" {
		return address
	}
	if other, taken := s.names[name]; taken && other != address {
		return name + "@" + address
	}
	return name
}
