package main

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["slow-readers"] = playSlowReaders }

// playSlowReaders: clients take some seconds to read values of up to 64 KiB. Other clients' requests must get their
// final answers in time.
func playSlowReaders(s *scene) (bool, error) {
	s.limits = limits{1, env("MB", 32), env("SOCKETS", 1024)}
	depth := env("DEPTH", 1)
	crowd, pieces := env("CROWD", 200), env("PIECES", 40)
	var nodes []*storageNode
	for shard := range 8 {
		n := newNode(shard, "hall-a", s.rec)
		n.size = func(class string) int {
			if class == classExport {
				return 60 << 10
			}
			return 200
		}
		nodes = append(nodes, n)
	}
	if err := s.startWorld(1, nodes, func(*storageNode) int { return 0 }); err != nil {
		return false, err
	}
	b := s.brokers[0]
	until := make(chan struct{})
	clients, answered, lost := s.usualClients(b, 8, until)
	var peak int
	clients.Go(func() { peak, _ = s.watchMemory(b, until) })
	time.Sleep(3 * time.Second)
	var slow sync.WaitGroup
	var whole atomic.Int64
	end := time.Now().Add(20 * time.Second)
	for range crowd {
		slow.Go(func() {
			time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
			dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
				return raw.Control(func(fd uintptr) {
					_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
				})
			}}
			conn, err := dialer.DialContext(context.Background(), "tcp", b.listen)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			for time.Now().Before(end) {
				_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
				var all []byte
				for range depth {
					all = append(all, newRequest(classExport, rand.IntN(8)).encode()...)
				}
				if _, err := conn.Write(all); err != nil {
					return
				}
				if !s.trouble {
					pieces = 1
				}
				size := (60<<10)/pieces + 1
				buffer := make([]byte, size)
				got := 0
				for got < depth*60<<10 {
					count, err := conn.Read(buffer)
					if err != nil {
						return
					}
					if buffer[0] == '-' && got == 0 {
						break
					}
					got += count
					if s.trouble {
						time.Sleep(time.Duration(3000/pieces) * time.Millisecond * time.Duration(count) / time.Duration(size))
					}
				}
				if got >= 60<<10 {
					whole.Add(1)
				}
			}
		})
	}
	slow.Wait()
	close(until)
	clients.Wait()
	s.rec.summary("slow readers read %d values; peak memory %.1f MiB; usual requests: %d answered, %d without an answer half a second after their time",
		whole.Load(), float64(peak)/(1<<20), answered.Load(), lost.Load())
	return lost.Load() > 0, nil
}
