package clusterconfig

import (
	"errors"
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// numberedSchema has the keys of testSchema with a digit appended.
func numberedSchema(key string) (Lattice, bool) { return testSchema(key[:len(key)-1]) }

var numberedKeys = []string{"limit1", "limit2", "repeat1", "repeat2", "zone1", "zone2"}

// drawProposal draws a proposal that changes one to four keys. Some changes remove their key.
func drawProposal(t *rapid.T, expected uint64) Proposal {
	p := Proposal{Expected: expected, Author: "a", Reason: "r"}
	keys := rapid.SliceOfNDistinct(rapid.SampledFrom(numberedKeys), 1, 4, rapid.ID[string]).Draw(t, "keys")
	for _, key := range keys {
		value := ""
		if rapid.IntRange(0, 3).Draw(t, "remove") > 0 {
			value = drawValue(t, key)
		}
		p.Changes = append(p.Changes, Change{key, value})
	}
	return p
}

func drawValue(t *rapid.T, key string) string {
	switch key[0] {
	case 'l':
		return fmt.Sprint(rapid.IntRange(1, 50).Draw(t, "limit"))
	case 'r':
		return rapid.SampledFrom([]string{Yes, No}).Draw(t, "repeat")
	}
	return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
}

// stateTest applies random commands to a state and keeps the expected values of each version.
type stateTest struct {
	*rapid.T
	state    *State
	versions []map[string]string
}

// rejectWrongCommands applies invalid commands, which the state must reject without any change.
func (s *stateTest) rejectWrongCommands() {
	values, pending := maps.Clone(s.state.Document.Values), s.state.Pending
	e := s.state.Document.NextEntry(drawProposal(s.T, s.state.Document.Version))
	e.Version += uint64(rapid.IntRange(1, 2).Draw(s.T, "off"))
	for _, c := range []Command{{Begin: &e}, {Activate: s.state.Document.Version + 5}, {}} {
		if s.state.Apply(c) == nil {
			s.Fatalf("invalid command %+v was accepted", c)
		}
	}
	if !maps.Equal(values, s.state.Document.Values) || s.state.Pending != pending {
		s.Fatal("a rejected command changed the state")
	}
}

// rollBack restores the values of a random version, unless a change is pending.
func (s *stateTest) rollBack() {
	to := rapid.IntRange(0, len(s.versions)-1).Draw(s.T, "to")
	if s.state.Pending != nil {
		return
	}
	document, err := s.state.DocumentAt(uint64(to))
	if err != nil {
		s.Fatal(err)
	}
	p := s.state.Document.Revert(document, "a", "back")
	if len(p.Changes) == 0 {
		return
	}
	if err := s.state.Document.Validate(numberedSchema, p); err != nil {
		s.Fatal(err)
	}
	e := s.state.Document.NextEntry(p)
	if err := s.state.Apply(Command{Begin: &e}); err != nil {
		s.Fatal(err)
	}
	s.activate(e.Version)
	if !maps.Equal(s.state.Document.Values, s.versions[to]) {
		s.Fatalf("values after a rollback to version %d: %v, want %v", to, s.state.Document.Values, s.versions[to])
	}
}

// change begins a random change, which must be rejected if another change is pending. At random, it then activates the
// pending change.
func (s *stateTest) change() {
	pending := s.state.Pending
	p := drawProposal(s.T, s.state.Document.Version)
	if err := s.state.Document.Validate(numberedSchema, p); err != nil {
		s.Fatal(err)
	}
	e := s.state.Document.NextEntry(p)
	err := s.state.Apply(Command{Begin: &e})
	if (err == nil) != (pending == nil) || err != nil && !errors.Is(err, ErrChangePending) {
		s.Fatalf("begin while the pending entry is %v: error %v, want %v only if an entry is pending",
			pending, err, ErrChangePending)
	}
	if rapid.Bool().Draw(s.T, "activate") {
		s.activate(s.state.Document.Version + 1)
	}
}

func (s *stateTest) activate(version uint64) {
	if err := s.state.Apply(Command{Activate: version}); err != nil {
		s.Fatal(err)
	}
	s.versions = append(s.versions, maps.Clone(s.state.Document.Values))
}

// A state receives random commands. It must reject an invalid command and stay unchanged, return every version of the
// history as it was, and roll back to earlier values by a new version. The hash chain must verify, and must no longer
// verify after an entry was altered.
func TestStateUnderAnyCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &stateTest{T: t, state: NewState(1, nil), versions: []map[string]string{{}}}
		for range rapid.IntRange(1, 12).Draw(t, "commands") {
			switch rapid.IntRange(0, 4).Draw(t, "command") {
			case 0:
				s.rejectWrongCommands()
			case 1:
				s.rollBack()
			default:
				s.change()
			}
		}
		for version, want := range s.versions {
			document, err := s.state.DocumentAt(uint64(version))
			if err != nil || !maps.Equal(document.Values, want) {
				t.Fatalf("document at version %d: %v, want values %v, error %v", version, document, want, err)
			}
		}
		if err := s.state.VerifyHistory(); err != nil {
			t.Fatal(err)
		}
		if len(s.state.History) == 0 {
			return
		}
		at := rapid.IntRange(0, len(s.state.History)-1).Draw(t, "altered")
		s.state.History[at].Proposal.Reason = "another"
		if err := s.state.VerifyHistory(); !errors.Is(err, ErrAltered) {
			t.Fatalf("verification of an altered history: %v, want %v", err, ErrAltered)
		}
	})
}

// A history has lost its oldest entries. A version from before them must be reported as truncated. At a version that
// can be restored, a key must have its value even if the entry that set it was lost.
func TestTruncatedHistory(t *testing.T) {
	s := NewState(1, nil)
	for i := range MaxHistory + 10 {
		p := Proposal{Expected: s.Document.Version, Author: "a", Reason: "r"}
		p.Changes = []Change{{fmt.Sprint("limit", i%7), fmt.Sprint(i + 1)}}
		if i == 0 {
			p.Changes = []Change{{"zone1", "a"}}
		}
		e := s.Document.NextEntry(p)
		for _, c := range []Command{{Begin: &e}, {Activate: e.Version}} {
			if err := s.Apply(c); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := s.VerifyHistory(); len(s.History) != MaxHistory || err != nil {
		t.Errorf("history of %d entries, want %d; verification error %v", len(s.History), MaxHistory, err)
	}
	var truncated *TruncatedError
	if _, err := s.DocumentAt(3); !errors.As(err, &truncated) {
		t.Errorf("document before the kept history: error %v, want a TruncatedError", err)
	}
	document, err := s.DocumentAt(MaxHistory)
	if err != nil || document.Values["zone1"] != "a" || document.Values["limit6"] != "994" {
		t.Errorf(`document at version %d: %v, error %v; want zone1 = "a" and limit6 = "994"`, MaxHistory, document, err)
	}
	if _, err := s.DocumentAt(s.Document.Version + 1); !errors.Is(err, ErrNotYetActive) {
		t.Errorf("document at a future version: error %v, want %v", err, ErrNotYetActive)
	}
}
