package scheduler

import (
	"testing"
	"time"
)

// Two processes that are one host together must not send a cold node more than one would: the newer one
// starts with nothing saved, and each saves half as fast.
func TestSharedColdBudget(t *testing.T) {
	sent := func(processes int, over time.Duration) float64 {
		g, err := New(Settings{Brokers: 1, MeanUnits: 1, MaxUnits: 1, SlowStartUnits: 80,
			Classes: []Class{{Name: "read", LatencyObjective: 300 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1}},
			Plans:   []Plan{{Name: "plan", Rate: 900, ReservedRate: 900, Weight: 1, Price: 1}},
			Rules:   Rules{WarmUpTime: time.Hour, InitialCapacity: 0.2, OverloadWindow: 3 * time.Second, OverloadMultiple: 4}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		now, units, id := Time(time.Hour), 0.0, uint64(0)
		events := []Event{ProcessesChanged{Processes: processes}, EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{Name: "n", StartedAt: now}}}}
		for end := now + over; now < end; now += g.tick {
			for range 4 {
				id++
				events = append(events, Request{ID: id, Class: "read", Plan: "plan", Volume: "v", Units: 1, Brokers: 1, Remaining: time.Second})
			}
			actions := g.Reduce(now, append(events, TimerFired{Token: timerTick}))
			for events = nil; len(actions) > 0; actions = actions[1:] {
				if a, ok := actions[0].(Forward); ok { // what is called off weighs too, and proves no capacity
					units++
					events = append(events, AttemptEnded{ID: a.ID, Node: "n", Outcome: Canceled, Finished: true})
				}
			}
		}
		return units
	}
	alone, shared := sent(1, 3*time.Second), sent(2, 3*time.Second)
	if shared == 0 || shared > alone/2 {
		t.Errorf("one of two processes sent %v units, one alone %v", shared, alone)
	}
}
