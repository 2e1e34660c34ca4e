package fleetharness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

// What follows drives a rig step by step, each of which waits for its own end: for tests whose verdict must not hang on times.

// Do has each of some brokers asked so many requests one behind another, all brokers at once, and counts the verdicts. No
// broker means all.
func (r *Rig) Do(requests int, write bool, brokers ...int) map[string]int {
	if len(brokers) == 0 {
		for i := range r.brokers[:r.scenario.Brokers] {
			if !r.controls(i) {
				brokers = append(brokers, i)
			}
		}
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	verdicts := map[string]int{}
	for _, b := range brokers {
		c := r.clientOf(b)
		wait.Go(func() {
			for range requests {
				s := c.story(write)
				c.ask(s, c.random.IntN(r.scenario.Shards), c.random.IntN(200), c.random.Uint64())
				r.journal.mu.Lock()
				v := s.verdict
				r.journal.mu.Unlock()
				mu.Lock()
				verdicts[v]++
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return verdicts
}

func (r *Rig) clientOf(broker int) *client {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clients[broker] == nil {
		r.clients[broker] = &client{rig: r, broker: r.brokers[broker], random: rand.New(rand.NewPCG(r.scenario.Seed, 9000+uint64(broker)))}
	}
	return r.clients[broker]
}

// Counts is how many requests each node was sent, by number, since the last call.
func (r *Rig) Counts() []int {
	r.journal.mu.Lock()
	defer r.journal.mu.Unlock()
	counts := make([]int, len(r.nodes))
	for _, s := range r.journal.order {
		for i := range s.attempts {
			if a := &s.attempts[i]; !a.counted {
				a.counted = true
				if at := slices.IndexFunc(r.nodes, func(n *node) bool { return n.number == a.node }); at >= 0 {
					counts[at]++
				}
			}
		}
	}
	return counts
}

// First are the nodes to which each broker's first request went.
func (r *Rig) First() map[int]int {
	r.journal.mu.Lock()
	defer r.journal.mu.Unlock()
	first := map[int]int{}
	for _, s := range r.journal.order {
		if _, known := first[s.broker]; !known && len(s.attempts) > 0 {
			first[s.broker] = s.attempts[0].node
		}
	}
	return first
}

// Strike has one event happen to its end. Events of nodes without ForS stay until Heal.
func (r *Rig) Strike(ctx context.Context, e Event) error {
	e.AtS = 0
	return r.happen(ctx, e)
}

// Heal ends what is wrong with nodes.
func (r *Rig) Heal(nodes ...int) {
	for _, i := range nodes {
		n := r.nodes[i]
		n.mu.Lock()
		n.faults, n.speed, n.lie = map[int]fault{}, 1, false
		n.reset() // what stood on a silent link is reset once it is back
		n.heal.Broadcast()
		n.mu.Unlock()
	}
}

// Signal sends one to a broker's process.
func (r *Rig) Signal(broker int, s syscall.Signal) error {
	p := r.brokers[broker]
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command.Process.Signal(s)
}

// Kill ends brokers at once, all before any is started again from the list as it is now, and waits until they answer.
func (r *Rig) Kill(ctx context.Context, brokers ...int) error {
	known := r.registry.known()
	for _, b := range brokers {
		r.end(r.brokers[b], syscall.SIGKILL)
	}
	for _, b := range brokers {
		if err := r.launch(r.brokers[b], known); err != nil {
			return err
		}
	}
	for _, b := range brokers {
		if err := r.ready(ctx, r.brokers[b]); err != nil {
			return err
		}
		r.brokers[b].setDown(false)
	}
	return nil
}

// Said waits until a process has logged a message, from a time on, and returns its line.
func (r *Rig) Said(ctx context.Context, process, msg string, from time.Duration) (Line, error) {
	for {
		r.journal.mu.Lock()
		for _, l := range r.journal.lines {
			if l.Process == process && l.Text == msg && l.At >= from {
				r.journal.mu.Unlock()
				return l, nil
			}
		}
		heard := r.journal.heard()
		r.journal.mu.Unlock()
		select {
		case <-heard:
		case <-ctx.Done():
			return Line{}, fmt.Errorf("%s never said %q", process, msg)
		}
	}
}

// Lines are what processes have logged so far with a message.
func (r *Rig) Lines(msg string) []Line { return r.journal.said(msg) }

// Elapsed is the time on the axis of Line.At.
func (r *Rig) Elapsed() time.Duration { return Now() - r.journal.began }

// Breaches ends the checking and returns what was broken.
func (r *Rig) Breaches() []Breach {
	r.journal.finish()
	return r.journal.breaches
}
