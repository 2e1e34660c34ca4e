package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Ticks work on the nodes that requests are at and on no others, the room of the others is known without a
// look at them, and whatever comes and goes meanwhile, nodes that drain, leave and come back among it, no
// node is left out. A tick that goes through all decides alike (TestLooksAgree).
func TestNodesAtWork(t *testing.T) {
	for seed := range uint64(6) {
		rng := rand.New(rand.NewPCG(seed, 8))
		w := newWorld(t, heldSettings(), seed)
		w.speed = time.Duration(1+rng.IntN(20)) * time.Millisecond
		const nodes, visited = 300, 9
		list := w.list(nodes, nodes)
		g := w.quick
		check := func() {
			t.Helper()
			works, idle := 0, 0.0
			for _, n := range g.nodeList {
				if n.works {
					works++
				} else if !n.idle(g) {
					t.Fatalf("seed %d: %s has %d attempts out, and no tick works on it", seed, n.Name, len(n.flight))
				} else if n.state == Ready {
					idle += n.bound
				}
			}
			if !g.resum && math.Abs(idle-g.idleBound) > 1e-6 {
				t.Fatalf("seed %d: the bounds of idle nodes are %.9f, kept is %.9f", seed, idle, g.idleBound)
			}
			if ticked := g.ticks > 1 && !g.resum; ticked && works > visited {
				t.Fatalf("seed %d: a tick works on %d of %d nodes, %d have requests", seed, works, nodes, visited)
			}
		}
		id, version := uint64(0), uint64(1)
		for end := w.now + Time(3*time.Second); w.now < end; {
			w.until(w.now + time.Duration(rng.Int64N(int64(4*time.Millisecond))))
			id++
			class := g.set.Classes[rng.IntN(3)]
			w.step(Request{ID: id, Class: class.Name, Plan: "large", Volume: fmt.Sprint("v", rng.IntN(5)), Units: 2, Shard: rng.IntN(visited), Brokers: 1, Remaining: class.Deadline})
			if rng.IntN(100) == 0 {
				version++
				at := rng.IntN(visited + 3)
				list[at].State = NodeState(rng.IntN(3))
				w.step(EndpointUpdate{Kind: DeltaUpdate, Version: version, Endpoints: list[at : at+1]})
			}
			if rng.IntN(300) == 0 {
				w.step(SettingsChanged{Settings: heldSettings()})
			}
			check()
		}
		if id < 500 || g.ticks < 50 {
			t.Fatalf("seed %d: %d requests, %d ticks", seed, id, g.ticks)
		}
	}
}
