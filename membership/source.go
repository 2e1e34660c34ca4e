package membership

// source is the state of one source.
type source struct {
	SourceOptions
	claims       map[string]claim  // by address
	names        map[string]string // addresses by name
	present      int               // number of claims apart from removals
	removed      int               // number of claims that are removals
	answeredAt   Micros            // time of the last answer; 0 if there was none
	askedAt      Micros            // time of the query that led to the last answer
	suspectSince Micros            // time of the first suspect snapshot (rule 5); 0 if none
	retired      bool              // no longer queried; its claims stay until all other sources have answered

	lastFailure string // empty after an answer
	answers     uint64
	failures    uint64
	rejected    uint64 // rejected answers and entries
}

func newSource(options SourceOptions) *source {
	return &source{SourceOptions: options, claims: map[string]claim{}, names: map[string]string{}}
}

// claim is a source's latest information on an address: the source lists it, or has removed it.
type claim struct {
	Entry
	suspect     bool   // the latest full snapshot lacks the address, and its removal is deferred
	removed     bool   // the claim is a removal of rule 3: the source no longer lists the address
	firstAnswer bool   // the source listed the address in its first answer
	at          Micros // start of the claim, or time of the removal
}

const (
	// minSuspectLoss is the minimum number of nodes that a suspect answer lacks. If it were lower, the loss of one of
	// two nodes in a small fleet would take effect late. If it were higher, one faulty answer could remove all nodes
	// of a small fleet at once.
	minSuspectLoss = 3
	// suspectLossDivisor makes a loss of more than half of the claims suspect. If a smaller loss were suspect, the
	// removals of an ordinary roll-out would be deferred.
	suspectLossDivisor = 2
	// claimsPerMaxNodes limits a source's claims, including removals, to a multiple of Options.MaxNodes. If it were 1,
	// entries would be ignored while a fleet of that size is replaced.
	claimsPerMaxNodes = 2
)

// emptyAnswerReason is shown to operators as the last failure of a source whose answer had no entries.
const emptyAnswerReason = "an answer without entries"

// handleAnswer applies an answer of a source. It implements rules 5 and 6.
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
		if entry.Address == "" { // a removal may name a node without its address
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

// applySnapshot applies a full snapshot. It rejects an empty one if the source has claims. Claims that the snapshot
// lacks are removed, unless deferLoss defers that.
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

// deferLoss reports whether the removal of the nodes that a full snapshot lacks is deferred. If so, it marks their
// claims as suspect. It protects against a source that answers with a part of its list, for example while the source
// restarts: otherwise most nodes would be removed at once, and the remaining nodes would be overloaded.
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

// claim records that a source lists an address.
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

// unclaim records that a source no longer lists an address. If the source may remove, its claim becomes a removal,
// which overrules earlier claims of other sources.
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
