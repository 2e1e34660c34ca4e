// Package clusterconfig has brokers agree on documents with versions: settings, node lists, tables of zones and quotas. It does no I/O and
// reads no clock; time is an argument, in microseconds of the caller's own monotonic clock, and nothing here is safe for concurrent
// use. docs/agreement.md states the promise, and why it holds.
//
// The promise: from the first moment that any broker acts on version v+1 no broker acts on a value of v that v+1 does not allow, but
// for the length of a turn that had begun; whatever crashes, restarts, is cut off, hears one way only, or was stopped for minutes, and for
// clocks that run 500 ppm apart. A broker that hears nothing serves on, restricted, once its lease has run out. No broker's own
// state need last for this.
//
// What it costs: a renewal each third of a lease from each broker, and one message there and back in each phase of a change, by the
// size of the change.
package clusterconfig

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
)

// Micros is a time or span in whole microseconds.
type Micros = int64

// Rule says how values of a key go together. A value is below another if Meet of the two is itself: whoever acts on it does
// nothing that the other forbids.
type Rule interface {
	// Check tells what is wrong with a value. The empty value stands for a key that is not there.
	Check(value string) error
	// Meet is the largest value that is below both.
	Meet(a, b string) string
	// Floor is below every value that Check lets pass: a broker that does not know what is in force acts on it.
	Floor() string
}

// Below tells whether acting on a does nothing that b forbids.
func Below(r Rule, a, b string) bool { return r.Meet(a, b) == a }

// Least is the rule of a figure of which less is always allowed, such as a limit; it can't be set below Floor.
type Least struct{ Lowest float64 }

// Check implements Rule.
func (l Least) Check(value string) error {
	v, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return fmt.Errorf("%q is no number", value)
	}
	if !(v >= l.Lowest) {
		return fmt.Errorf("%v is below %v, on which brokers act that do not know better", v, l.Lowest)
	}
	return nil
}

// Meet implements Rule.
func (l Least) Meet(a, b string) string {
	x, err := strconv.ParseFloat(a, 64)
	y, err2 := strconv.ParseFloat(b, 64)
	switch {
	case err != nil || err2 != nil:
		return l.Floor()
	case y < x:
		return b
	}
	return a
}

// Floor implements Rule.
func (l Least) Floor() string { return strconv.FormatFloat(l.Lowest, 'g', -1, 64) }

// Switch is the rule of what may be done or not, "yes" or "no": not doing it is always allowed. Whether a class may be repeated, a
// node be used, a zone be open are such.
type Switch struct{}

// Check implements Rule.
func (Switch) Check(value string) error {
	if value != "yes" && value != "no" && value != "" {
		return fmt.Errorf("%q is neither yes nor no", value)
	}
	return nil
}

// Meet implements Rule.
func (Switch) Meet(a, b string) string {
	if a == "yes" && b == "yes" {
		return "yes"
	}
	return "no"
}

// Floor implements Rule.
func (Switch) Floor() string { return "no" }

// Same is the rule of a value that goes with itself alone: whoever acts on another contradicts it, and nobody acts on any of them
// in between.
type Same struct{}

// Check implements Rule.
func (Same) Check(string) error { return nil }

// Meet implements Rule.
func (Same) Meet(a, b string) string {
	if a == b {
		return a
	}
	return ""
}

// Floor implements Rule.
func (Same) Floor() string { return "" }

// Drain is the rule of what is told to all once it is known to one, and never has to be known: a node that leaves. Who is told of it
// keeps to it, with a lease or without; who is cut off keeps to what it was told last.
type Drain struct{ Switch }

// Meet implements Rule.
func (Drain) Meet(a, b string) string {
	if a == "yes" || b == "yes" {
		return "yes"
	}
	return "no"
}

// Kept marks rules whose values hold on without a lease.
func (Drain) Kept() {}

// Rules finds the rule of a key; false for a key that there is not.
type Rules func(key string) (Rule, bool)

// Change sets a key, or takes it away with an empty value.
type Change struct {
	Key   string `msgpack:"Key" json:"key"`
	Value string `msgpack:"Value" json:"value"`
}

// Proposal is a change of a whole document, taken whole or not at all.
type Proposal struct {
	Expected uint64   `msgpack:"Expected" json:"expected"` // the version on which it builds
	Author   string   `msgpack:"Author" json:"author"`
	Reason   string   `msgpack:"Reason" json:"reason"`
	Changes  []Change `msgpack:"Changes" json:"changes"`
}

// Entry is a version as the trail keeps it: it names all before it by their hash.
type Entry struct {
	Version  uint64   `msgpack:"Version" json:"version"`
	Proposal Proposal `msgpack:"Proposal" json:"proposal"`
	Before   string   `msgpack:"Before" json:"before"` // hash of the entry before
	Hash     string   `msgpack:"Hash" json:"hash"`
}

// Document is the agreed values of one version. Values are shared between versions: a change costs by its size.
type Document struct {
	Epoch   uint64            `msgpack:"Epoch" json:"Epoch"` // of the consensus that keeps it: drawn when it was formed, 0 for none
	Version uint64            `msgpack:"Version" json:"Version"`
	Values  map[string]string `msgpack:"Values" json:"Values"`
	Last    Entry             `msgpack:"Last" json:"Last"`
}

// ErrExpected is of a proposal that builds on another version than the one in force.
var ErrExpected = errors.New("another version is in force")

// Check names every fault of a proposal.
func (d *Document) Check(rules Rules, p Proposal) error {
	var faults []error
	if p.Expected != d.Version {
		faults = append(faults, fmt.Errorf("expected: %w: %d, not %d", ErrExpected, d.Version, p.Expected))
	}
	if p.Author == "" {
		faults = append(faults, errors.New("author: missing"))
	}
	if p.Reason == "" {
		faults = append(faults, errors.New("reason: missing"))
	}
	if len(p.Changes) == 0 {
		faults = append(faults, errors.New("changes: none"))
	}
	seen := map[string]bool{}
	for i, c := range p.Changes {
		rule, known := rules(c.Key)
		switch {
		case !known:
			faults = append(faults, fmt.Errorf("changes[%d]: %s: unknown key", i, c.Key))
			continue
		case seen[c.Key]:
			faults = append(faults, fmt.Errorf("changes[%d]: %s: stands twice", i, c.Key))
		}
		seen[c.Key] = true
		if c.Value != "" {
			if err := rule.Check(c.Value); err != nil {
				faults = append(faults, fmt.Errorf("changes[%d]: %s: %w", i, c.Key, err))
			}
		}
	}
	return errors.Join(faults...)
}

// Next is the entry that a proposal makes, which was checked.
func (d *Document) Next(p Proposal) Entry {
	p.Changes = slices.Clone(p.Changes)
	slices.SortFunc(p.Changes, func(a, b Change) int { return cmp.Compare(a.Key, b.Key) })
	e := Entry{Version: d.Version + 1, Proposal: p, Before: d.Last.Hash}
	e.Hash = e.sum()
	return e
}

// sum hashes an entry and, by Before, all that came before it.
func (e Entry) sum() string {
	h := sha256.New()
	fmt.Fprintf(h, "%d %q %q %q", e.Version, e.Before, e.Proposal.Author, e.Proposal.Reason)
	for _, c := range e.Proposal.Changes {
		fmt.Fprintf(h, " %q=%q", c.Key, c.Value)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// follows tells what keeps e from coming behind last.
func (e Entry) follows(last Entry) error {
	switch {
	case e.Version != last.Version+1:
		return fmt.Errorf("version %d does not follow %d", e.Version, last.Version)
	case e.Before != last.Hash:
		return fmt.Errorf("version %d builds on another history", e.Version)
	case e.Hash != e.sum():
		return fmt.Errorf("version %d was altered", e.Version)
	}
	return nil
}

// Apply brings the document to the version of the last entry. If one does not follow, or was altered, nothing changes.
func (d *Document) Apply(entries ...Entry) error {
	last := d.Last
	for _, e := range entries {
		if err := e.follows(last); err != nil {
			return err
		}
		last = e
	}
	for _, e := range entries {
		d.take(e)
	}
	return nil
}

func (d *Document) take(e Entry) {
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
	d.Version, d.Last = e.Version, e
}

// Clone is a document that changes apart from this one.
func (d *Document) Clone() *Document {
	return &Document{Epoch: d.Epoch, Version: d.Version, Values: maps.Clone(d.Values), Last: d.Last}
}

// Back is the proposal that brings the values of an earlier version again.
func (d *Document) Back(to *Document, author, reason string) Proposal {
	p := Proposal{Expected: d.Version, Author: author, Reason: reason}
	for key, value := range to.Values {
		if d.Values[key] != value {
			p.Changes = append(p.Changes, Change{key, value})
		}
	}
	for key := range d.Values {
		if _, still := to.Values[key]; !still {
			p.Changes = append(p.Changes, Change{Key: key})
		}
	}
	slices.SortFunc(p.Changes, func(a, b Change) int { return cmp.Compare(a.Key, b.Key) })
	return p
}
