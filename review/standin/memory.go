package main

import (
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["many-commands"] = playManyCommands
}

// watchMemory stands in for the platform: it kills a broker whose memory is over the limit. It returns the peak.
func (s *scene) watchMemory(b *brokerProcess, until <-chan struct{}) (peak int, killed bool) {
	limit := s.limits.MemoryMB << 20
	for {
		select {
		case <-until:
			return peak, false
		case <-time.After(10 * time.Millisecond):
		}
		now := b.memory()
		peak = max(peak, now)
		if now > limit {
			s.rec.line("the platform kills %s: its anonymous memory of %.1f MiB is over memory_mb = %d", b.name, float64(now)/(1<<20), s.limits.MemoryMB)
			_ = b.command.Process.Kill()
			return peak, true
		}
	}
}

// lateBy is how long after its time a request must have its final answer, with the slack of 50 ms on sockets.
const lateBy = 550 * time.Millisecond

// usualClients sends small reads at a steady rate until the channel is closed, and counts the answers.
func (s *scene) usualClients(b *brokerProcess, count int, until <-chan struct{}) (wait *sync.WaitGroup, answered, lost *atomic.Int64) {
	wait, answered, lost = &sync.WaitGroup{}, &atomic.Int64{}, &atomic.Int64{}
	for range count {
		wait.Go(func() {
			var c *session
			for {
				select {
				case <-until:
					if c != nil {
						c.close()
					}
					return
				case <-time.After(100 * time.Millisecond):
				}
				var err error
				if c == nil {
					if c, err = connect(b.listen); err != nil {
						s.rec.line("a usual client could not connect: %v", err)
						continue
					}
				}
				r := newRequest(classRead, 0)
				s.rec.line("usual client sends %s (%s, shard %d)", r.id, r.class, r.shard)
				a, took, err := c.ask(r, time.Duration(r.waitMS)*time.Millisecond+lateBy)
				if err != nil {
					lost.Add(1)
					s.rec.line("usual client: no answer to %s after %.0f ms: %v", r.id, float64(took.Milliseconds()), err)
					c.close()
					c = nil
					continue
				}
				answered.Add(1)
				s.rec.line("usual client: %s is %s after %.1f ms", r.id, a.kind, float64(took.Microseconds())/1000)
			}
		})
	}
	return wait, answered, lost
}

// playManyCommands: a few clients send hundreds of commands at once.
func playManyCommands(s *scene) (bool, error) {
	const brokers, crowd, commands, body = 3, 8, 500, 60 << 10
	s.limits = limits{1, 64, 512}
	n := newNode(0, "hall-a", s.rec)
	n.log = true
	if err := s.startWorld(brokers, []*storageNode{n}, func(*storageNode) int { return 0 }); err != nil {
		return false, err
	}
	b := s.brokers[0]
	until := make(chan struct{})
	clients, answered, lost := s.usualClients(b, 4, until)
	var peak int
	var killed bool
	clients.Go(func() { peak, killed = s.watchMemory(b, until) })
	time.Sleep(3 * time.Second)
	var bad sync.WaitGroup
	if s.trouble {
		for i := range crowd {
			bad.Go(func() {
				c, err := connect(b.listen)
				if err != nil {
					return
				}
				defer c.close()
				var requests []request
				var ids []string
				for range commands {
					r := newRequest(classWrite, 0)
					requests = append(requests, r)
					ids = append(ids, r.id)
				}
				s.rec.line("client %d sends %d commands at once, each with a value of %d bytes: %v", i, commands, body, ids)
				_ = c.conn.SetDeadline(time.Now().Add(20 * time.Second))
				go func() {
					for _, r := range requests {
						r.body = make([]byte, body)
						if _, err := c.conn.Write(r.encode()); err != nil {
							return
						}
					}
				}()
				kinds := map[string]int{}
				for _, id := range ids {
					a, err := readAnswer(c.reader)
					if err != nil {
						s.rec.line("client %d: %v", i, err)
						break
					}
					kinds[a.kind]++
					s.rec.line("client %d: %s is %s", i, id, a.kind)
				}
				s.rec.line("client %d read %v", i, kinds)
			})
		}
	}
	bad.Wait()
	time.Sleep(3 * time.Second)
	close(until)
	clients.Wait()
	s.rec.summary("%d clients sent %d commands each; peak of the broker's anonymous memory %.1f MiB, limit %d; usual requests: %d answered, %d without an answer",
		crowd, commands, float64(peak)/(1<<20), s.limits.MemoryMB, answered.Load(), lost.Load())
	if !killed && !b.running() {
		s.rec.summary("broker %s ended by itself: %v", b.name, b.err)
		return true, nil
	}
	return killed, nil
}
