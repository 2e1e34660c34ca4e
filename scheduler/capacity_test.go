package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// checkActiveNodes checks that every node that is not idle is active. Unless a recount is due, it also checks that the
// stored sum of the limits of idle nodes is correct and, after the first tick, that at most maxActive nodes are active.
func checkActiveNodes(t *testing.T, s *Scheduler, maxActive int) {
	t.Helper()
	active, idleLimits := 0, 0.0
	for _, n := range s.nodes.list {
		switch {
		case n.active:
			active++
		case !n.isIdle(targetLatency(s.minObjective)):
			t.Fatalf("node %s is not active although it is not idle: %d attempts in flight", n.Name, len(n.attempts))
		case n.state == Ready:
			idleLimits += n.limit.value
		}
	}
	if s.nodes.recount {
		return
	}
	if math.Abs(idleLimits-s.nodes.idleLimitSum) > 1e-6 {
		t.Fatalf("stored sum of the limits of idle nodes is %.9f, want %.9f", s.nodes.idleLimitSum, idleLimits)
	}
	if s.ticks > 1 && active > maxActive {
		t.Fatalf("%d nodes are active, want at most the %d nodes with requests", active, maxActive)
	}
}

// A tick must process only the nodes with requests, and use the stored sum of limits for the other nodes. Some nodes
// drain, are removed or return during the test. A scheduler whose ticks process all nodes, the reference of the
// simulation, must make the same decisions.
func TestTicksWorkOnActiveNodes(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 8))
			m := newSimulation(t, queueSettings(), seed)
			m.serviceTime = time.Duration(1+rng.IntN(20)) * time.Millisecond
			const nodes, visited = 300, 9
			list := m.listNodes(nodes, nodes)
			s := m.scheduler
			id, version := uint64(0), uint64(1)
			for end := m.now + 3*time.Second; m.now < end; {
				m.runUntil(m.now + time.Duration(rng.Int64N(int64(4*time.Millisecond))))
				id++
				class := s.settings.Classes[rng.IntN(3)]
				m.step(Request{
					ID: id, Class: class.Name, Plan: "large", Volume: fmt.Sprint("v", rng.IntN(5)),
					Units: 2, Shard: rng.IntN(visited), Brokers: 1, Remaining: class.Deadline,
				})
				if rng.IntN(100) == 0 {
					version++
					at := rng.IntN(visited + 3)
					list[at].State = NodeState(rng.IntN(3))
					m.step(EndpointUpdate{Kind: DeltaUpdate, Version: version, Endpoints: list[at : at+1]})
				}
				if rng.IntN(300) == 0 {
					m.step(SettingsChanged{Settings: queueSettings()})
				}
				checkActiveNodes(t, s, visited)
			}
			if id < 500 || s.ticks < 50 {
				t.Fatalf("%d requests and %d ticks, want at least 500 and 50", id, s.ticks)
			}
		})
	}
}
