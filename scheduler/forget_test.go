package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// What a process knows must not grow with the nodes and volumes that ever were.
func TestForgetsWhatIsGone(t *testing.T) {
	set := Settings{Brokers: 2, MeanUnits: 2, MaxUnits: 8, Capabilities: Capabilities{Peers: true},
		Classes: []Class{{Name: "read", LatencyObjective: 300 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1}},
		Plans:   []Plan{{Name: "plan", Rate: 5, ReservedRate: 5, Weight: 1, Price: 1}},
		Rules:   Rules{WarmUpTime: 10 * time.Second, OverloadWindow: 3 * time.Second}}
	g, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	now, id := Time(time.Hour), uint64(0)
	g.Reduce(now, []Event{EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{Name: "n0"}}}})
	for i := range 300 {
		old, young := Endpoint{Name: fmt.Sprint("n", i), State: Removed}, Endpoint{Name: fmt.Sprint("n", i+1), StartedAt: now}
		events := []Event{EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{old, young}}, TimerFired{Token: timerTick},
			PeerMessage{From: 1, Data: []byte{newsReport, 0, 0, byte(i >> 8), byte(i), 0, 16}}}
		id++
		events = append(events, Request{ID: id, Class: g.set.Classes[0].Name, Plan: g.set.Plans[0].Name, Volume: fmt.Sprint("v", i),
			Units: 1, Shard: 1000 + i, Brokers: 1, Remaining: time.Second})
		g.Reduce(now, events)
		now += 10 * time.Second
	}
	for range idleTicks + newsTicks + 2 {
		now += g.tick
		g.Reduce(now, []Event{TimerFired{Token: timerTick}})
	}
	if n := g.nodes["n300"]; n == nil || !n.cold {
		t.Errorf("the last node: %+v", n)
	}
	for what, n := range map[string]int{"nodes": len(g.nodes), "listed nodes": len(g.nodeList), "shards": len(g.shards),
		"shard ids": len(g.shardIDs), "nodes of a shard": len(g.shards[0].nodes)} {
		if n != 1 {
			t.Errorf("%d %s kept", n, what)
		}
	}
	if n := len(g.volumes) + len(g.inOrder) + len(g.byID) + len(g.kept) + len(g.requests) + len(g.unserved); n != 0 {
		t.Errorf("%d accounts kept", n)
	}
}
