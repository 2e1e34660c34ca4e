package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// A process runs for months, while nodes are replaced under new names and volumes appear and disappear. Its
// memory must not grow with the number of nodes and volumes that ever existed.
func TestForgetsWhatIsGone(t *testing.T) {
	settings := Settings{
		Brokers: 2, MeanUnits: 2, MaxUnits: 8, Capabilities: Capabilities{Peers: true},
		Classes: []Class{readClass()},
		Plans:   []Plan{{Name: "plan", Rate: 5, ReservedRate: 5, Weight: 1, Price: 1}},
		Rules:   Rules{WarmUpTime: 10 * time.Second, OverloadWindow: 3 * time.Second},
	}
	s := newScheduler(t, settings, 1)
	now := time.Hour
	s.Reduce(now, []Event{EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{Name: "n0"}}}})
	for i := range 300 {
		replaced := Endpoint{Name: fmt.Sprint("n", i), State: Removed}
		replacement := Endpoint{Name: fmt.Sprint("n", i+1), StartedAt: now}
		s.Reduce(now, []Event{
			EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{replaced, replacement}},
			TimerFired{Token: tickTimer},
			PeerMessage{From: 1, Data: []byte{messageReport, 0, 0, byte(i >> 8), byte(i), 0, 16}},
			Request{
				ID: uint64(i + 1), Class: "read", Plan: "plan", Volume: fmt.Sprint("v", i),
				Units: 1, Shard: 1000 + i, Brokers: 1, Remaining: time.Second,
			},
		})
		now += 10 * time.Second
	}
	for range volumeIdleTicks + reportTicks + 2 {
		now += s.tickPeriod
		s.Reduce(now, []Event{TimerFired{Token: tickTimer}})
	}
	if n := s.nodes.byName["n300"]; n == nil || !n.slowStart.warmingUp {
		t.Errorf("last node is %+v, want a node that is warming up", n)
	}
	for what, count := range map[string]int{
		"nodes": len(s.nodes.byName), "listed nodes": len(s.nodes.list), "shards": len(s.shards.byID),
		"shard ids": len(s.shards.ids), "nodes of a shard": len(s.shards.byID[0].nodes),
	} {
		if count != 1 {
			t.Errorf("%d %s remembered, want 1", count, what)
		}
	}
	for what, count := range map[string]int{
		"volumes": len(s.volumes.byName), "listed volumes": len(s.volumes.list), "volume hashes": len(s.volumes.byHash),
		"demand reports": len(s.demand.reports), "requests": len(s.requests), "unserved requests": len(s.unserved),
	} {
		if count != 0 {
			t.Errorf("%d %s remembered, want 0", count, what)
		}
	}
}
