package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

// One request comes behind another, each answered in 0.4 ms, so that nothing is in flight when a node is
// chosen. The nodes of the shard must still be taken in turn.
func TestNodesOfAShardTakeTurns(t *testing.T) {
	const latency = 400 * time.Microsecond
	settings := basicSettings()
	s := newScheduler(t, settings, 1)
	var endpoints []scheduler.Endpoint
	for i := range 5 {
		endpoints = append(endpoints, scheduler.Endpoint{Name: fmt.Sprint("n", i), Shard: 0, Weight: 1})
	}
	now := 100 * second
	s.Reduce(now, []scheduler.Event{fullUpdate(endpoints...)})
	count := map[string]int{}
	for id := range uint64(50) {
		now += latency
		request := scheduler.Request{
			ID: id + 1, Class: settings.Classes[0].Name, Plan: settings.Plans[0].Name, Volume: fmt.Sprint("v", id),
			Units: 1, Brokers: 1, Remaining: second,
		}
		for _, action := range s.Reduce(now, []scheduler.Event{request}) {
			forward, ok := action.(scheduler.Forward)
			if !ok {
				continue
			}
			count[forward.Node]++
			now += latency
			s.Reduce(now, []scheduler.Event{scheduler.AttemptEnded{
				ID: forward.ID, Node: forward.Node, Outcome: scheduler.Success, Latency: latency,
				Finished: true, Load: scheduler.NoLoadReport,
			}})
		}
	}
	for _, endpoint := range endpoints {
		if n := count[endpoint.Name]; n < 9 || n > 11 {
			t.Errorf("%s got %d of 50 requests", endpoint.Name, n)
		}
	}
}
