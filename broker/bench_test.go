package broker

import (
	"fmt"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

// benchState returns a new state with a class of such an aim, a plan that pays for all, and further ones.
func benchState(b *testing.B, aim time.Duration, plans ...scheduler.Plan) *State {
	b.Helper()
	s, err := NewState(scheduler.Settings{Brokers: 1, MeanUnits: 2, MaxUnits: 8, Classes: []scheduler.Class{{Name: "read", LatencyObjective: aim, Deadline: 2 * aim, PriorityWeight: 1}},
		Plans: append(plans, scheduler.Plan{Name: "plan", Rate: 1e6, ReservedRate: 1e6, Weight: 1, Price: 1}), Capabilities: scheduler.Capabilities{MaxAttempts: 3}}, 1)
	if err != nil {
		b.Fatal(err)
	}
	return s
}

// settled returns a state that knows so many nodes, each with a shard of its own, and holds so many requests that no node can
// take.
func settled(b *testing.B, nodes, held, volumes int) (*State, []Node) {
	b.Helper()
	s := benchState(b, time.Minute)
	var list []Node
	for i := range nodes {
		list = append(list, Node{Endpoint: scheduler.Endpoint{Name: fmt.Sprint("n", i), Shard: i}, Address: fmt.Sprint("10.0.0.1:", i+1)})
	}
	s.Reduce(Second, []Event{NodesListed{Kind: scheduler.FullUpdate, Version: 1, Nodes: list}})
	var arrivals []Event
	for i := range held + 40*min(held, nodes) { // some go out
		arrivals = append(arrivals, Arrived{ID: uint64(1<<50 + i), Request: &Request{Class: "read", Plan: "plan", Volume: fmt.Sprint("v", i%max(1, volumes)),
			Units: 1, Shard: i % nodes, Brokers: 1, Timeout: 60 * Second}})
	}
	s.Reduce(Second, arrivals)
	s.Reduce(Second+1, nil)
	return s, list
}

// BenchmarkTurn is a turn with an arrival and one with its ending.
func BenchmarkTurn(b *testing.B) {
	for _, nodes := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			s, _ := settled(b, nodes, 0, 1)
			now, id := 2*Second, uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				now += 10
				req := &Request{Class: "read", Plan: "plan", Volume: "v", Units: 1, Shard: int(id) % nodes, Brokers: 1, Timeout: 60 * Second}
				for _, e := range s.Reduce(now, []Event{Arrived{ID: id, Request: req}}) {
					if start, is := e.(Start); is {
						s.Reduce(now, []Event{Ended{ID: start.ID, Attempt: start.Number, Result: Result{Load: scheduler.NoLoadReport}}})
					}
				}
			}
		})
	}
}

// BenchmarkList is a whole list of which one node has changed.
func BenchmarkList(b *testing.B) {
	for _, nodes := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			s, list := settled(b, nodes, 0, 1)
			now := 2 * Second
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 10
				list[nodes/2].Weight = float64(i)
				s.Reduce(now, []Event{NodesListed{Kind: scheduler.FullUpdate, Version: uint64(i), Nodes: list}})
			}
		})
	}
}

// BenchmarkHeld is a turn with an arrival that is held, one with its leaving, and one with the end of an attempt elsewhere, while so many
// requests wait for nodes that have no room.
func BenchmarkHeld(b *testing.B) {
	for _, nodes := range []int{10, 1000} {
		for _, held := range []int{10, 1000, 10_000, 100_000} {
			b.Run(fmt.Sprintf("nodes=%d/held=%d", nodes, held), func(b *testing.B) {
				s, _ := settled(b, nodes, held, 1)
				now, id := 2*Second, uint64(1<<40)
				b.ReportAllocs()
				for b.Loop() {
					id++
					now += 10
					s.Reduce(now, []Event{Arrived{ID: id, Request: &Request{Class: "read", Plan: "plan", Volume: "v", Units: 1, Shard: int(id) % nodes, Brokers: 1, Timeout: 60 * Second}}})
					s.Reduce(now, []Event{Left{ID: id}})
				}
			})
		}
	}
}

// BenchmarkVolumes is a turn with an arrival and its ending at a node that has room again, while so many requests wait of volumes that
// can't pay: one volume holds nine of ten, so many others the rest.
func BenchmarkVolumes(b *testing.B) {
	for _, held := range []int{10, 1000, 10_000, 100_000} {
		for _, volumes := range []int{10, 1000, 100_000} {
			b.Run(fmt.Sprintf("held=%d/volumes=%d", held, volumes), func(b *testing.B) {
				s := benchState(b, 10*time.Minute, scheduler.Plan{Name: "poor", Rate: 0.001, Weight: 1, Price: 1})
				var list []Node
				for i := range 10 {
					list = append(list, Node{Endpoint: scheduler.Endpoint{Name: fmt.Sprint("n", i), Shard: i}, Address: fmt.Sprint("10.0.0.1:", i+1)})
				}
				s.Reduce(Second, []Event{NodesListed{Kind: scheduler.FullUpdate, Version: 1, Nodes: list}})
				var arrivals []Event
				for i := range volumes { // each volume goes into its debt, so that what follows waits
					arrivals = append(arrivals, Arrived{ID: uint64(1<<41 + i), Request: &Request{Class: "read", Plan: "poor", Volume: fmt.Sprint("v", i), Units: 8, Shard: i % 10, Brokers: 1, Timeout: 600 * Second}})
				}
				for i := range held {
					volume := 0
					if i%10 == 0 {
						volume = i % volumes
					}
					arrivals = append(arrivals, Arrived{ID: uint64(1<<42 + i), Request: &Request{Class: "read", Plan: "poor", Volume: fmt.Sprint("v", volume), Units: 8, Shard: i % 10, Brokers: 1, Timeout: 600 * Second}})
				}
				end := func(now Micros, events []Event) { // and of each that is sent its ending
					for len(events) > 0 {
						effects := s.Reduce(now, events)
						events = nil
						for _, e := range effects {
							if start, is := e.(Start); is {
								events = append(events, Ended{ID: start.ID, Attempt: start.Number, Result: Result{Load: scheduler.NoLoadReport}})
							}
						}
					}
				}
				end(Second+1, arrivals)
				if waits := s.OpenRequests(); waits < held/2 {
					b.Fatalf("%d wait", waits)
				}
				now, id := 2*Second, uint64(0)
				b.ReportAllocs()
				for b.Loop() {
					id++
					now += 10
					end(now, []Event{Arrived{ID: id, Request: &Request{Class: "read", Plan: "plan", Volume: "rich", Units: 1, Shard: int(id) % 10, Brokers: 1, Timeout: 600 * Second}}})
				}
			})
		}
	}
}

// BenchmarkNews is a list's first coming whole, its replacement by as many others, and one change.
func BenchmarkNews(b *testing.B) {
	const nodes = 10_000
	all := func(prefix string) (list []Node) {
		for i := range nodes {
			list = append(list, Node{Endpoint: scheduler.Endpoint{Name: fmt.Sprint(prefix, i), Shard: i}, Address: fmt.Sprint("10.0.0.1:", i+1)})
		}
		return list
	}
	old, other := all("a"), all("b")
	b.Run("first", func(b *testing.B) {
		for b.Loop() {
			b.StopTimer()
			s := benchState(b, time.Minute)
			b.StartTimer()
			s.Reduce(2*Second, []Event{NodesListed{Kind: scheduler.FullUpdate, Version: 2, Nodes: old}})
		}
	})
	b.Run("replaced", func(b *testing.B) {
		for b.Loop() {
			b.StopTimer()
			s, _ := settled(b, 1, 0, 1)
			s.Reduce(2*Second, []Event{NodesListed{Kind: scheduler.FullUpdate, Version: 2, Nodes: old}})
			b.StartTimer()
			s.Reduce(3*Second, []Event{NodesListed{Kind: scheduler.FullUpdate, Version: 3, Nodes: other}})
		}
	})
	b.Run("change", func(b *testing.B) {
		s, _ := settled(b, 1, 0, 1)
		s.Reduce(2*Second, []Event{NodesListed{Kind: scheduler.FullUpdate, Version: 2, Nodes: old}})
		now := 3 * Second
		for i := 0; b.Loop(); i++ {
			now += 10
			old[7].Weight = float64(i)
			s.Reduce(now, []Event{NodesListed{Kind: scheduler.DeltaUpdate, Version: uint64(i + 3), Nodes: old[7:8]}})
		}
	})
}

// BenchmarkTick is the tick in which volumes get their tokens, while so many requests of so many volumes wait.
func BenchmarkTick(b *testing.B) {
	for _, c := range []struct{ nodes, held, volumes int }{{10, 10, 10}, {10, 10, 100_000}, {10, 10_000, 10}, {10, 100_000, 100_000}, {10_000, 10, 10}, {10_000, 100_000, 100_000}} {
		b.Run(fmt.Sprintf("nodes=%d/held=%d/volumes=%d", c.nodes, c.held, c.volumes), func(b *testing.B) {
			s, _ := settled(b, c.nodes, c.held, c.volumes)
			var seen []Event
			for i := range c.volumes { // volumes that were active
				seen = append(seen, Arrived{ID: uint64(1<<43 + i), Request: &Request{Class: "read", Plan: "plan", Volume: fmt.Sprint("v", i), Units: 1, Shard: -1, Brokers: 1, Timeout: 60 * Second}})
			}
			s.Reduce(Second+2, seen)
			for i := range c.volumes {
				s.Reduce(Second+3, []Event{Left{ID: uint64(1<<43 + i)}})
			}
			now := 2 * Second
			b.ReportAllocs()
			for b.Loop() {
				now += 100
				s.news = append(s.news, scheduler.TimerFired{Token: 1})
				s.Reduce(now, nil)
			}
		})
	}
}
