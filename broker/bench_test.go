package broker

import (
	"fmt"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

// benchState returns a new state with the class "read" of the given latency objective, the plan "plan" with ample
// tokens, and the given further plans.
func benchState(b *testing.B, objective time.Duration, plans ...scheduler.Plan) *State {
	b.Helper()
	return newState(b, scheduler.Settings{
		Brokers:   1,
		MeanUnits: 2,
		MaxUnits:  8,
		Classes: []scheduler.Class{{
			Name:             "read",
			LatencyObjective: objective,
			Deadline:         2 * objective,
			PriorityWeight:   1,
		}},
		Plans:        append(plans, scheduler.Plan{Name: "plan", Rate: 1e6, ReservedRate: 1e6, Weight: 1, Price: 1}),
		Capabilities: scheduler.Capabilities{MaxAttempts: 3},
	})
}

// benchNodes returns nodes with one shard each.
func benchNodes(prefix string, count int) []Node {
	var nodes []Node
	for i := range count {
		nodes = append(nodes, Node{
			Endpoint: scheduler.Endpoint{Name: fmt.Sprint(prefix, i), Shard: i},
			Address:  fmt.Sprint("10.0.0.1:", i+1),
		})
	}
	return nodes
}

func benchRequest(volume string, shard int, timeout Micros) *Request {
	return &Request{
		Class:   "read",
		Plan:    "plan",
		Volume:  volume,
		Units:   1,
		Shard:   shard,
		Brokers: 1,
		Timeout: timeout,
	}
}

// settledState returns a state with the given number of nodes and about the given number of queued requests for which
// no node has capacity.
func settledState(b *testing.B, nodes, queued, volumes int) (*State, []Node) {
	b.Helper()
	s := benchState(b, time.Minute)
	list := benchNodes("n", nodes)
	s.Reduce(Second, []Event{fullList(1, list...)})
	var arrivals []Event
	for i := range queued + 40*min(queued, nodes) { // the nodes accept some of the requests
		request := benchRequest(fmt.Sprint("v", i%max(1, volumes)), i%nodes, 60*Second)
		arrivals = append(arrivals, RequestArrived{ID: uint64(1<<50 + i), Request: request})
	}
	s.Reduce(Second, arrivals)
	s.Reduce(Second+1, nil)
	return s, list
}

// BenchmarkTurn measures a turn with an arrival and a turn with the end of its attempt.
func BenchmarkTurn(b *testing.B) {
	for _, nodes := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			s, _ := settledState(b, nodes, 0, 1)
			now := 2 * Second
			id := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				now += 10
				request := benchRequest("v", int(id)%nodes, 60*Second)
				for _, e := range s.Reduce(now, []Event{RequestArrived{ID: id, Request: request}}) {
					if start, is := e.(StartAttempt); is {
						s.Reduce(now, []Event{AttemptEnded{ID: start.ID, Attempt: start.Number, Result: served(nil)}})
					}
				}
			}
		})
	}
}

// BenchmarkFullList measures a full list in which one node has changed.
func BenchmarkFullList(b *testing.B) {
	for _, nodes := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			s, list := settledState(b, nodes, 0, 1)
			now := 2 * Second
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 10
				list[nodes/2].Weight = float64(i)
				s.Reduce(now, []Event{fullList(uint64(i), list...)})
			}
		})
	}
}

// BenchmarkQueued measures a turn with the arrival of a request that is queued and a turn with its cancellation, while
// other requests are queued for nodes without capacity.
func BenchmarkQueued(b *testing.B) {
	for _, nodes := range []int{10, 1000} {
		for _, queued := range []int{10, 1000, 10_000, 100_000} {
			b.Run(fmt.Sprintf("nodes=%d/queued=%d", nodes, queued), func(b *testing.B) {
				s, _ := settledState(b, nodes, queued, 1)
				now := 2 * Second
				id := uint64(1 << 40)
				b.ReportAllocs()
				for b.Loop() {
					id++
					now += 10
					request := benchRequest("v", int(id)%nodes, 60*Second)
					s.Reduce(now, []Event{RequestArrived{ID: id, Request: request}})
					s.Reduce(now, []Event{RequestCancelled{ID: id}})
				}
			})
		}
	}
}

// BenchmarkVolumes measures a turn with an arrival and a turn with the end of its attempt, at a node with capacity.
// Meanwhile requests are queued for volumes that have used up their tokens. One volume has nine tenths of these
// requests, and the remaining tenth is spread over all volumes.
func BenchmarkVolumes(b *testing.B) {
	for _, queued := range []int{10, 1000, 10_000, 100_000} {
		for _, volumes := range []int{10, 1000, 100_000} {
			b.Run(fmt.Sprintf("queued=%d/volumes=%d", queued, volumes), func(b *testing.B) {
				s := overdrawnState(b, queued, volumes)
				now := 2 * Second
				id := uint64(0)
				b.ReportAllocs()
				for b.Loop() {
					id++
					now += 10
					request := benchRequest("rich", int(id)%10, 600*Second)
					reduceAndServe(s, now, []Event{RequestArrived{ID: id, Request: request}})
				}
			})
		}
	}
}

// overdrawnState returns a state in which each volume has overdrawn its tokens, so that later requests are queued.
func overdrawnState(b *testing.B, queued, volumes int) *State {
	b.Helper()
	s := benchState(b, 10*time.Minute, scheduler.Plan{Name: "poor", Rate: 0.001, Weight: 1, Price: 1})
	s.Reduce(Second, []Event{fullList(1, benchNodes("n", 10)...)})
	var arrivals []Event
	add := func(id uint64, volume, shard int) {
		request := benchRequest(fmt.Sprint("v", volume), shard, 600*Second)
		request.Plan = "poor"
		request.Units = 8
		arrivals = append(arrivals, RequestArrived{ID: id, Request: request})
	}
	for i := range volumes {
		add(uint64(1<<41+i), i, i%10)
	}
	for i := range queued {
		volume := 0
		if i%10 == 0 {
			volume = i % volumes
		}
		add(uint64(1<<42+i), volume, i%10)
	}
	reduceAndServe(s, Second+1, arrivals)
	if waits := s.OpenRequests(); waits < queued/2 {
		b.Fatalf("%d requests are open, want at least %d", waits, queued/2)
	}
	return s
}

// reduceAndServe reduces events and ends each attempt that they start with a served result.
func reduceAndServe(s *State, now Micros, events []Event) {
	for len(events) > 0 {
		effects := s.Reduce(now, events)
		events = nil
		for _, e := range effects {
			if start, is := e.(StartAttempt); is {
				events = append(events, AttemptEnded{ID: start.ID, Attempt: start.Number, Result: served(nil)})
			}
		}
	}
}

// BenchmarkListUpdate measures the first list, a list that replaces all nodes, and a change of one node.
func BenchmarkListUpdate(b *testing.B) {
	const nodes = 10_000
	old := benchNodes("a", nodes)
	other := benchNodes("b", nodes)
	b.Run("first", func(b *testing.B) {
		for b.Loop() {
			b.StopTimer()
			s := benchState(b, time.Minute)
			b.StartTimer()
			s.Reduce(2*Second, []Event{fullList(2, old...)})
		}
	})
	b.Run("replaced", func(b *testing.B) {
		for b.Loop() {
			b.StopTimer()
			s, _ := settledState(b, 1, 0, 1)
			s.Reduce(2*Second, []Event{fullList(2, old...)})
			b.StartTimer()
			s.Reduce(3*Second, []Event{fullList(3, other...)})
		}
	})
	b.Run("change", func(b *testing.B) {
		s, _ := settledState(b, 1, 0, 1)
		s.Reduce(2*Second, []Event{fullList(2, old...)})
		now := 3 * Second
		for i := 0; b.Loop(); i++ {
			now += 10
			old[7].Weight = float64(i)
			s.Reduce(now, []Event{changedNodes(uint64(i+3), old[7:8]...)})
		}
	})
}

// BenchmarkTick measures the tick that refills the volumes' token buckets, while requests of many volumes are queued.
func BenchmarkTick(b *testing.B) {
	for _, c := range []struct{ nodes, queued, volumes int }{
		{10, 10, 10},
		{10, 10, 100_000},
		{10, 10_000, 10},
		{10, 100_000, 100_000},
		{10_000, 10, 10},
		{10_000, 100_000, 100_000},
	} {
		b.Run(fmt.Sprintf("nodes=%d/queued=%d/volumes=%d", c.nodes, c.queued, c.volumes), func(b *testing.B) {
			s, _ := settledState(b, c.nodes, c.queued, c.volumes)
			var seen []Event
			for i := range c.volumes { // make the volumes active
				request := benchRequest(fmt.Sprint("v", i), -1, 60*Second)
				seen = append(seen, RequestArrived{ID: uint64(1<<43 + i), Request: request})
			}
			s.Reduce(Second+2, seen)
			for i := range c.volumes {
				s.Reduce(Second+3, []Event{RequestCancelled{ID: uint64(1<<43 + i)}})
			}
			now := 2 * Second
			b.ReportAllocs()
			for b.Loop() {
				now += 100
				s.schedulerEvents = append(s.schedulerEvents, scheduler.TimerFired{Token: 1})
				s.Reduce(now, nil)
			}
		})
	}
}
