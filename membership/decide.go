package membership

import "slices"

// What operators read as the reason why a node is listed as it is.
const (
	reasonUnclaimed       = "no source holds it"
	reasonRemovedPrefix   = "removed by "
	reasonDrainingPrefix  = "draining by "
	reasonSuspectedSuffix = ", suspect: its latest answers lack it"
)

// decide works out one address by rules 1 to 4 and 7, and reports whether that is a change for the core.
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

// latestRemoval is rule 3's: who removed an address last, and when.
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

// dropRemovals gives up the removals of an address that nobody claims: they overrule nobody any more.
func (s *State) dropRemovals(address string) {
	for _, src := range s.sources {
		if c, known := src.claims[address]; known && c.removed {
			delete(src.claims, address)
			src.removed--
		}
	}
}

// merged is what the sources say of an address together.
type merged struct {
	claimed    bool  // a source lists it, overruled or not
	believed   bool  // a source lists it and is not overruled
	first      claim // of the first such source
	reason     string
	mayAdd     bool   // a source that lists it may add
	drainingBy string // empty for none
	lastStart  Micros
}

// merge takes together all claims on an address that are newer than its latest removal.
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

// remove takes an address off the list, and reports whether it was on it.
func (s *State) remove(address, removedBy string) (Node, bool) {
	n := s.nodes[address]
	if s.heldBack[address] { // it was removed before it was let back
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

// list puts an address on the list, or keeps it there, and reports whether that is a change.
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

// startTime is rule 7's sign: when a node started, as the core is to believe.
func (s *State) startTime(n *node, claimed Micros, firstAnswer bool) Micros {
	switch {
	case claimed != UnknownStart:
		return claimed
	case n.listed:
		return n.announced.LastStart
	case n.removedAt == 0 && firstAnswer: // it was there when its source was asked first
		return 0
	}
	return s.now
}

const (
	// firstHold is how long a flapping node is held back first: 2 s, doubled with each further return. If it were
	// lower, the node would be given requests more often only to lose them; if it were higher, three restarts would
	// keep it out long.
	firstHold Micros = 2e6
	// maxHoldDoublings keeps the doubling within 64 bits; Options.MaxHold bounds it long before.
	maxHoldDoublings = 20
	// maxRememberedReturns bounds what is remembered of a node that flaps. It only has to be above Options.MaxReturns
	// by enough doublings to reach Options.MaxHold.
	maxRememberedReturns = 32
)

// mayReturn is rule 7's other half: a node that comes and goes is held back.
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

// uniqueName keeps names apart: one that another address has gets its address behind it.
func (s *State) uniqueName(name, address string) string {
	if name == "" {
		return address
	}
	if other, taken := s.names[name]; taken && other != address {
		return name + "@" + address
	}
	return name
}
