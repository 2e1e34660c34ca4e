package scheduler_test

import (
	"fmt"
	"time"

	"junctionwharf/scheduler"
)

// A scheduler receives a request, forwards it, and is notified that the node served it.
func Example() {
	settings := scheduler.Settings{
		Brokers: 1, MeanUnits: 2, MaxUnits: 8,
		Classes: []scheduler.Class{{
			Name: "read", LatencyObjective: 300 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1,
		}},
		Plans: []scheduler.Plan{{Name: "basic", Rate: 10, ReservedRate: 10, Weight: 1, Price: 1}},
	}
	s, err := scheduler.New(settings, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	show := func(actions []scheduler.Action) {
		for _, action := range actions {
			switch a := action.(type) {
			case scheduler.SetTimer:
			case scheduler.Forward:
				fmt.Printf("forward request %d to %s, timeout %s\n", a.ID, a.Node, a.Timeout)
			default:
				fmt.Printf("%T %+v\n", a, a)
			}
		}
	}
	node := scheduler.Endpoint{Name: "10.0.0.1:8000", Shard: 0}
	show(s.Reduce(0, []scheduler.Event{
		scheduler.EndpointUpdate{Kind: scheduler.FullUpdate, Version: 1, Endpoints: []scheduler.Endpoint{node}},
		scheduler.Request{
			ID: 7, Class: "read", Plan: "basic", Volume: "photos", Units: 2, Brokers: 1, Remaining: 2 * time.Second,
		},
	}))
	show(s.Reduce(40*time.Millisecond, []scheduler.Event{scheduler.AttemptEnded{
		ID: 7, Node: node.Name, Outcome: scheduler.Success, Latency: 40 * time.Millisecond,
		Finished: true, Load: scheduler.NoLoadReport,
	}}))
	fmt.Println("done")
	// Output:
	// forward request 7 to 10.0.0.1:8000, timeout 0s
	// done
}
