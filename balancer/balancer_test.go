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

// take sends a request to the first candidate and returns that candidate.
func (b *Balancer) take(now Time, proven bool) *Replica {
	for r := range b.Candidates(now, proven) {
		b.RecordSent(now, r)
		return r
	}
	return nil
}

// The turns of one broker follow the weights: after any number of requests, each replica has received its share to
// within 2 requests.
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
				t.Fatalf("after %d requests %s got %d, want about %.1f", i+1, r.Name, taken[r], want)
			}
		}
	}
}

// Many brokers start at the same time, or receive a changed endpoint list at the same time. If their turns were in
// step, all of them would send their first request to the same replica.
func TestBrokersAreNotInStep(t *testing.T) {
	counts := map[string]int{}
	for i := range 120 {
		b := New(Options{Name: fmt.Sprint("broker-", i), Ordinal: i, Brokers: 120})
		b.SetReplicas(0, newReplicas(12))
		counts[b.take(0, false).Name]++
	}
	for name, count := range counts {
		if count > 25 {
			t.Errorf("%s got the first request of %d of 120 brokers, want at most 25", name, count)
		}
	}
	if len(counts) < 12 {
		t.Errorf("%d replicas got a first request, want 12", len(counts))
	}
}

// Replicas with the lowest priority value come first, even if one of them has the most attempts in flight.
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
		t.Errorf("order of candidates: got %v, want [node-2 node-1 node-0]", order)
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
