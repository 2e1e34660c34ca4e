package simtime

import (
	"slices"
	"testing"
)

// Events are scheduled out of order, two of them for the same time and one by another. They happen in the order of
// their times, then of scheduling; what lies beyond the end does not happen.
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
		t.Errorf("%v, want %v", happened, want)
	}
	if clock.Now != 101 {
		t.Errorf("the clock stands at %d", clock.Now)
	}
	if clock.Step(1000) {
		t.Error("the event beyond the end was kept")
	}
}
