package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func newReplicas(count int) []*Replica {
	var replicas []*Replica
	for i := range count {
		replicas = append(replicas, &Replica{Name: fmt.Sprint("node-", i)})
	}
	return replicas
}

// take sends a request to the first candidate.
func (b *Balancer) take(now Time, proven bool) *Replica {
	for r := range b.Candidates(now, proven) {
		b.RecordSent(now, r)
		return r
	}
	return nil
}

// One broker's turns: over any stretch each replica gets its weight's share, within one request of its own
// and one of the others.
func TestTurnsFollowWeights(t *testing.T) {
	b := New(Options{Name: "b"})
	replicas := newReplicas(5)
	replicas[4].Weight = 2
	b.SetReplicas(0, replicas)
	taken := map[*Replica]int{}
	for i := range 600 {
		taken[b.take(Time(i)*time.Millisecond, false)]++
		for _, r := range replicas {
			if want := float64(i+1) * r.size() / 6; math.Abs(float64(taken[r])-want) > 2 {
				t.Fatalf("after %d requests %s got %d, not about %.1f", i+1, r.Name, taken[r], want)
			}
		}
	}
}

// Many brokers start at one moment, or their lists change at one. Were they in step, all would send their
// first request to the same replica.
func TestBrokersAreNotInStep(t *testing.T) {
	counts := map[string]int{}
	for i := range 120 {
		b := New(Options{Name: fmt.Sprint("broker-", i), Ordinal: i, Brokers: 120})
		b.SetReplicas(0, newReplicas(12))
		counts[b.take(0, false).Name]++
	}
	for name, count := range counts {
		if count > 25 {
			t.Errorf("%s got the first request of %d of 120 brokers", name, count)
		}
	}
	if len(counts) < 12 {
		t.Errorf("only %d replicas got a first request", len(counts))
	}
}

// The lower priority goes first, whatever its load.
func TestPriorities(t *testing.T) {
	b := New(Options{Name: "b"})
	replicas := newReplicas(3)
	replicas[0].Priority = 1
	replicas[1].InFlight = 9
	b.SetReplicas(0, replicas)
	var order []string
	for r := range b.Candidates(0, false) {
		order = append(order, r.Name)
	}
	if fmt.Sprint(order) != "[node-2 node-1 node-0]" {
		t.Errorf("%v", order)
	}
}

func BenchmarkChoice(b *testing.B) {
	for _, count := range []int{10, 24, 100, 1000, 10_000} {
		b.Run(fmt.Sprint("nodes=", count), func(b *testing.B) {
			balancer := New(Options{Name: "b", Ordinal: 7, Brokers: 300})
			balancer.SetReplicas(0, newReplicas(count))
			now := Time(0)
			for b.Loop() {
				now += 200 * time.Millisecond
				r := balancer.take(now, false)
				balancer.RecordAnswer(now, r, 10*time.Millisecond)
			}
		})
	}
}

func BenchmarkList(b *testing.B) {
	for _, count := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint("nodes=", count), func(b *testing.B) {
			for b.Loop() {
				New(Options{Name: "b", Ordinal: 7, Brokers: 300}).SetReplicas(0, newReplicas(count))
			}
		})
	}
}
