package agreement

import (
	"context"
	"errors"
	"testing"
)

// A broker looks for a parent. It must ask a voter first, go down to a child that a full broker names, and come back
// to the voters when that fails.
func TestParentSearch(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // the pauses end at once
	search := parentSearch{voters: []Voter{{Name: "v0", Address: "v0"}, {Name: "v1", Address: "v1"}}}
	first := search.next()
	search.failed(ctx, &rejectedError{reason: rejectedFull, alternatives: []string{"child"}})
	if got := search.next(); got != "child" {
		t.Errorf("%q, want the child", got)
	}
	search.failed(ctx, errors.New("refused"))
	second := search.next()
	if first == second || first == "child" || second == "child" {
		t.Errorf("asked %q, then %q", first, second)
	}
	search.failed(ctx, errors.New("refused"))
	if third := search.next(); third != "v0" && third != "v1" {
		t.Errorf("asked %q after all voters", third)
	}
	if search.attempts != 3 {
		t.Errorf("%d attempts", search.attempts)
	}
	search.reset()
	if search.attempts != 0 || len(search.addresses) > 0 {
		t.Errorf("%+v", search)
	}
}

// Full brokers keep naming each other's children. The search must not go down for ever.
func TestParentSearchDescentIsBounded(t *testing.T) {
	search := parentSearch{voters: []Voter{{Name: "v0", Address: "v0"}}}
	full := &rejectedError{reason: rejectedFull, alternatives: []string{"child"}}
	for range maxDescents + 1 {
		search.next()
		search.failed(t.Context(), full)
	}
	if got := search.next(); got != "v0" {
		t.Errorf("%q, want a voter", got)
	}
}
