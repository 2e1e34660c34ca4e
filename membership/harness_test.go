package membership

import (
	"fmt"
	"strings"
	"testing"
)

// The sources in the default options of newState.
const (
	discovery Source = iota
	dns
)

const second Micros = 1e6

var allPermissions = Permissions{Add: true, Drain: true, Remove: true}

func newState(t testing.TB, options Options) *State {
	t.Helper()
	if options.Sources == nil {
		options.Sources = []SourceOptions{
			{Name: "discovery", Permissions: allPermissions},
			{Name: "dns", Permissions: allPermissions},
		}
	}
	s, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// newDNSState returns a state with DNS as its only source.
func newDNSState(t testing.TB) *State {
	t.Helper()
	return newState(t, Options{Sources: []SourceOptions{{Name: "dns", Permissions: allPermissions}}})
}

func entries(names ...string) []Entry {
	var all []Entry
	for _, n := range names {
		all = append(all, Entry{Name: n, Address: n + ":1", LastStart: UnknownStart})
	}
	return all
}

func numbered(from, to int) (names []string) {
	for i := from; i < to; i++ {
		names = append(names, fmt.Sprintf("n%05d", i))
	}
	return names
}

// listed returns the names of the listed nodes. An exclamation mark follows the name of a draining node.
func listed(s *State) string {
	nodes, _ := s.List()
	var names []string
	for _, n := range nodes {
		name := n.Name
		if n.State == Draining {
			name += "!"
		}
		names = append(names, name)
	}
	return strings.Join(names, " ")
}

// snapshot returns a full snapshot of a source's list.
func snapshot(src Source, at Micros, names ...string) SourceAnswered {
	return snapshotOf(src, at, entries(names...)...)
}

func snapshotOf(src Source, at Micros, entries ...Entry) SourceAnswered {
	return SourceAnswered{Source: src, AskedAt: at, Complete: true, Entries: entries}
}

// changes returns an answer that contains only changes.
func changes(src Source, at Micros, entries ...Entry) SourceAnswered {
	return SourceAnswered{Source: src, AskedAt: at, Entries: entries}
}
