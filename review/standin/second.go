package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

func microseconds(n int) time.Duration { return time.Duration(n) * time.Microsecond }

func init() { cases["second-answers"] = playSecondAnswers }

// playSecondAnswers: nodes send some answers a second time, some milliseconds later, when nothing else waits on the
// connection. A client must be served with the value that was made for its request.
func playSecondAnswers(s *scene) (bool, error) {
	const shards, brokers, length = 8, 3, 50 * time.Second
	var nodes []*storageNode
	for shard := range shards {
		zone := []string{"hall-a", "hall-b"}[shard%2]
		n := newNode(shard, zone, s.rec)
		n.log = true
		if s.trouble {
			n.second = func() (bool, time.Duration) {
				return rand.IntN(10) == 0, microseconds(2000 + rand.IntN(7000))
			}
		}
		nodes = append(nodes, n)
	}
	err := s.startWorld(brokers, nodes, func(n *storageNode) int {
		if n.zone == "hall-b" {
			return 1000
		}
		return 100
	})
	if err != nil {
		return false, err
	}
	var wait sync.WaitGroup
	var served, foreign, other atomic.Int64
	end := time.Now().Add(length)
	for _, b := range s.brokers {
		for range 16 { // connections of clients, each with one request at a time
			wait.Go(func() {
				c, err := connect(b.listen)
				if err != nil {
					return
				}
				defer func() { c.close() }()
				for time.Now().Before(end) {
					time.Sleep(time.Duration(rand.ExpFloat64() * float64(130*time.Millisecond)))
					class := []string{classRead, classRead, classWrite}[rand.IntN(3)]
					r := newRequest(class, rand.IntN(shards))
					s.rec.line("client sends %s (%s, shard %d) to %s", r.id, r.class, r.shard, b.name)
					a, took, err := c.ask(r, 5*time.Second)
					if err != nil {
						c.close()
						if c, err = connect(b.listen); err != nil {
							return
						}
					}
					want := string(valueFor(r.id, r.key, 200))
					if a.kind == "served" {
						served.Add(1)
						if string(a.value) != want {
							foreign.Add(1)
							s.rec.line("FOREIGN: request %s was served with %.70q", r.id, a.value)
							continue
						}
					} else {
						other.Add(1)
					}
					s.rec.line("client got %s for %s after %.1f ms %s", a.kind, r.id, float64(took.Microseconds())/1000, a.text)
				}
			})
		}
	}
	wait.Wait()
	for _, b := range s.brokers {
		if !b.running() {
			return false, fmt.Errorf("broker %s ended: %v", b.name, b.err)
		}
	}
	s.rec.summary("%d served, %d of them with a value made for another request, %d refused or failed", served.Load(), foreign.Load(), other.Load())
	if served.Load() < 1000 {
		return false, fmt.Errorf("only %d requests were served", served.Load())
	}
	return foreign.Load() > 0, nil
}
