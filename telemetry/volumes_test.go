package telemetry

import "testing"

// volumeRows returns the rows of volumes in a snapshot by name.
func volumeRows(snapshot *Snapshot) map[string]Row {
	rows := map[string]Row{}
	for _, row := range snapshot.Rows {
		if row.Dimension == ByVolume && !row.Reserved {
			rows[row.Name] = row
		}
	}
	return rows
}

// Four volumes compete for three rows. While their weights are similar, the first three keep their rows. When the
// fourth becomes clearly heavier, it replaces one of them. When no volume has requests any more, each row is removed
// after its final value is reported.
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
		t.Fatalf("rows of volumes changed %d times, want 3", r.VolumeChanges())
	}
	for range 6 {
		sendInterval(400)
	}
	if r.VolumeChanges() != 5 { // one volume was removed, and d got its row
		t.Errorf("rows of volumes changed %d times, want 5", r.VolumeChanges())
	}
	if _, exists := volumeRows(r.Snapshot(nil))["d"]; !exists {
		t.Error("the heaviest volume has no row, want one")
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
		t.Errorf("%d of 3 idle volumes were removed with their final value, want all, and no rows left", final)
	}
}
