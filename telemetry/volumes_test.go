package telemetry

import "testing"

// volumeRows are the rows of volumes by name.
func volumeRows(snapshot *Snapshot) map[string]Row {
	rows := map[string]Row{}
	for _, row := range snapshot.Rows {
		if row.Dimension == ByVolume && !row.Reserved {
			rows[row.Name] = row
		}
	}
	return rows
}

// Four volumes compete for three rows. While they are of about one weight, the three that came first keep their rows.
// When the fourth becomes clearly heavier, it replaces one of them. When all fall silent, each is removed with its
// final value reported.
func TestVolumesCompete(t *testing.T) {
	r := newRegistry(t, Options{MaxSeries: SeriesPerRow * 13, IdleSnapshots: 4, MinSnapshots: 2})
	send := func(name string, times int) {
		for range times {
			r.Observe([]Observation{{Kind: RequestEnded, Class: "read", Plan: "gold", Volume: name, Units: 1}})
		}
	}
	sendInterval := func(last int) {
		send("a", 100)
		send("b", 100)
		send("c", 100)
		send("d", last)
		r.Snapshot(nil)
	}
	for range 20 {
		sendInterval(110)
	}
	if r.VolumeChanges() != 3 {
		t.Fatalf("%d changes: the rows flicker", r.VolumeChanges())
	}
	for range 6 {
		sendInterval(400)
	}
	if r.VolumeChanges() != 5 { // one was removed, and d got its row
		t.Errorf("%d changes", r.VolumeChanges())
	}
	if _, exists := volumeRows(r.Snapshot(nil))["d"]; !exists {
		t.Error("the heaviest volume has no row")
	}
	final := 0
	for range 6 {
		for _, row := range volumeRows(r.Snapshot(nil)) {
			if row.Final && row.Counts[RequestsServed] > 0 {
				final++
			}
		}
	}
	if final != 3 || len(volumeRows(r.Snapshot(nil))) != 0 {
		t.Errorf("%d of 3 silent volumes were removed with their final value", final)
	}
}
