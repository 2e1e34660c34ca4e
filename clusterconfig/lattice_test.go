package clusterconfig

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// For any two values of a Limit, a Permission or an Exact, the meet is at most both and does not depend on their order,
// and the bottom is at most every value. The safety of a pending change depends on these laws.
func TestLatticeLaws(t *testing.T) {
	number := rapid.Map(rapid.IntRange(1, 99), func(n int) string { return fmt.Sprint(n) })
	values := map[string]*rapid.Generator[string]{
		"limit":  number,
		"repeat": rapid.SampledFrom([]string{Yes, No}),
		"zone":   rapid.SampledFrom([]string{"a", "b", "c"}),
	}
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom([]string{"limit", "repeat", "zone"}).Draw(t, "lattice")
		lattice, _ := testSchema(name)
		a, b := values[name].Draw(t, "a"), values[name].Draw(t, "b")
		meet := lattice.Meet(a, b)
		if !AtMost(lattice, meet, a) || !AtMost(lattice, meet, b) || meet != lattice.Meet(b, a) {
			t.Fatalf("Meet(%q, %q) = %q is not at most both values, or depends on their order", a, b, meet)
		}
		if bottom := lattice.Bottom(); !AtMost(lattice, bottom, a) {
			t.Fatalf("the bottom %q is not at most %q", bottom, a)
		}
		if err := lattice.Check(a); err != nil {
			t.Fatal(err)
		}
	})
}

// An operator proposes an invalid value. Check must return the error that says why the value is invalid.
func TestLatticeCheckRejects(t *testing.T) {
	for _, c := range []struct {
		lattice Lattice
		value   string
		want    error
	}{
		{Limit{Min: 5}, "many", ErrNotNumber},
		{Limit{Min: 5}, "4", ErrBelowMin},
		{Limit{Min: 5}, "NaN", ErrBelowMin},
		{Permission{}, "maybe", ErrNotYesNo},
		{Drain{}, "maybe", ErrNotYesNo},
	} {
		if err := c.lattice.Check(c.value); !errors.Is(err, c.want) {
			t.Errorf("%T: Check(%q) = %v, want %v", c.lattice, c.value, err, c.want)
		}
	}
}
