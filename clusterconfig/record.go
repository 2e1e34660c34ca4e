package clusterconfig

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Command is what the log of the consensus holds. One of the fields is set.
type Command struct {
	Begin    *Entry    `msgpack:"Begin"`    // a version is under way
	Activate uint64    `msgpack:"Activate"` // it is in force
	Adopt    *Document `msgpack:"Adopt"`    // a document of an earlier epoch is taken over, as long as there is none
}

// Member is a voter's identity: a number drawn for one life, or kept on a disk that lasts.
type Member struct {
	Name string `msgpack:"Name"`
	ID   uint64 `msgpack:"ID"`
}

// Record is what all voters hold alike: they apply the same commands in the same order. Commands that do not fit are refused alike.
type Record struct {
	Doc     *Document         `msgpack:"Doc"`
	Pending *Entry            `msgpack:"Pending"`
	Trail   []Entry           `msgpack:"Trail"`   // the latest, up to Doc.Version
	Members map[string]uint64 `msgpack:"Members"` // identities by name
}

// MostTrail bounds the trail: what is older is known by the hash that the oldest kept entry names.
const MostTrail = 1000

// NewRecord begins an epoch.
func NewRecord(epoch uint64, members map[string]uint64) *Record {
	return &Record{Doc: &Document{Epoch: epoch, Values: map[string]string{}}, Members: members}
}

// Apply carries out a committed command.
func (r *Record) Apply(c Command) error {
	switch {
	case c.Begin != nil:
		if r.Pending != nil {
			return fmt.Errorf("%w: version %d", ErrUnderWay, r.Pending.Version)
		}
		if err := c.Begin.follows(r.Doc.Last); err != nil {
			return fmt.Errorf("%w: %w", ErrExpected, err)
		}
		e := *c.Begin
		r.Pending = &e
	case c.Activate > 0:
		if r.Pending == nil || r.Pending.Version != c.Activate {
			return fmt.Errorf("version %d is not under way", c.Activate)
		}
		if err := r.Doc.Apply(*r.Pending); err != nil {
			return err
		}
		r.keep(*r.Pending)
		r.Pending = nil
	case c.Adopt != nil:
		if r.Doc.Version > 0 || r.Pending != nil {
			return errors.New("there is a document")
		}
		epoch := r.Doc.Epoch
		r.Doc = c.Adopt.Clone()
		r.Doc.Epoch = epoch
		r.keep(r.Doc.Last)
	default:
		return errors.New("an empty command")
	}
	return nil
}

func (r *Record) keep(e Entry) {
	if r.Trail = append(r.Trail, e); len(r.Trail) > MostTrail {
		r.Trail = slices.Clone(r.Trail[len(r.Trail)-MostTrail:])
	}
}

// Clone is a record that changes apart from this one, for a snapshot.
func (r *Record) Clone() *Record {
	return &Record{Doc: r.Doc.Clone(), Pending: r.Pending, Trail: slices.Clone(r.Trail), Members: maps.Clone(r.Members)}
}

// Verify checks the trail's chain up to the document and names the first version that does not hold.
func (r *Record) Verify() error {
	for i, e := range r.Trail {
		if e.Hash != e.sum() {
			return fmt.Errorf("version %d was altered", e.Version)
		}
		if i > 0 {
			if err := e.follows(r.Trail[i-1]); err != nil {
				return err
			}
		}
	}
	if n := len(r.Trail); n > 0 && r.Trail[n-1].Hash != r.Doc.Last.Hash {
		return fmt.Errorf("the trail ends at version %d, the document is of version %d", r.Trail[n-1].Version, r.Doc.Version)
	}
	return nil
}

// At is the document as it was at a version that the trail reaches back to: values of keys that a later entry changed are found in the
// entries before it, or unknown where the trail does not reach, which is an error.
func (r *Record) At(version uint64) (*Document, error) {
	switch {
	case version > r.Doc.Version:
		return nil, fmt.Errorf("version %d is not in force yet", version)
	case version == r.Doc.Version:
		return r.Doc.Clone(), nil
	case len(r.Trail) == 0 || r.Trail[0].Version > 1 && version+1 < r.Trail[0].Version:
		return nil, fmt.Errorf("version %d is older than what is kept", version)
	}
	doc := &Document{Epoch: r.Doc.Epoch, Version: version, Values: maps.Clone(r.Doc.Values)}
	known := map[string]string{} // by the entries up to the version
	changed := map[string]bool{}
	for _, e := range r.Trail {
		if e.Version == version {
			doc.Last = e
		}
		for _, c := range e.Proposal.Changes {
			if e.Version <= version {
				known[c.Key] = c.Value
			} else {
				changed[c.Key] = true
			}
		}
	}
	for key := range changed {
		value, is := known[key]
		if !is && r.Trail[0].Version > 1 {
			return nil, fmt.Errorf("%s: its value at version %d was set before what is kept", key, version)
		}
		if delete(doc.Values, key); value != "" {
			doc.Values[key] = value
		}
	}
	return doc, nil
}
