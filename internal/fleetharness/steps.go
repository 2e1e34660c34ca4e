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

// SendRequests has each of some brokers asked so many requests one behind another, all brokers at once, and counts the verdicts. No
// broker means all.
func (r *Fleet) SendRequests(requests int, write bool, brokers ...int) map[string]int {
	if len(brokers) == 0 {
		for i := range r.brokers[:r.scenario.Brokers] {
			if !r.isDedicatedVoter(i) {
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
				s := c.newRequest(write)
				c.send(s, c.random.IntN(r.scenario.Shards), c.random.IntN(200), c.random.Uint64())
				r.recorder.mu.Lock()
				v := s.outcome
				r.recorder.mu.Unlock()
				mu.Lock()
				verdicts[v]++
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return verdicts
}

func (r *Fleet) clientOf(broker int) *trafficClient {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stepClients[broker] == nil {
		r.stepClients[broker] = &trafficClient{rig: r, broker: r.brokers[broker], random: rand.New(rand.NewPCG(r.scenario.Seed, 9000+uint64(broker)))}
	}
	return r.stepClients[broker]
}

// TakeAttemptCounts is how many requests each node was sent, by number, since the last call.
func (r *Fleet) TakeAttemptCounts() []int {
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	counts := make([]int, len(r.nodes))
	for _, s := range r.recorder.sequence {
		for i := range s.attempts {
			if a := &s.attempts[i]; !a.counted {
				a.counted = true
				if at := slices.IndexFunc(r.nodes, func(n *fakeNode) bool { return n.number == a.node }); at >= 0 {
					counts[at]++
				}
			}
		}
	}
	return counts
}

// FirstNodes are the nodes to which each broker's first request went.
func (r *Fleet) FirstNodes() map[int]int {
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	first := map[int]int{}
	for _, s := range r.recorder.sequence {
		if _, known := first[s.broker]; !known && len(s.attempts) > 0 {
			first[s.broker] = s.attempts[0].node
		}
	}
	return first
}

// InjectFault has one event happen to its end. Events of nodes without ForS stay until Heal.
func (r *Fleet) InjectFault(ctx context.Context, e Event) error {
	e.AtS = 0
	return r.applyEvent(ctx, e)
}

// HealNodes ends what is wrong with nodes.
func (r *Fleet) HealNodes(nodes ...int) {
	for _, i := range nodes {
		n := r.nodes[i]
		n.mu.Lock()
		n.faults, n.speed, n.reportsIdle = map[int]linkFault{}, 1, false
		n.reset() // what stood on a silent link is reset once it is back
		n.changed.Broadcast()
		n.mu.Unlock()
	}
}

// Signal sends one to a broker's process.
func (r *Fleet) Signal(broker int, s syscall.Signal) error {
	p := r.brokers[broker]
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command.Process.Signal(s)
}

// RestartBrokers ends brokers at once, all before any is started again from the list as it is now, and waits until they answer.
func (r *Fleet) RestartBrokers(ctx context.Context, brokers ...int) error {
	known := r.discovery.currentList()
	for _, b := range brokers {
		r.terminate(r.brokers[b], syscall.SIGKILL)
	}
	for _, b := range brokers {
		if err := r.startBroker(r.brokers[b], known); err != nil {
			return err
		}
	}
	for _, b := range brokers {
		if err := r.awaitReady(ctx, r.brokers[b]); err != nil {
			return err
		}
		r.brokers[b].setDown(false)
	}
	return nil
}

// AwaitLog waits until a process has logged a message, from a time on, and returns its line.
func (r *Fleet) AwaitLog(ctx context.Context, process, msg string, from time.Duration) (LogLine, error) {
	for {
		r.recorder.mu.Lock()
		for _, l := range r.recorder.logs {
			if l.Process == process && l.hasMessage(msg) && l.At >= from {
				r.recorder.mu.Unlock()
				return l, nil
			}
		}
		heard := r.recorder.nextLine()
		r.recorder.mu.Unlock()
		select {
		case <-heard:
		case <-ctx.Done():
			return LogLine{}, fmt.Errorf("%s never said %q", process, msg)
		}
	}
}

// LogLines are what processes have logged so far with a message.
func (r *Fleet) LogLines(msg string) []LogLine { return r.recorder.linesWith(msg) }

// Elapsed is the time on the axis of Line.At.
func (r *Fleet) Elapsed() time.Duration { return Now() - r.recorder.startedAt }

// Violations ends the checking and returns what was broken.
func (r *Fleet) Violations() []Violation {
	r.recorder.checkAtEnd()
	return r.recorder.violations
}
