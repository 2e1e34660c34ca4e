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
	var nodes []scheduler.NodeInfo
	for i := range 5 {
		nodes = append(nodes, scheduler.NodeInfo{Node: fmt.Sprint("n", i), Shard: 0, Weight: 1})
	}
	now := 100 * second
	g.Step(now, []scheduler.Event{scheduler.NodeList{Kind: scheduler.ListFull, Nodes: nodes}})
	count := map[string]int{}
	for id := range uint64(50) {
		now += 400 * time.Microsecond
		for _, a := range g.Step(now, []scheduler.Event{scheduler.Request{ID: id + 1, Class: set.Classes[0].Name, Plan: set.Plans[0].Name, Volume: fmt.Sprint("v", id), Units: 1, Hosts: 1, Remaining: second}}) {
			if s, is := a.(scheduler.Send); is {
				count[s.Node]++
				now += 400 * time.Microsecond
				g.Step(now, []scheduler.Event{scheduler.AttemptEnded{ID: s.ID, Node: s.Node, Outcome: scheduler.Success, Took: 400 * time.Microsecond, Finished: true, Load: scheduler.NoLoad}})
			}
		}
	}
	for _, n := range nodes {
		if c := count[n.Node]; c < 9 || c > 11 {
			t.Errorf("%v", count)
			break
		}
	}
}
