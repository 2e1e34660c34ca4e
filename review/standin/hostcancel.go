package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["host-cancels"] = playHostCancels }

// webNode stands in for a storage node behind a host program: it executes a request and names it in the value.
type webNode struct {
	rec   *recorder
	slots chan struct{}
	dial  string

	mu  sync.Mutex
	ran map[string]bool
}

func (n *webNode) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	n.dial = listener.Addr().String()
	go func() { _ = http.Serve(listener, n) }()
	return nil
}

// ServeHTTP implements http.Handler. Waiting work ends with its connection, as the brief allows.
func (n *webNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case n.slots <- struct{}{}:
	case <-r.Context().Done():
		n.rec.line("node: %s was called off before it ran", id)
		return
	}
	time.Sleep(time.Duration(22+rand.IntN(14)) * time.Millisecond)
	<-n.slots
	n.mu.Lock()
	n.ran[id] = true
	n.mu.Unlock()
	n.rec.line("node ran %s", id)
	_, _ = w.Write(valueFor(id, r.URL.Path, 0))
}

// playHostCancels: a host program of the library cancels some requests on the way. Each request must get one final
// answer: served with the value that a node made for it, refused (503) or failed (another error).
func playHostCancels(s *scene) (bool, error) {
	const shards, clients, length = 4, 12, 15 * time.Second
	var nodes []*webNode
	var dials []string
	for range shards {
		n := &webNode{rec: s.rec, slots: make(chan struct{}, 2), ran: map[string]bool{}}
		if err := n.start(); err != nil {
			return false, err
		}
		nodes = append(nodes, n)
		dials = append(dials, n.dial)
	}
	listen, err := freePort("tcp")
	if err != nil {
		return false, err
	}
	host := exec.Command(filepath.Join(s.root, "review", "bin", "host"), "-listen", listen, "-nodes", strings.Join(dials, ","),
		fmt.Sprintf("-cancel=%v", s.trouble))
	host.Stderr = os.Stderr
	host.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := host.Start(); err != nil {
		return false, err
	}
	defer func() {
		_ = host.Process.Kill()
		_ = host.Wait()
	}()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if conn, err := net.Dial("tcp", listen); err == nil {
			_ = conn.Close()
			break
		}
		if time.Now().After(end) {
			return false, fmt.Errorf("the host program does not listen at %s", listen)
		}
	}
	s.rec.line("host program at %s, cancels: %v", listen, s.trouble)
	var wait sync.WaitGroup
	var served, empty, neverRan, refused, failed atomic.Int64
	end := time.Now().Add(length)
	for range clients {
		wait.Go(func() {
			client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}}
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(100*time.Millisecond)))
				shard := rand.IntN(shards)
				id := newHex()
				path := fmt.Sprintf("/%d/%s", shard, newHex())
				method, body := http.MethodGet, ""
				if rand.IntN(3) == 0 {
					method, body = http.MethodPost, "a grade"
				}
				request, _ := http.NewRequest(method, "http://"+listen+path, strings.NewReader(body))
				request.Header.Set("Request-Id", id)
				s.rec.line("client sends %s as %s %s", id, method, path)
				response, err := client.Do(request)
				if err != nil {
					failed.Add(1)
					s.rec.line("client: no answer to %s: %v", id, err)
					continue
				}
				value, _ := io.ReadAll(response.Body)
				_ = response.Body.Close()
				switch {
				case response.StatusCode == http.StatusOK && string(value) == string(valueFor(id, path, 0)):
					served.Add(1)
				case response.StatusCode == http.StatusOK:
					empty.Add(1)
					time.Sleep(200 * time.Millisecond) // what a node has begun is done by now
					n := nodes[shard]
					n.mu.Lock()
					ran := n.ran[id]
					n.mu.Unlock()
					if !ran {
						neverRan.Add(1)
					}
					s.rec.line("WRONG: %s %s got status 200 with %q, which no node made for it; it has run: %v", method, id, value, ran)
					continue
				case response.StatusCode == http.StatusServiceUnavailable:
					refused.Add(1)
				default:
					failed.Add(1)
				}
				s.rec.line("client got status %d for %s", response.StatusCode, id)
			}
		})
	}
	wait.Wait()
	s.rec.summary("%d served, %d refused, %d failed; %d answered 200 with what no node made for them, of which %d never ran",
		served.Load(), refused.Load(), failed.Load(), empty.Load(), neverRan.Load())
	if served.Load() < 100 {
		return false, fmt.Errorf("only %d requests were served", served.Load())
	}
	return empty.Load() > 0, nil
}
