package clusterconfig

import (
	"fmt"
	"maps"
)

// VerifyHistory checks that each entry of the history matches its hash and follows the entry before it, and that the
// last entry is the document's last entry. It returns the first fault, nil for none. An empty history is valid.
func (s *State) VerifyHistory() error {
	for i, e := range s.History {
		if err := e.verifyHash(); err != nil {
			return err
		}
		if i == 0 {
			continue
		}
		if err := e.verifyFollows(s.History[i-1]); err != nil {
			return err
		}
	}
	n := len(s.History)
	if n > 0 && s.History[n-1].Hash != s.Document.LastEntry.Hash {
		return &HeadError{History: s.History[n-1].Version, Document: s.Document.Version}
	}
	return nil
}

// DocumentAt returns the document at a version, ErrNotYetActive for a version after the active one, or a
// TruncatedError. It starts with the present values, and restores each key that was changed after the version: it
// searches the earlier entries for the last one that changed this key. DocumentAt returns a TruncatedError if the
// history was truncated and has no such entry, or does not have all entries after the version.
func (s *State) DocumentAt(version uint64) (*Document, error) {
	if version > s.Document.Version {
		return nil, fmt.Errorf("%w: got %d, active version is %d", ErrNotYetActive, version, s.Document.Version)
	}
	if version == s.Document.Version {
		return s.Document.Clone(), nil
	}
	if !s.historyReaches(version) {
		return nil, &TruncatedError{Version: version}
	}
	document := &Document{Epoch: s.Document.Epoch, Version: version, Values: maps.Clone(s.Document.Values)}
	earlier := map[string]string{}    // latest values set at or before version
	changedLater := map[string]bool{} // keys changed after version
	for _, e := range s.History {
		if e.Version == version {
			document.LastEntry = e
		}
		for _, c := range e.Proposal.Changes {
			if e.Version <= version {
				earlier[c.Key] = c.Value
			} else {
				changedLater[c.Key] = true
			}
		}
	}
	for key := range changedLater {
		value, found := earlier[key]
		if !found && s.History[0].Version > 1 {
			return nil, &TruncatedError{Key: key, Version: version}
		}
		delete(document.Values, key)
		if value != "" {
			document.Values[key] = value
		}
	}
	return document, nil
}

// historyReaches reports whether the history holds every entry after a version.
func (s *State) historyReaches(version uint64) bool {
	if len(s.History) == 0 {
		return false
	}
	oldest := s.History[0].Version
	return oldest <= 1 || version+1 >= oldest
}
