package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// generationSettings returns settings with a class and a plan whose names contain a generation, and with a class that
// all generations have, whose deadline in seconds is the generation.
func generationSettings(generation uint64) Settings {
	own := Class{
		Name:             fmt.Sprint("class", generation),
		LatencyObjective: 100 * time.Millisecond,
		Deadline:         time.Second,
		PriorityWeight:   1,
	}
	common := own
	common.Name = "common"
	common.Deadline = time.Duration(generation) * time.Second
	return Settings{
		Brokers: 1, MeanUnits: 2, MaxUnits: 8, Capabilities: Capabilities{MaxAttempts: 3},
		Classes: []Class{own, common},
		Plans:   []Plan{{Name: fmt.Sprint("plan", generation), Rate: 50, ReservedRate: 50, Weight: 1, Price: 1}},
	}
}

// Requests that waited unread while a class or plan vanished failed. Each must get the class and plan of the generation
// that it came under, or of the oldest one that is still kept. Requests of the present generation must not get a class
// that has vanished.
func TestRequestsKeepTheirGeneration(t *testing.T) {
	const present = maxEarlierGenerations + 3
	s := newScheduler(t, generationSettings(1), 1)
	now := time.Hour
	s.Reduce(now, []Event{EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{Name: "n"}}}})
	for generation := uint64(2); generation <= present; generation++ {
		s.Reduce(now, []Event{SettingsChanged{Settings: generationSettings(generation), Generation: generation}})
	}
	const oldestKept = present - maxEarlierGenerations
	id := uint64(0)
	deadlineOf := func(class string, plan, generation uint64) time.Duration {
		id++
		s.Reduce(now, []Event{Request{
			ID: id, Class: class, Plan: fmt.Sprint("plan", plan), Volume: "v", Units: 1, Brokers: 1,
			Remaining: time.Second, Generation: generation,
		}})
		class1, known := s.ClassOf(id)
		if !known {
			return 0
		}
		return class1.Deadline
	}
	for _, test := range []struct {
		class            string
		plan, generation uint64
		want             time.Duration
	}{
		{fmt.Sprint("class", present), present, 0, time.Second},
		{fmt.Sprint("class", present), present, present, time.Second},
		{fmt.Sprint("class", present), present, present + 1, time.Second},
		{fmt.Sprint("class", present-1), present - 1, present - 1, time.Second},
		{fmt.Sprint("class", oldestKept), oldestKept, oldestKept, time.Second},
		{"common", present - 2, present - 2, (present - 2) * time.Second},
		{"common", oldestKept, 1, oldestKept * time.Second},
		{fmt.Sprint("class", present-1), present, 0, 0},
		{fmt.Sprint("class", present-1), present, present, 0},
		{fmt.Sprint("class", present), present - 1, present, 0},
	} {
		if got := deadlineOf(test.class, test.plan, test.generation); got != test.want {
			t.Errorf("class %s, plan%d of generation %d: deadline %v, want %v (0: failed)",
				test.class, test.plan, test.generation, got, test.want)
		}
	}
	s.Reduce(now, []Event{SettingsChanged{Settings: generationSettings(1), Generation: 0}})
	if got := deadlineOf("common", 1, present); got != time.Second {
		t.Errorf("settings within a generation: deadline %v, want that of the replacement", got)
	}
}
