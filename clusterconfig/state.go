package clusterconfig

import (
	"fmt"
	"slices"
)

// Command is an entry of the raft log. Exactly one of the fields is set. The tags are its names on disk.
type Command struct {
	Begin    *Entry    `msgpack:"Begin"`    // this version becomes pending
	Activate uint64    `msgpack:"Activate"` // the pending version becomes active
	Adopt    *Document `msgpack:"Adopt"`    // take over the document of an earlier epoch, if there is none yet
}

// Member is a voter's raft identity. A voter that loses its disk gets a new one.
type Member struct {
	Name string `msgpack:"Name"`
	ID   uint64 `msgpack:"ID"`
}

// State is what the raft log replicates: all voters apply the same commands in the same order, and reject the same
// ones. The tags are its names in the snapshot.
type State struct {
	Document *Document         `msgpack:"Doc"`
	Pending  *Entry            `msgpack:"Pending"` // nil for none
	History  []Entry           `msgpack:"Trail"`   // the latest entries up to Document.Version
	Members  map[string]uint64 `msgpack:"Members"` // raft identities by name
}

// MaxHistory bounds the history. What is older is covered by the hash that the oldest kept entry names. More would
// enlarge each snapshot; fewer would shorten what an operator can compare and roll back to.
const MaxHistory = 1000

// NewState starts an epoch.
func NewState(epoch uint64, members map[string]uint64) *State {
	return &State{Document: &Document{Epoch: epoch, Values: map[string]string{}}, Members: members}
}

// Apply carries out a committed command. A rejected command changes nothing.
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
