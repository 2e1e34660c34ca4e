package scheduler

import (
	"testing"
	"time"
)

// Two processes that are one host together must not send a cold node more than one would: the newer one starts with
// nothing saved, and each saves half as fast.
func TestSharedColdBudget(t *testing.T) {
	sent := func(processes int, over time.Duration) float64 {
		g, err := New(Settings{Hosts: 1, MeanUnits: 1, MaxUnits: 1, ColdUnits: 80,
			Classes: []Class{{Name: "read", Aim: 300 * time.Millisecond, Deadline: 2 * time.Second, Worth: 1}},
			Plans:   []Plan{{Name: "plan", Rate: 900, Reserve: 900, Weight: 1, Price: 1}},
			Rules:   Rules{ColdTime: time.Hour, ColdShare: 0.2, FallTime: 3 * time.Second, FallMultiple: 4}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		now, units, id := Time(time.Hour), 0.0, uint64(0)
		events := []Event{Shared{Processes: processes}, NodeList{Kind: ListFull, Nodes: []NodeInfo{{Node: "n", UpSince: now}}}}
		for end := now + over; now < end; now += g.tick {
			for range 4 {
				id++
				events = append(events, Request{ID: id, Class: "read", Plan: "plan", Volume: "v", Units: 1, Hosts: 1, Remaining: time.Second})
			}
			actions := g.Step(now, append(events, Timer{Token: timerTick}))
			for events = nil; len(actions) > 0; actions = actions[1:] {
				if a, ok := actions[0].(Send); ok { // what is called off weighs too, and proves no capacity
					units++
					events = append(events, AttemptEnded{ID: a.ID, Node: "n", Outcome: Withdrawn, Finished: true})
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
