package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// drainGrace is the grace of the settings, and the 50 ms by which every limit on sockets is longer.
const drainGrace = 2050 * time.Millisecond

// drainWatch counts the requests that reach a node after the grace.
type drainWatch struct {
	mu      sync.Mutex
	told    time.Time
	late    int
	lastLag time.Duration
	before  int
}

// watchDrain makes a node count what it gets. From the time `told` on, the grace runs.
func watchDrain(w *world, n *node) *drainWatch {
	d := &drainWatch{}
	n.serve = func(c *nodeConn, r request) {
		d.mu.Lock()
		lag := r.received.Sub(d.told)
		switch {
		case d.told.IsZero() || lag <= drainGrace:
			d.before++
		default:
			d.late++
			d.lastLag = lag
			w.log.printf("LATE: node %s got %s %d ms after the drain counted as told", n.name, r.id, lag.Milliseconds())
		}
		d.mu.Unlock()
		n.work(r)
		c.send(n.answer(r))
	}
	return d
}

func (d *drainWatch) setTold(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.told = at
}

// load sends the deployment's mix through each broker until stop.
func load(w *world, rate float64, stop time.Time) (wait func() string) {
	var kinds sync.Map
	count := func(kind string) {
		n, _ := kinds.LoadOrStore(kind, new(atomic.Int64))
		n.(*atomic.Int64).Add(1)
	}
	var clients sync.WaitGroup
	for _, b := range w.brokers {
		pool := &clientPool{address: b.listen}
		clients.Go(func() {
			var calls sync.WaitGroup
			for time.Now().Before(stop) {
				time.Sleep(time.Duration(float64(time.Second) / rate))
				calls.Go(func() {
					q := randomCall(len(w.nodes))
					a, err := pool.ask(q)
					w.log.printf("client: %s shard %d %s -> %s %.40q %v", q.class, q.shard, q.id, a.kind, a.text, err)
					if err != nil {
						count("no answer")
					} else {
						count(string(a.kind))
					}
				})
			}
			calls.Wait()
		})
	}
	return func() string {
		clients.Wait()
		text := ""
		kinds.Range(func(kind, n any) bool {
			text += fmt.Sprintf(" %v %d", kind, n.(*atomic.Int64).Load())
			return true
		})
		return text
	}
}
