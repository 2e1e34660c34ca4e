package membership

import (
	"errors"
	"testing"
)

// Settings change in service, and there is no gap: what an ended source claimed stays until the new one has answered.
// So it is with a state that began empty, and with one that was restored.
func TestSourcesChangeWithoutAGap(t *testing.T) {
	t.Run("empty at first", func(t *testing.T) {
		s := newState(t, Options{})
		s.Reduce(1*second, snapshot(discovery, 1, "a", "b"))
		s.Reduce(2*second, snapshot(dns, 2, "a", "c"))
		checkSourceReplaced(t, s)
	})
	t.Run("restored", func(t *testing.T) {
		s := newState(t, Options{})
		checkRestore(t, s)
		checkSourceReplaced(t, s)
	})
}

// checkSourceReplaced puts a file in the place of DNS in a state whose list is a, b and c.
func checkSourceReplaced(t *testing.T, s *State) {
	t.Helper()
	if _, err := s.ApplyOptions(3*second, Options{}); err == nil {
		t.Error("options without a source are applied")
	}
	_, err := s.ApplyOptions(3*second, Options{Sources: []SourceOptions{
		{Name: "file", Permissions: allPermissions},
		{Name: "discovery", Permissions: allPermissions},
	}})
	if err != nil {
		t.Fatal(err)
	}
	if _, known := s.FindSource("dns"); known || listed(s) != "a b c" {
		t.Errorf("before the new source answers: %q", listed(s))
	}
	file, _ := s.FindSource("file")
	c := s.Reduce(4*second, snapshot(file, 4e6, "d"))
	if got := listed(s); got != "a b d" || len(c.Nodes) != 2 || c.Nodes[0].State != Removed {
		t.Errorf("after it: %q, %+v", got, c)
	}
}

// A broker starts from a snapshot, which stands until all sources have answered.
func TestRestoredListStandsUntilAllAnswer(t *testing.T) {
	checkRestore(t, newState(t, Options{}))
}

// checkRestore restores a state, and lets its sources answer until its list is a, b and c.
func checkRestore(t *testing.T, s *State) {
	t.Helper()
	s.Restore(second/2, "snapshot", []Entry{
		{Name: "a", Address: "a:1", LastStart: 77},
		{Name: "z", Address: "z:1", LastStart: 0},
	})
	if got := listed(s); got != "a z" {
		t.Errorf("restored %q", got)
	}
	s.Reduce(1*second, snapshot(discovery, 1, "a", "b"))
	if got := listed(s); got != "a b z" {
		t.Errorf("one of two has answered: %q", got)
	}
	s.Reduce(2*second, snapshot(dns, 2, "a", "c"))
	if got := listed(s); got != "a b c" {
		t.Errorf("both have answered: %q", got)
	}
}

// Options with a fault are not taken, and the error names the option.
func TestOptionFaultsNameTheOption(t *testing.T) {
	adds := Permissions{Add: true}
	for _, c := range []struct {
		options Options
		text    string
	}{
		{Options{}, "sources: none"},
		{Options{Sources: []SourceOptions{{}}}, `sources[0].name: "" is missing or stands twice`},
		{Options{Sources: []SourceOptions{{Name: "a"}}}, "sources: none may add"},
		{
			Options{Sources: []SourceOptions{{Name: "a", Permissions: adds}, {Name: "a"}}},
			`sources[1].name: "a" is missing or stands twice`,
		},
		{
			Options{Sources: []SourceOptions{{Name: "a", Permissions: adds, RemovalTTL: -1}}},
			"sources[0].good: it is below 0",
		},
		{
			Options{Sources: []SourceOptions{{Name: "a", Permissions: adds}}, SuspectHold: -1},
			"a time or bound is below 0",
		},
	} {
		t.Run(c.text, func(t *testing.T) {
			_, err := New(c.options)
			var optionError *OptionError
			if !errors.As(err, &optionError) || err.Error() != c.text {
				t.Errorf("%v", err)
			}
		})
	}
}
