package clusterconfig

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// The struct tags below are the field names on disk and in messages between brokers (msgpack), and on the console
// (JSON).

// Change sets a key to a value. An empty value removes the key.
type Change struct {
	Key   string `msgpack:"Key" json:"key"`
	Value string `msgpack:"Value" json:"value"`
}

// Proposal is a set of changes to a document, which is applied completely or not at all.
type Proposal struct {
	Expected uint64   `msgpack:"Expected" json:"expected"` // version that the proposal is based on
	Author   string   `msgpack:"Author" json:"author"`
	Reason   string   `msgpack:"Reason" json:"reason"`
	Changes  []Change `msgpack:"Changes" json:"changes"`
}

// Entry is one version in the history. Its hash includes the hash of the previous entry, so it covers all earlier ones.
type Entry struct {
	Version      uint64   `msgpack:"Version" json:"version"`
	Proposal     Proposal `msgpack:"Proposal" json:"proposal"`
	PreviousHash string   `msgpack:"Before" json:"before"`
	Hash         string   `msgpack:"Hash" json:"hash"`
}

// Document is the configuration at one version. The cost of applying a change is proportional to the change.
type Document struct {
	Epoch     uint64            `msgpack:"Epoch" json:"Epoch"` // random number of the cluster's bootstrap, 0 before
	Version   uint64            `msgpack:"Version" json:"Version"`
	Values    map[string]string `msgpack:"Values" json:"Values"`
	LastEntry Entry             `msgpack:"Last" json:"Last"`
}

// Validate returns all faults of a proposal as joined FieldErrors, nil for a valid proposal.
func (d *Document) Validate(schema Schema, p Proposal) error {
	var faults []error
	add := func(field string, err error) { faults = append(faults, &FieldError{field, err}) }
	if p.Expected != d.Version {
		add("expected", fmt.Errorf("%w: got %d, want %d", ErrVersionConflict, p.Expected, d.Version))
	}
	if p.Author == "" {
		add("author", ErrMissing)
	}
	if p.Reason == "" {
		add("reason", ErrMissing)
	}
	if len(p.Changes) == 0 {
		add("changes", ErrNoChanges)
	}
	seen := map[string]bool{}
	for i, c := range p.Changes {
		addChange := func(err error) { add(fmt.Sprintf("changes[%d]: %s", i, c.Key), err) }
		lattice, known := schema(c.Key)
		if !known {
			addChange(ErrUnknownKey)
			continue
		}
		if seen[c.Key] {
			addChange(ErrDuplicateKey)
		}
		seen[c.Key] = true
		if c.Value == "" {
			continue
		}
		if err := lattice.Check(c.Value); err != nil {
			addChange(err)
		}
	}
	return errors.Join(faults...)
}

// NextEntry returns the entry that makes a valid proposal the next version of the document. Its changes are sorted by
// key.
func (d *Document) NextEntry(p Proposal) Entry {
	p.Changes = slices.Clone(p.Changes)
	sortChanges(p.Changes)
	e := Entry{Version: d.Version + 1, Proposal: p, PreviousHash: d.LastEntry.Hash}
	e.Hash = e.computeHash()
	return e
}

// Apply applies entries in order. If an entry does not follow its predecessor or does not match its hash, Apply returns
// an error and the document stays unchanged.
func (d *Document) Apply(entries ...Entry) error {
	last := d.LastEntry
	for _, e := range entries {
		if err := e.verifyFollows(last); err != nil {
			return err
		}
		last = e
	}
	for _, e := range entries {
		d.apply(e)
	}
	return nil
}

func (d *Document) apply(e Entry) {
	if d.Values == nil {
		d.Values = map[string]string{}
	}
	for _, c := range e.Proposal.Changes {
		if c.Value == "" {
			delete(d.Values, c.Key)
		} else {
			d.Values[c.Key] = c.Value
		}
	}
	d.Version = e.Version
	d.LastEntry = e
}

// Clone returns a copy of the document. Applying entries to the copy or to the original does not change the other.
func (d *Document) Clone() *Document {
	return &Document{Epoch: d.Epoch, Version: d.Version, Values: maps.Clone(d.Values), LastEntry: d.LastEntry}
}

// Revert returns a proposal that restores the values that another version of the document has.
func (d *Document) Revert(to *Document, author, reason string) Proposal {
	p := Proposal{Expected: d.Version, Author: author, Reason: reason}
	for key, value := range to.Values {
		if d.Values[key] != value {
			p.Changes = append(p.Changes, Change{key, value})
		}
	}
	for key := range d.Values {
		if _, kept := to.Values[key]; !kept {
			p.Changes = append(p.Changes, Change{Key: key})
		}
	}
	sortChanges(p.Changes)
	return p
}

func sortChanges(changes []Change) {
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Key, b.Key) })
}

// computeHash returns the hash of the entry, which covers all earlier entries through PreviousHash.
func (e Entry) computeHash() string {
	h := sha256.New() // writing to it never fails
	_, _ = fmt.Fprintf(h, "%d %q %q %q", e.Version, e.PreviousHash, e.Proposal.Author, e.Proposal.Reason)
	for _, c := range e.Proposal.Changes {
		_, _ = fmt.Fprintf(h, " %q=%q", c.Key, c.Value)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// verifyFollows returns an error unless the entry directly follows last and matches its own hash.
func (e Entry) verifyFollows(last Entry) error {
	if e.Version != last.Version+1 {
		return outOfSequence(e.Version, last.Version)
	}
	if e.PreviousHash != last.Hash {
		return fmt.Errorf("%w: version %d has previous hash %q, want %q",
			ErrForkedHistory, e.Version, e.PreviousHash, last.Hash)
	}
	return e.verifyHash()
}

func (e Entry) verifyHash() error {
	if e.Hash != e.computeHash() {
		return fmt.Errorf("%w: version %d", ErrAltered, e.Version)
	}
	return nil
}

func outOfSequence(version, after uint64) error {
	return fmt.Errorf("%w: version %d after version %d", ErrOutOfSequence, version, after)
}
