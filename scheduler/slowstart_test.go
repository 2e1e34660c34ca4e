package scheduler

import (
	"testing"
	"time"
)

// unitsToNewNode returns the units that one process of a broker with the given number of processes forwards within span
// to a node that has just started.
func unitsToNewNode(t *testing.T, processes int, span time.Duration) float64 {
	t.Helper()
	s := newScheduler(t, Settings{
		Brokers: 1, MeanUnits: 1, MaxUnits: 1, SlowStartUnits: 80,
		Classes: []Class{readClass()},
		Plans:   []Plan{{Name: "plan", Rate: 900, ReservedRate: 900, Weight: 1, Price: 1}},
		Rules: Rules{
			WarmUpTime: time.Hour, InitialCapacity: 0.2, OverloadWindow: 3 * time.Second, OverloadMultiple: 4,
		},
	}, 1)
	now, units, id := time.Hour, 0.0, uint64(0)
	events := []Event{
		ProcessesChanged{Processes: processes},
		EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{Name: "n", StartedAt: now}}},
	}
	for end := now + span; now < end; now += s.tickPeriod {
		for range 4 {
			id++
			events = append(events, Request{
				ID: id, Class: "read", Plan: "plan", Volume: "v", Units: 1, Brokers: 1, Remaining: time.Second,
			})
		}
		actions := s.Reduce(now, append(events, TimerFired{Token: tickTimer}))
		events = nil
		for _, action := range actions {
			if a, ok := action.(Forward); ok { // canceled attempts use up budget too, and do not prove capacity
				units++
				events = append(events, AttemptEnded{ID: a.ID, Node: "n", Outcome: Canceled, Finished: true})
			}
		}
	}
	return units
}

// One process of a broker replaces another while a node starts. Each of the two processes must send at most half of
// what a single process would send to the node. Therefore a process that is not alone starts without saved budget, and
// accumulates budget half as fast.
func TestProcessesShareSlowStartBudget(t *testing.T) {
	alone, shared := unitsToNewNode(t, 1, 3*time.Second), unitsToNewNode(t, 2, 3*time.Second)
	if shared == 0 || shared > alone/2 {
		t.Errorf("one of two processes sent %v units, want above 0 and at most half of the %v of a single process",
			shared, alone)
	}
}
