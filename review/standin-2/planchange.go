package main

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	planChangeRun  = 12 * time.Second
	planChangeRate = 30 // requests a second of the volume, through each of its three brokers
)

// planChange: a volume changes to a plan that has a limit.
func planChange(root, dir string, trouble bool) (verdict, error) {
	w, err := newWorld(root, dir, trouble, 3, 8, nil)
	if err != nil {
		return verdict{}, err
	}
	defer w.end()
	for i, b := range w.brokers {
		b.config["settings"] = bajioKilns(len(w.brokers), i, len(w.nodes))
	}
	var mu sync.Mutex
	store, at, lowest, units := limitDepth, time.Now(), limitDepth, 0.0
	counting := false
	seen := map[string]bool{}
	for _, n := range w.nodes {
		n.serve = func(c *nodeConn, r request) {
			mu.Lock()
			if counting && !seen[r.id] {
				seen[r.id] = true
				store = min(limitDepth, store+limitRate*r.received.Sub(at).Seconds())
				at = r.received
				store -= r.units
				units += r.units
				lowest = min(lowest, store)
				w.log.printf("store of the volume: %.1f after %s", store, r.id)
			}
			mu.Unlock()
			n.work(r)
			c.send(n.answer(r))
		}
	}
	if err := w.startBrokers(); err != nil {
		return verdict{}, err
	}
	volume, _ := volumeOf(0) // only its name
	ask := func(pool *clientPool, plan string, shard int) answer {
		q := call{id: newID(), class: "slot-read", plan: plan, volume: volume, shard: shard, units: 3, hosts: 3,
			wait: 2 * time.Second}
		a, err := pool.ask(q)
		w.log.printf("client: plan %s %s -> %s %.40q %v", plan, q.id, a.kind, a.text, err)
		return a
	}
	first := "basico"
	if trouble {
		first = "socio"
	}
	var clients sync.WaitGroup
	var got atomic.Int64
	for _, b := range w.brokers {
		pool := &clientPool{address: b.listen}
		clients.Go(func() {
			for i := range 10 {
				ask(pool, first, i%len(w.nodes))
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	time.Sleep(2 * time.Second) // the store is full again
	mu.Lock()
	counting, at = true, time.Now()
	mu.Unlock()
	w.log.printf("platform: the volume's plan is basico from now on")
	for _, b := range w.brokers {
		pool := &clientPool{address: b.listen}
		clients.Go(func() {
			var calls sync.WaitGroup
			i := 0
			for stop := time.Now().Add(planChangeRun); time.Now().Before(stop); i++ {
				time.Sleep(time.Second / planChangeRate)
				calls.Go(func() {
					if ask(pool, "basico", i%len(w.nodes)).kind == served {
						got.Add(1)
					}
				})
			}
			calls.Wait()
		})
	}
	clients.Wait()
	broken := 0
	if lowest < -limitSlack-1e-6 { // the sums are rounded
		broken = 1
	}
	text := fmt.Sprintf("the volume's store fell to %.1f units, allowed %.1f; %.0f units in %v, served %d", lowest, -limitSlack,
		units, planChangeRun, got.Load())
	w.log.printf("%s", text)
	if got.Load() == 0 {
		return verdict{}, errors.New(text)
	}
	return verdict{broken, text}, nil
}
