package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

// One request behind another, each answered in 0.4 ms: the nodes of a shard are taken in turn.
func TestTurnsOfAShard(t *testing.T) {
	set := plain()
	g, err := scheduler.New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	var nodes []scheduler.Endpoint
	for i := range 5 {
		nodes = append(nodes, scheduler.Endpoint{Name: fmt.Sprint("n", i), Shard: 0, Weight: 1})
	}
	now := 100 * second
	g.Reduce(now, []scheduler.Event{scheduler.EndpointUpdate{Kind: scheduler.FullUpdate, Endpoints: nodes}})
	count := map[string]int{}
	for id := range uint64(50) {
		now += 400 * time.Microsecond
		for _, a := range g.Reduce(now, []scheduler.Event{scheduler.Request{ID: id + 1, Class: set.Classes[0].Name, Plan: set.Plans[0].Name, Volume: fmt.Sprint("v", id), Units: 1, Brokers: 1, Remaining: second}}) {
			if s, is := a.(scheduler.Forward); is {
				count[s.Node]++
				now += 400 * time.Microsecond
				g.Reduce(now, []scheduler.Event{scheduler.AttemptEnded{ID: s.ID, Node: s.Node, Outcome: scheduler.Success, Latency: 400 * time.Microsecond, Finished: true, Load: scheduler.NoLoadReport}})
			}
		}
	}
	for _, n := range nodes {
		if c := count[n.Name]; c < 9 || c > 11 {
			t.Errorf("%v", count)
			break
		}
	}
}
