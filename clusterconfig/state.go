package clusterconfig

import (
	"fmt"
	"slices"
)

// Command is an entry of the raft log. Exactly one of the fields is set. The struct tags are the field names on disk.
type Command struct {
	Begin    *Entry    `msgpack:"Begin"`    // makes this entry pending
	Activate uint64    `msgpack:"Activate"` // makes this pending version active
	Adopt    *Document `msgpack:"Adopt"`    // adopts a document of an earlier epoch if this epoch has no version yet
}

// Member is a voter's raft identity. A voter that loses its stored state gets a new ID.
type Member struct {
	Name string `msgpack:"Name"`
	ID   uint64 `msgpack:"ID"`
}

// State is the state that the raft log replicates. All voters apply the same commands in the same order, and reject the
// same ones. The struct tags are the field names in the snapshot.
type State struct {
	Document *Document         `msgpack:"Doc"`
	Pending  *Entry            `msgpack:"Pending"` // nil for none
	History  []Entry           `msgpack:"Trail"`   // latest entries up to Document.Version
	Members  map[string]uint64 `msgpack:"Members"` // raft identities by name
}

// MaxHistory limits the number of entries in the history. The hash in the oldest kept entry covers all earlier ones. A
// larger limit would enlarge each snapshot. A smaller limit would shorten the range of versions that an operator can
// compare and roll back to.
const MaxHistory = 1000

// NewState returns the empty state of a new epoch.
func NewState(epoch uint64, members map[string]uint64) *State {
	return &State{Document: &Document{Epoch: epoch, Values: map[string]string{}}, Members: members}
}

// Apply applies a committed command. A rejected command changes nothing.
func (s *State) Apply(c Command) error {
	switch {
	case c.Begin != nil:
		return s.begin(*c.Begin)
	case c.Activate > 0:
		return s.activate(c.Activate)
	case c.Adopt != nil:
		return s.adopt(c.Adopt)
	}
	return ErrEmptyCommand
}

func (s *State) begin(e Entry) error {
	if s.Pending != nil {
		return changePending(s.Pending.Version)
	}
	if err := e.verifyFollows(s.Document.LastEntry); err != nil {
		return fmt.Errorf("%w: %w", ErrVersionConflict, err)
	}
	s.Pending = &e
	return nil
}

func (s *State) activate(version uint64) error {
	if s.Pending == nil || s.Pending.Version != version {
		return fmt.Errorf("%w: version %d", ErrNotPending, version)
	}
	if err := s.Document.Apply(*s.Pending); err != nil {
		return err
	}
	s.appendHistory(*s.Pending)
	s.Pending = nil
	return nil
}

func (s *State) adopt(document *Document) error {
	if s.Document.Version > 0 || s.Pending != nil {
		return ErrDocumentExists
	}
	epoch := s.Document.Epoch
	s.Document = document.Clone()
	s.Document.Epoch = epoch
	s.appendHistory(s.Document.LastEntry)
	return nil
}

func (s *State) appendHistory(e Entry) {
	s.History = append(s.History, e)
	if len(s.History) > MaxHistory {
		s.History = slices.Clone(s.History[len(s.History)-MaxHistory:])
	}
}
