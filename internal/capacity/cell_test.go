package capacity

import "testing"

// Every cell can be run, within the bounds of the fleet harness, and no two have the same name.
func TestGrid(t *testing.T) {
	seen := map[string]bool{}
	for _, c := range Grid {
		if err := c.Scenario().Validate(); err != nil {
			t.Errorf("%s: %v", c.Name(), err)
		}
		if seen[c.Name()] {
			t.Errorf("%s stands twice", c.Name())
		}
		seen[c.Name()] = true
	}
}
