package simtime

import (
	"slices"
	"testing"
)

// Events are scheduled out of order, two of them for the same time, and one of these by another event. Checks that they
// run in the order of their times and then of scheduling, and that an event later than the end is dropped.
func TestOrder(t *testing.T) {
	var clock Clock
	var happened []string
	note := func(name string) func() { return func() { happened = append(happened, name) } }
	clock.After(20, note("second"))
	clock.After(10, func() {
		happened = append(happened, "first")
		clock.After(10, note("third"))
	})
	clock.After(101, note("beyond the end"))
	for clock.Step(100) {
	}
	if want := []string{"first", "second", "third"}; !slices.Equal(happened, want) {
		t.Errorf("events ran in the order %v, want %v", happened, want)
	}
	if clock.Now != 101 {
		t.Errorf("clock is at %d µs, want 101", clock.Now)
	}
	if clock.Step(1000) {
		t.Error("event later than the end ran in a later step")
	}
}
