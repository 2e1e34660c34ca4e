package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

// benchmarkScheduler returns the scheduler of one broker of a tier, with one shard per node.
func benchmarkScheduler(b *testing.B, brokers, nodes int, now scheduler.Time) *scheduler.Scheduler {
	b.Helper()
	settings := basicSettings()
	settings.Brokers = brokers
	settings.Capabilities.Peers = true
	s := newScheduler(b, settings, 1)
	var endpoints []scheduler.Endpoint
	for i := range nodes {
		endpoints = append(endpoints, scheduler.Endpoint{Name: fmt.Sprintf("n%d:1", i), Shard: i})
	}
	s.Reduce(now, []scheduler.Event{fullUpdate(endpoints...)})
	return s
}

// reduceAndAnswer passes events to a scheduler and answers each forwarded request after a millisecond.
func reduceAndAnswer(s *scheduler.Scheduler, now scheduler.Time, events []scheduler.Event) {
	for _, action := range s.Reduce(now, events) {
		if forward, ok := action.(scheduler.Forward); ok {
			s.Reduce(now+ms, []scheduler.Event{scheduler.AttemptEnded{
				ID: forward.ID, Node: forward.Node, Latency: ms, Finished: true, Load: scheduler.NoLoadReport,
			}})
		}
	}
}

// BenchmarkStep measures a call of Reduce with a request and the call with its answer, for one of 10 or 200 brokers.
// The time for each request should not grow with the number of brokers.
func BenchmarkStep(b *testing.B) {
	for _, brokers := range []int{10, 200} {
		b.Run(fmt.Sprint("hosts=", brokers), func(b *testing.B) {
			now := 100 * second
			s := benchmarkScheduler(b, brokers, 40, now)
			next := now
			for i := range b.N {
				now += 20 * time.Millisecond
				events := []scheduler.Event{scheduler.Request{
					ID: uint64(i + 1), Class: "read", Plan: "high", Volume: fmt.Sprint("v", i%12),
					Units: 2, Shard: i % 40, Brokers: 8, Remaining: 2 * second,
				}}
				if now >= next {
					events = append(events, scheduler.TimerFired{Token: 1})
					next = now + 50*time.Millisecond
				}
				reduceAndAnswer(s, now, events)
			}
		})
	}
}

// BenchmarkTick runs ticks of a scheduler with few requests and many nodes. The time of a tick should not grow
// with the number of nodes.
func BenchmarkTick(b *testing.B) {
	for _, nodes := range []int{100, 400, 1600} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			now := 100 * second
			s := benchmarkScheduler(b, 930, nodes, now)
			for i := range b.N {
				now += 25 * time.Millisecond
				events := []scheduler.Event{scheduler.TimerFired{Token: 1}}
				if i%4 == 0 {
					events = append(events, scheduler.Request{
						ID: uint64(i + 1), Class: "read", Plan: "high", Volume: "v",
						Units: 2, Shard: i % nodes, Brokers: 8, Remaining: 2 * second,
					})
				}
				reduceAndAnswer(s, now, events)
			}
		})
	}
}
