package broker

import (
	"strings"
	"testing"
)

// Dashboards and the console's callers know the figures by name: all of them, in their order, and which only grow.
func TestFigureNames(t *testing.T) {
	var f Metrics
	f.ended("read", Served)
	var names []string
	for _, figure := range f.Read() {
		name := figure.Name
		if figure.Counter {
			name += "+"
		}
		names = append(names, name)
	}
	want := "success.read+ busy.read+ failure.read+ backend_calls+ reconfig_ok+ reconfig_failed+ taken+ door_refused+ left+ stopped+ probes+" +
		" peer_sent+ peer_heard+ inflight hosts_listed hosts_down"
	if got := strings.Join(names, " "); got != want {
		t.Errorf("figures %s, want %s", got, want)
	}
}
