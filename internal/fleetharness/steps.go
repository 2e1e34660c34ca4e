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

// This file controls a fleet step by step. Each step waits until it is complete, so that the results of tests do not
// depend on the speed of the machine.

// SendRequests sends the given number of requests to each broker one after another, to all brokers concurrently, and
// counts the outcomes. Without brokers, it uses all brokers that serve clients.
func (f *Fleet) SendRequests(requests int, write bool, brokers ...int) map[Outcome]int {
	if len(brokers) == 0 {
		brokers = f.servingBrokers()
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[Outcome]int{}
	for _, b := range brokers {
		client := f.stepClient(b)
		wait.Go(func() {
			for range requests {
				s := client.newRequest(write)
				client.send(s, client.drawTarget())
				mu.Lock()
				outcomes[f.recorder.outcomeOf(s)]++
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return outcomes
}

// servingBrokers returns the numbers of the brokers that serve clients.
func (f *Fleet) servingBrokers() []int {
	var brokers []int
	for i := range f.scenario.Brokers {
		if !f.isDedicatedVoter(i) {
			brokers = append(brokers, i)
		}
	}
	return brokers
}

// stepClient returns the client that SendRequests uses for a broker.
func (f *Fleet) stepClient(number int) *trafficClient {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stepClients[number] == nil {
		f.stepClients[number] = &trafficClient{
			fleet:  f,
			broker: f.brokers[number],
			random: rand.New(rand.NewPCG(f.scenario.Seed, stepStream+uint64(number))),
		}
	}
	return f.stepClients[number]
}

// TakeAttemptCounts returns the number of attempts that arrived at each node since the last call.
func (f *Fleet) TakeAttemptCounts() []int {
	f.recorder.mu.Lock()
	defer f.recorder.mu.Unlock()
	counts := make([]int, len(f.nodes))
	indexes := f.nodeIndexes()
	for _, s := range f.recorder.sequence {
		for i := range s.attempts {
			a := &s.attempts[i]
			if a.counted {
				continue
			}
			a.counted = true
			if index, known := indexes[a.node]; known {
				counts[index]++
			}
		}
	}
	return counts
}

// FirstNodes returns, by broker, the node that received the first attempt. Brokers without an attempt are missing.
func (f *Fleet) FirstNodes() map[int]int {
	f.recorder.mu.Lock()
	defer f.recorder.mu.Unlock()
	first := map[int]int{}
	for _, s := range f.recorder.sequence {
		if _, known := first[s.broker]; !known && len(s.attempts) > 0 {
			first[s.broker] = s.attempts[0].node
		}
	}
	return first
}

// InjectFault applies one event now and returns when the event is over. A node event without a duration lasts until
// HealNodes.
func (f *Fleet) InjectFault(ctx context.Context, event Event) error {
	event.AtS = 0
	return f.applyEvent(ctx, event)
}

// HealNodes clears all faults of nodes.
func (f *Fleet) HealNodes(numbers ...int) {
	for _, i := range numbers {
		f.nodes[i].heal()
	}
}

// Signal sends a signal to a broker's process.
func (f *Fleet) Signal(broker int, signal syscall.Signal) error {
	process, _ := f.brokers[broker].process()
	return process.Signal(signal)
}

// RestartBrokers kills all given brokers, then restarts them with the current endpoint list and waits until they
// answer.
func (f *Fleet) RestartBrokers(ctx context.Context, brokers ...int) error {
	known := f.discovery.currentList()
	for _, i := range brokers {
		f.terminate(f.brokers[i], syscall.SIGKILL)
	}
	for _, i := range brokers {
		if err := f.startBroker(f.brokers[i], known); err != nil {
			return err
		}
	}
	for _, i := range brokers {
		if err := f.awaitReady(ctx, f.brokers[i]); err != nil {
			return err
		}
		f.brokers[i].setDown(false)
	}
	return nil
}

// KillHollowProcess kills a process of hollow brokers.
func (f *Fleet) KillHollowProcess(index int) {
	p := f.hollowProcesses[index]
	for _, b := range p.brokers {
		b.setDown(true)
	}
	_ = p.command.Process.Kill() // fails if the process has exited
	<-p.done
	for _, b := range p.brokers {
		f.recorder.addMessage(brokerName(b.number), logKilled)
	}
}

// AwaitLog waits until a process has logged a message at or after a time, and returns the line.
func (f *Fleet) AwaitLog(ctx context.Context, process, message string, from time.Duration) (LogLine, error) {
	for {
		line, found, next := f.recorder.findLine(func(l LogLine) bool {
			return l.Process == process && l.At >= from && l.hasMessage(message)
		})
		if found {
			return line, nil
		}
		select {
		case <-next:
		case <-ctx.Done():
			return LogLine{}, fmt.Errorf("%s did not log %q: %w", process, message, ctx.Err())
		}
	}
}

// findLine returns the first line that fits. If there is none, next is a channel that is closed when the next line is
// added.
func (r *recorder) findLine(fits func(LogLine) bool) (line LogLine, found bool, next <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := slices.IndexFunc(r.logs, fits); i >= 0 {
		return r.logs[i], true, nil
	}
	return LogLine{}, false, r.nextLine()
}

// LogLines returns the log lines of all processes so far that have the given message.
func (f *Fleet) LogLines(message string) []LogLine { return f.recorder.linesWith(message) }

// Elapsed returns the current time on the axis of LogLine.At.
func (f *Fleet) Elapsed() time.Duration { return Now() - f.recorder.start() }

// Violations completes the checks and returns all violations.
func (f *Fleet) Violations() []Violation {
	f.recorder.checkAtEnd()
	return f.recorder.violationsSoFar()
}
