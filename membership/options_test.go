package membership

import (
	"errors"
	"testing"
)

// The settings change while the broker runs. The claims of a removed source must stay until the new source has
// answered, and must then be dropped. The test is repeated with a state that began with a restored list.
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

// checkSourceReplaced replaces DNS by a file in a state whose list is a, b and c.
func checkSourceReplaced(t *testing.T, s *State) {
	t.Helper()
	if _, err := s.ApplyOptions(3*second, Options{}); err == nil {
		t.Error("options without a source were accepted")
	}
	_, err := s.ApplyOptions(3*second, Options{Sources: []SourceOptions{
		{Name: "file", Permissions: allPermissions},
		{Name: "discovery", Permissions: allPermissions},
	}})
	if err != nil {
		t.Fatal(err)
	}
	if _, known := s.FindSource("dns"); known || listed(s) != "a b c" {
		t.Errorf(`before the new source answers: DNS known %v, listed %q; want false and "a b c"`, known, listed(s))
	}
	file, _ := s.FindSource("file")
	c := s.Reduce(4*second, snapshot(file, 4e6, "d"))
	if got := listed(s); got != "a b d" || len(c.Nodes) != 2 || c.Nodes[0].State != Removed {
		t.Errorf(`after the new source has answered: listed %q, change %+v; want "a b d" and c removed first`, got, c)
	}
}

// A broker starts from a snapshot. The restored list must stay until all sources have answered.
func TestRestoredListStaysUntilAllAnswer(t *testing.T) {
	checkRestore(t, newState(t, Options{}))
}

// checkRestore restores a state and applies answers of its sources, after which its list is a, b and c.
func checkRestore(t *testing.T, s *State) {
	t.Helper()
	s.Restore(second/2, "snapshot", []Entry{
		{Name: "a", Address: "a:1", LastStart: 77},
		{Name: "z", Address: "z:1", LastStart: 0},
	})
	if got := listed(s); got != "a z" {
		t.Errorf("restored list %q, want a and z", got)
	}
	s.Reduce(1*second, snapshot(discovery, 1, "a", "b"))
	if got := listed(s); got != "a b z" {
		t.Errorf("after one of two sources has answered: listed %q, want a, b and z", got)
	}
	s.Reduce(2*second, snapshot(dns, 2, "a", "c"))
	if got := listed(s); got != "a b c" {
		t.Errorf("after both sources have answered: listed %q, want a, b and c", got)
	}
}

// Invalid options must be rejected, and the error must name the option.
func TestOptionFaultsNameTheOption(t *testing.T) {
	adds := Permissions{Add: true}
	for _, c := range []struct {
		options Options
		text    string
	}{
		{Options{}, "sources: at least one is required"},
		{Options{Sources: []SourceOptions{{}}}, `sources[0].name: "" is empty or not unique`},
		{Options{Sources: []SourceOptions{{Name: "a"}}}, "sources: none has the permission to add"},
		{
			Options{Sources: []SourceOptions{{Name: "a", Permissions: adds}, {Name: "a"}}},
			`sources[1].name: "a" is empty or not unique`,
		},
		{
			Options{Sources: []SourceOptions{{Name: "a", Permissions: adds, RemovalTTL: -1}}},
			"sources[0].good: -1 µs is below 0",
		},
		{
			Options{Sources: []SourceOptions{{Name: "a", Permissions: adds}}, SuspectHold: -1},
			"a duration or limit is below 0",
		},
	} {
		t.Run(c.text, func(t *testing.T) {
			_, err := New(c.options)
			var optionError *OptionError
			if !errors.As(err, &optionError) || err.Error() != c.text {
				t.Errorf("error %v, want %q", err, c.text)
			}
		})
	}
}
