package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	stricterRun   = 20 * time.Second
	stricterRate  = 60 // requests a second through each broker
	stricterClass = "bulk-export"
	resetShare    = 20 // one request in so many is reset after it has run
	// inUseAfter is when the new settings count: the page says 1.2 s after SIGHUP.
	inUseAfter = 2 * time.Second
)

// stricter: new settings make a class unsafe, and a key that may be absent is absent in them. Some connections to nodes
// are reset under requests that have begun. Does a request of the class run twice? Without trouble the key is there.
func stricter(root, dir string, trouble bool) (verdict, error) {
	w, err := newWorld(root, dir, trouble, 3, 8, nil)
	if err != nil {
		return verdict{}, err
	}
	defer w.end()
	for _, b := range w.brokers {
		for _, c := range b.config["settings"].(object)["classes"].([]object) {
			c["aimStretch"] = 0.5
		}
	}
	var inUse atomic.Int64 // Unix time in microseconds from which on the class is unsafe, 0 for never
	var sentUnsafe sync.Map
	var mu sync.Mutex
	runs := map[string]int{}
	var resets atomic.Int64
	for _, n := range w.nodes {
		n.serve = func(c *nodeConn, r request) {
			n.work(r)
			if _, isUnsafe := sentUnsafe.Load(r.id); isUnsafe {
				mu.Lock()
				runs[r.id]++
				if runs[r.id] > 1 {
					w.log.printf("TWICE: node %s ran %s, run %d", n.name, r.id, runs[r.id])
				}
				mu.Unlock()
			}
			if rand.IntN(resetShare) == 0 {
				resets.Add(1)
				w.log.printf("node %s: ran %s %s, and its connection is reset", n.name, r.class, r.id)
				_ = c.Conn.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
				return
			}
			c.send(n.answer(r))
		}
	}
	if err := w.startBrokers(); err != nil {
		return verdict{}, err
	}
	var answered, unsafeSent atomic.Int64
	var clients sync.WaitGroup
	stop := time.Now().Add(stricterRun)
	for _, b := range w.brokers {
		pool := &clientPool{address: b.listen}
		clients.Go(func() {
			var calls sync.WaitGroup
			for time.Now().Before(stop) {
				time.Sleep(time.Second / stricterRate)
				calls.Go(func() {
					q := randomCall(len(w.nodes))
					at := inUse.Load()
					if q.class == stricterClass && at > 0 && time.Now().UnixMicro() > at {
						unsafeSent.Add(1)
						sentUnsafe.Store(q.id, true)
					}
					a, err := pool.ask(q)
					w.log.printf("client: %s %s -> %s %.40q %v", q.class, q.id, a.kind, a.text, err)
					if err == nil {
						answered.Add(1)
					}
				})
			}
			calls.Wait()
		})
	}
	time.Sleep(2 * time.Second) // SIGHUP never comes in the first second
	for _, b := range w.brokers {
		for _, c := range b.config["settings"].(object)["classes"].([]object) {
			if trouble {
				delete(c, "aimStretch")
			}
			if c["name"] == stricterClass {
				c["effect"] = "unsafe"
			}
		}
		if err := b.writeConfig(); err != nil {
			return verdict{}, err
		}
		b.signal(syscall.SIGHUP)
	}
	inUse.Store(time.Now().Add(inUseAfter).UnixMicro())
	w.log.printf("platform: class %s is unsafe in the new file, aimStretch absent %v, SIGHUP to all brokers", stricterClass,
		trouble)
	clients.Wait()
	twice := 0
	for _, count := range runs {
		if count > 1 {
			twice++
		}
	}
	text := fmt.Sprintf("%d of %d requests of class %s, unsafe by then, ran more than once; resets %d, answers %d", twice,
		unsafeSent.Load(), stricterClass, resets.Load(), answered.Load())
	w.log.printf("%s", text)
	if answered.Load() == 0 {
		return verdict{}, errors.New(text)
	}
	return verdict{twice, text}, nil
}
