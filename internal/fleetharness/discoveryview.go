package fleetharness

import (
	"slices"
	"time"
)

// discoveryView holds the faults of a broker's view of discovery. The zero value has no faults.
type discoveryView struct {
	stale        bool // versions newer than staleVersion are hidden
	staleVersion uint64
	delay        time.Duration // delay of new versions; 0 or less: none
	unavailable  bool          // polls fail
	empty        bool          // the list has no nodes
	draining     []string      // names of nodes that are listed as draining
}

// setView sets the faults of a broker's view. If they change the content of the list, it publishes a new version, so
// that the broker is notified.
func (d *fakeDiscovery) setView(broker int, view discoveryView) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.views[broker]
	view.staleVersion = d.version
	d.views[broker] = view

	affected := slices.Concat(view.draining, old.draining)
	allAffected := view.empty || old.empty
	if allAffected || len(affected) > 0 {
		entries := slices.DeleteFunc(d.entriesAt(d.version), func(entry listedEndpoint) bool {
			return !allAffected && !slices.Contains(affected, entry.Name)
		})
		d.addVersion(entries)
	}
	d.wake()
}

// visibleVersion returns the latest version that is visible to a broker, and the time at which a delayed version
// becomes visible. That time is 0 if no version is delayed. The caller must hold d.mu.
func (d *fakeDiscovery) visibleVersion(broker int) (version uint64, nextAt time.Duration) {
	view := d.views[broker]
	switch {
	case view.stale:
		return view.staleVersion, 0
	case view.delay > 0:
		version = d.version
		for version > 1 && Now() < d.publishedAt[version-1]+view.delay {
			nextAt = d.publishedAt[version-1] + view.delay
			version--
		}
		return version, nextAt
	}
	return d.version, 0
}
