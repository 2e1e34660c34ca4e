package membership

// source is what one source says.
type source struct {
	SourceOptions
	claims       map[string]claim  // by address
	names        map[string]string // addresses by name
	present      int               // how many claims are not removed
	removed      int               // how many are
	answeredAt   Micros            // when it last answered, 0 for never
	askedAt      Micros            // when the question of the last answer was asked
	suspectSince Micros            // since when its full snapshots lack the suspects; 0 for none
	retired      bool              // it is asked no more: what it claims stays until all others have answered

	lastFailure string // empty after an answer
	answers     uint64
	failures    uint64
	rejected    uint64 // answers and entries that were not believed
}

func newSource(options SourceOptions) *source {
	return &source{SourceOptions: options, claims: map[string]claim{}, names: map[string]string{}}
}

// claim is what a source says of an address.
type claim struct {
	Entry
	suspect     bool   // deferred removal: the latest answers lack it
	removed     bool   // it was dropped: a removal of rule 3
	firstAnswer bool   // it came with the source's first answer
	at          Micros // since when it is claimed, or of the removal
}

const (
	// minSuspectLoss is in nodes. If it were lower, a small fleet that loses one of two nodes would be noticed late;
	// if it were higher, a small fleet would lose all its nodes to a faulty answer at once.
	minSuspectLoss = 3
	// suspectLossDivisor makes a loss of more than half suspect. If it were higher, an ordinary roll-out would be
	// deferred.
	suspectLossDivisor = 2
	// claimsPerMaxNodes bounds claims, removed ones included, by a multiple of Options.MaxNodes. If it were 1, a
	// fleet of that size could not be replaced without entries being left out.
	claimsPerMaxNodes = 2
)

// emptyAnswerReason is what operators see as the last fault of a source whose answer named no node.
const emptyAnswerReason = "an answer without entries"

// handleAnswer applies what a source says. Rules 5 and 6 stand here.
func (s *State) handleAnswer(src *source, e SourceAnswered) {
	if e.AskedAt < src.askedAt {
		src.rejected++
		return
	}
	src.answers++
	src.askedAt = e.AskedAt
	src.answeredAt = s.now
	src.lastFailure = ""
	if e.Complete {
		s.applySnapshot(src, e.Entries)
		return
	}
	for _, entry := range e.Entries {
		if entry.Address == "" { // a change may name a removed node without its address
			entry.Address = src.names[entry.Name]
		}
		s.applyEntry(src, entry)
	}
}

func (s *State) applyEntry(src *source, entry Entry) {
	if entry.State == Removed {
		s.unclaim(src, entry.Address)
	} else {
		s.claim(src, entry)
	}
}

// applySnapshot takes a full snapshot: what it does not name is dropped, at once or later.
func (s *State) applySnapshot(src *source, entries []Entry) {
	present := src.present
	if len(entries) == 0 && present > 0 {
		src.rejected++
		src.lastFailure = emptyAnswerReason
		return
	}
	named := make(map[string]bool, len(entries))
	for _, entry := range entries {
		if entry.Address == "" || len(named) >= s.options.MaxNodes {
			continue
		}
		named[entry.Address] = true
		s.applyEntry(src, entry)
	}
	var missing []string
	for address, c := range src.claims {
		if !named[address] && !c.removed {
			missing = append(missing, address)
		}
	}
	if len(missing) > 0 && s.deferLoss(src, missing, present) {
		return
	}
	src.suspectSince = 0
	for _, address := range missing {
		s.unclaim(src, address)
	}
}

// deferLoss reports whether the removal of what a full snapshot lacks is deferred, and marks it as suspect. It guards
// against a source that answers with a part of its list, as while it restarts: without it most nodes would be removed
// at once, and those that are left would be overloaded.
func (s *State) deferLoss(src *source, missing []string, present int) bool {
	if len(missing) < minSuspectLoss || suspectLossDivisor*len(missing) <= present {
		return false
	}
	if src.suspectSince == 0 {
		src.suspectSince = s.now
	}
	if s.now-src.suspectSince >= s.options.SuspectHold {
		return false
	}
	src.rejected++
	for _, address := range missing {
		c := src.claims[address]
		if c.suspect {
			continue
		}
		c.suspect = true
		src.claims[address] = c
		s.dirty[address] = true
	}
	return true
}

// claim notes that a source lists an address.
func (s *State) claim(src *source, entry Entry) {
	if entry.Capacity <= 0 {
		entry.Capacity = 1
	}
	if entry.Address == "" {
		return
	}
	old, known := src.claims[entry.Address]
	if !known && len(src.claims) >= claimsPerMaxNodes*s.options.MaxNodes {
		src.rejected++
		return
	}
	if known && !old.suspect && !old.removed && old.Entry == entry {
		return
	}
	c := claim{Entry: entry, at: s.now, firstAnswer: src.answers == 1}
	if known && !old.removed {
		c.at = old.at
		c.firstAnswer = old.firstAnswer
		delete(src.names, old.Name)
	} else {
		src.present++
		if known {
			src.removed--
		}
	}
	src.claims[entry.Address] = c
	src.names[entry.Name] = entry.Address
	s.dirty[entry.Address] = true
}

// unclaim notes that a source no longer lists an address. Its removal stays while others claim the address.
func (s *State) unclaim(src *source, address string) {
	c, known := src.claims[address]
	if !known || c.removed {
		return
	}
	src.present--
	if src.names[c.Name] == address {
		delete(src.names, c.Name)
	}
	if src.Permissions.Remove {
		c.removed = true
		c.suspect = false
		c.at = s.now
		src.claims[address] = c
		src.removed++
	} else {
		delete(src.claims, address)
	}
	s.dirty[address] = true
}
