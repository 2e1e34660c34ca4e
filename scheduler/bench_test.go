package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

// BenchmarkStep plays requests with their answers through one gateway of few or many hosts. Its time for
// each request should not grow with the hosts.
func BenchmarkStep(b *testing.B) {
	for _, hosts := range []int{10, 200} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			set := plain()
			set.Brokers, set.Capabilities.Peers = hosts, true
			g, err := scheduler.New(set, 1)
			if err != nil {
				b.Fatal(err)
			}
			now := 100 * second
			var nodes []scheduler.Endpoint
			for i := range 40 {
				nodes = append(nodes, scheduler.Endpoint{Name: fmt.Sprintf("n%d:1", i), Shard: i})
			}
			g.Reduce(now, []scheduler.Event{scheduler.EndpointUpdate{Kind: scheduler.FullUpdate, Endpoints: nodes}})
			next := now
			for i := range b.N {
				now += 20 * time.Millisecond
				shard := i % 40
				events := []scheduler.Event{scheduler.Request{ID: uint64(i + 1), Class: "read", Plan: "high", Volume: fmt.Sprint("v", i%12),
					Units: 2, Shard: shard, Brokers: 8, Remaining: 2 * second}}
				if now >= next {
					events, next = append(events, scheduler.TimerFired{Token: 1}), now+50*time.Millisecond
				}
				for _, action := range g.Reduce(now, events) {
					if send, ok := action.(scheduler.Forward); ok {
						g.Reduce(now+time.Millisecond, []scheduler.Event{scheduler.AttemptEnded{ID: send.ID, Node: send.Node,
							Latency: time.Millisecond, Finished: true, Load: scheduler.NoLoadReport}})
					}
				}
			}
		})
	}
}

// BenchmarkTick is a tick of a gateway with few requests among many nodes. What it costs should not grow with
// the nodes.
func BenchmarkTick(b *testing.B) {
	for _, count := range []int{100, 400, 1600} {
		b.Run(fmt.Sprint("nodes=", count), func(b *testing.B) {
			set := plain()
			set.Brokers, set.Capabilities.Peers = 930, true
			g, err := scheduler.New(set, 1)
			if err != nil {
				b.Fatal(err)
			}
			now := 100 * second
			var nodes []scheduler.Endpoint
			for i := range count {
				nodes = append(nodes, scheduler.Endpoint{Name: fmt.Sprintf("n%d:1", i), Shard: i})
			}
			g.Reduce(now, []scheduler.Event{scheduler.EndpointUpdate{Kind: scheduler.FullUpdate, Endpoints: nodes}})
			for i := range b.N {
				now += 25 * time.Millisecond
				events := []scheduler.Event{scheduler.TimerFired{Token: 1}}
				if i%4 == 0 {
					events = append(events, scheduler.Request{ID: uint64(i + 1), Class: "read", Plan: "high", Volume: "v", Units: 2, Shard: i % count, Brokers: 8, Remaining: 2 * second})
				}
				for _, action := range g.Reduce(now, events) {
					if send, ok := action.(scheduler.Forward); ok {
						g.Reduce(now+time.Millisecond, []scheduler.Event{scheduler.AttemptEnded{ID: send.ID, Node: send.Node, Latency: time.Millisecond, Finished: true, Load: scheduler.NoLoadReport}})
					}
				}
			}
		})
	}
}
