package main

import (
	"bufio"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["pipelines"] = playPipelines }

// playPipelines: some nodes hang, and clients that send many commands at once wait for them. The requests of other
// clients to the other nodes must get their final answers in time.
func playPipelines(s *scene) (bool, error) {
	const (
		brokers  = 3
		shards   = 14
		hung     = 4 // the last shards
		many     = 8 // clients that send many commands at once
		rows     = 6 // of requests for one piece of data
		inRow    = 10
		usual    = 8 // other clients
		valueLen = 60 << 10
		length   = 20 * time.Second
	)
	s.limits = limits{1, 48, 512}
	var nodes []*storageNode
	for shard := range shards {
		n := newNode(shard, "hall-a", s.rec)
		n.log = true
		n.work = func(class string) time.Duration {
			if class == classExport {
				return time.Duration(40+rand.IntN(24)) * time.Millisecond
			}
			return time.Duration(15+rand.IntN(9)) * time.Millisecond
		}
		n.size = func(class string) int {
			if class == classExport {
				return valueLen
			}
			return 200
		}
		nodes = append(nodes, n)
	}
	if err := s.startWorld(brokers, nodes, func(*storageNode) int { return 0 }); err != nil {
		return false, err
	}
	b := s.brokers[0]
	until := make(chan struct{})
	clients, answered, lost := s.usualClients(b, usual, until)
	var peak int
	var killed bool
	clients.Go(func() { peak, killed = s.watchMemory(b, until) })
	time.Sleep(4 * time.Second)
	if s.trouble {
		for _, n := range nodes[shards-hung:] {
			n.hung.Store(true)
			s.rec.line("node %s of shard %d hangs from here on", n.name, n.shard)
		}
	}
	var pipelines sync.WaitGroup
	var served, refused, failed atomic.Int64
	end := time.Now().Add(length)
	for i := range many {
		pipelines.Go(func() {
			conn, err := net.Dial("tcp", b.listen)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			for time.Now().Before(end) {
				head := newRequest(classExport, shards-1-i%hung)
				ids := []string{head.id}
				all := head.encode()
				for row := range rows {
					first := newRequest(classExport, (i+row)%(shards-hung))
					for range inRow {
						r := first
						r.id = newHex()
						ids = append(ids, r.id)
						all = append(all, r.encode()...)
					}
				}
				_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
				s.rec.line("client %d sends %d commands at once, the first to shard %d: %v", i, len(ids), head.shard, ids)
				if _, err := conn.Write(all); err != nil {
					return
				}
				count := map[string]int64{}
				for _, id := range ids {
					a, err := readAnswer(reader)
					if err != nil {
						s.rec.line("client %d: %v", i, err)
						return
					}
					count[a.kind]++
					s.rec.line("client %d: %s is %s", i, id, a.kind)
				}
				served.Add(count["served"])
				refused.Add(count["refused"])
				failed.Add(count["failed"])
				s.rec.line("client %d read %v", i, count)
			}
		})
	}
	pipelines.Wait()
	close(until)
	clients.Wait()
	s.rec.summary("clients with many commands: %d served, %d refused, %d failed; broker's peak anonymous memory %.1f MiB, killed %v",
		served.Load(), refused.Load(), failed.Load(), float64(peak)/(1<<20), killed)
	s.rec.summary("usual requests to nodes that did not hang: %d answered in time, %d without an answer half a second after their time",
		answered.Load(), lost.Load())
	return lost.Load() > 0, nil
}
