package agreement

import (
	"context"
	"errors"
	"testing"
)

// A broker searches for a parent. It must ask a voter first, then a child that a full broker names, and return to the
// voters if the child fails.
func TestParentSearch(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // ends pauses at once
	search := parentSearch{voters: []Voter{{Name: "v0", Address: "v0"}, {Name: "v1", Address: "v1"}}}
	first := search.next()
	search.failed(ctx, &rejectedError{reason: rejectedFull, alternatives: []string{"child"}})
	if got := search.next(); got != "child" {
		t.Errorf("next address %q, want the child", got)
	}
	search.failed(ctx, errors.New("refused"))
	second := search.next()
	if first == second || first == "child" || second == "child" {
		t.Errorf("asked %q, then %q; want two different voters", first, second)
	}
	search.failed(ctx, errors.New("refused"))
	if third := search.next(); third != "v0" && third != "v1" {
		t.Errorf("asked %q after all voters, want a voter", third)
	}
	if search.attempts != 3 {
		t.Errorf("%d attempts, want 3", search.attempts)
	}
	search.reset()
	if search.attempts != 0 || len(search.addresses) > 0 {
		t.Errorf("after a reset: %+v", search)
	}
}

// Full brokers keep referring to each other's children. The search must not descend forever.
func TestParentSearchDescentIsBounded(t *testing.T) {
	search := parentSearch{voters: []Voter{{Name: "v0", Address: "v0"}}}
	full := &rejectedError{reason: rejectedFull, alternatives: []string{"child"}}
	for range maxDescents + 1 {
		search.next()
		search.failed(t.Context(), full)
	}
	if got := search.next(); got != "v0" {
		t.Errorf("next address %q, want a voter", got)
	}
}
