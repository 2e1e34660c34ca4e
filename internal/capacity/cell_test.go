package capacity

import "testing"

// Checks that the fleet harness accepts the scenario of every cell and that cell names are unique, since raw files are
// named after cells.
func TestGrid(t *testing.T) {
	seen := map[string]bool{}
	for _, c := range Grid {
		if err := c.Scenario().Validate(); err != nil {
			t.Errorf("%s: %v", c.Name(), err)
		}
		if seen[c.Name()] {
			t.Errorf("%s is in the grid twice", c.Name())
		}
		seen[c.Name()] = true
	}
}
