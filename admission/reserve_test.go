package admission

import (
	"fmt"
	"testing"

	"junctionwharf/scheduler"
)

// planSettings returns testSettings with a plan of a low reserved rate.
func planSettings() scheduler.Settings {
	settings := testSettings()
	settings.Plans = append(settings.Plans, scheduler.Plan{Name: "slow", ReservedRate: 1})
	return settings
}

// The time under a plan without reserved capacity counted as time under the plan that the volume returned to. A volume
// that changes its plan must get the reserved capacity of each plan for the time under it, and no more however often it
// changes.
func TestPlanChangeGainsNoReservedCapacity(t *testing.T) {
	const (
		pause   = 1000 // µs between two requests
		seconds = 10
	)
	for _, c := range []struct {
		name    string
		period  Micros
		other   string
		maximum float64 // units within reserved capacity
	}{
		{"no reserved capacity half of the time", 500_000, "spare", 108 + seconds/2*100},
		{"no reserved capacity, to and fro a thousand times", 10_000, "spare", 108 + seconds/2*100},
		{"less reserved capacity half of the time", 500_000, "slow", 108 + seconds/2*(100+1) + seconds*9},
	} {
		controller := New(Settings{TargetLag: 1000}, planSettings())
		granted := 0.0
		for now := Micros(0); now < seconds*1_000_000; now += pause {
			plan := "reserved"
			if now/c.period%2 == 1 {
				plan = c.other
			}
			if controller.takeReserved(now, readRequest(plan, "v")) {
				granted++
			}
		}
		if granted > c.maximum+1 || granted < 0.9*(108+seconds/2*100) {
			t.Errorf("%s: %v units within reserved capacity, want about %v at most", c.name, granted, c.maximum)
		}
	}
}

// A volume whose reserved capacity refills slowly was forgotten to make room before its bucket was full, and returned
// with a full one. A volume whose bucket is full must be forgotten in its place.
func TestOnlyFullBucketsAreForgotten(t *testing.T) {
	const room = 4
	c := New(Settings{TargetLag: 1000, MaxVolumes: room}, planSettings())
	used := func(now Micros, plan, volume string) (granted float64) {
		for c.takeReserved(now, readRequest(plan, volume)) {
			granted++
		}
		return granted
	}
	if first := used(1, "slow", "empty"); first != 9 {
		t.Fatalf("%v units within the reserved capacity of a new volume, want 9", first)
	}
	for i := range room - 1 {
		used(1, "reserved", fmt.Sprint("fast", i))
	}
	now := Micros(1) + reserveIdleTime
	for i := range room - 1 {
		if used(now, "reserved", fmt.Sprint("new", i)) == 0 {
			t.Errorf("new volume %d got no reserved capacity, although full buckets were idle", i)
		}
	}
	if c.volumes["empty"] == nil {
		t.Error("the volume whose bucket was not full was forgotten")
	}
	if again := used(now, "slow", "empty"); again > 2 {
		t.Errorf("%v units after 2 s at a rate of 1, want 2 at most", again)
	}
}
