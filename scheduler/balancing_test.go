package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

// Each request is answered after 0.4 ms, before the next one arrives, so that no attempt is in flight when a node is
// chosen. The requests must still be spread evenly over the nodes of the shard.
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
			t.Errorf("node %s received %d of 50 requests, want 9 to 11", endpoint.Name, n)
		}
	}
}
