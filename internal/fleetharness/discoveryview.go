package fleetharness

import (
	"slices"
	"time"
)

// discoveryView is what is wrong with the list that a broker gets. The zero value is nothing.
type discoveryView struct {
	stale        bool // nothing newer than staleVersion
	staleVersion uint64
	delay        time.Duration // versions come so much later; 0 or less for not
	unavailable  bool          // polls fail
	empty        bool          // no nodes at all
	draining     []string      // nodes that are listed as draining
}

// setView sets what is wrong with a broker's view. Where the list itself changes by it, there is a new version, so that
// the broker is notified.
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

// visibleVersion is the latest version that a broker may get, and when the next one becomes visible, 0 for not by
// time alone; d.mu is held.
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
