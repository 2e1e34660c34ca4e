package agreement

import (
	"context"
	"errors"
	"testing"
)

// A broker searches for a parent. It must try a voter first, then a child that a full broker names, then another voter
// if the child fails, and then the voters again.
func TestParentSearch(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // ends pauses at once
	search := parentSearch{voters: []Voter{{Name: "v0", Address: "v0"}, {Name: "v1", Address: "v1"}}}
	first := search.next()
	search.failed(ctx, &rejectedError{reason: rejectedFull, alternatives: []string{"child"}})
	if got := search.next(); got != "child" {
		t.Errorf("next address %q, want that of the child", got)
	}
	search.failed(ctx, errors.New("refused"))
	second := search.next()
	if first == second || first == "child" || second == "child" {
		t.Errorf("first address %q, address after the child %q; want two different voters", first, second)
	}
	search.failed(ctx, errors.New("refused"))
	if third := search.next(); third != "v0" && third != "v1" {
		t.Errorf("address %q after all voters were tried, want a voter", third)
	}
	if search.attempts != 3 {
		t.Errorf("%d failed attempts counted, want 3", search.attempts)
	}
	search.reset()
	if search.attempts != 0 || len(search.addresses) > 0 {
		t.Errorf("search after a reset: %+v, want no attempts and no addresses", search)
	}
}

// Full brokers keep referring to each other's children. After maxDescents attempts the search must return to the
// voters.
func TestParentSearchDescentIsBounded(t *testing.T) {
	search := parentSearch{voters: []Voter{{Name: "v0", Address: "v0"}}}
	full := &rejectedError{reason: rejectedFull, alternatives: []string{"child"}}
	for range maxDescents + 1 {
		search.next()
		search.failed(t.Context(), full)
	}
	if got := search.next(); got != "v0" {
		t.Errorf("next address %q, want that of the voter", got)
	}
}
