package balancer

import (
	"fmt"
	"testing"
)

// sharesOf is what a broker's subset of replicas gets of its requests, by name.
func sharesOf(ordinal, brokers int, replicas []*Replica) map[string]float64 {
	b := New(Options{Name: fmt.Sprint("b", ordinal), Ordinal: ordinal, Brokers: brokers})
	b.SetReplicas(0, replicas)
	b.evaluate(0)
	shares := map[string]float64{}
	for _, r := range b.subset {
		shares[r.Name] = r.Share()
	}
	return shares
}

// Each replica is used by the same number of brokers; one that leaves moves its own brokers and no others;
// the sum over brokers that send alike is even, and the fewest and the most that a broker uses are bounded.
func TestSubsetsAreEven(t *testing.T) {
	const brokers, count = 100, 203
	users, load, moved := map[string]int{}, map[string]float64{}, 0
	for ordinal := range brokers {
		shares := sharesOf(ordinal, brokers, newReplicas(count))
		if len(shares) < DefaultSubsetSize/3 || len(shares) > 3*DefaultSubsetSize {
			t.Errorf("broker %d uses %d replicas", ordinal, len(shares))
		}
		for name, share := range shares {
			users[name]++
			load[name] += share
		}
		fewer := sharesOf(ordinal, brokers, newReplicas(count)[1:])
		for name := range shares {
			if _, still := fewer[name]; !still && name != "node-0" {
				moved++
			}
		}
		for name := range fewer {
			if _, before := shares[name]; !before {
				moved++
			}
		}
	}
	if moved > 0 {
		t.Errorf("%d users of other replicas moved with one replica", moved)
	}
	for name, n := range users {
		if n != users["node-0"] {
			t.Errorf("%s is used by %d brokers, node-0 by %d", name, n, users["node-0"])
		}
		if relative := load[name] * count / brokers; relative < 0.97 || relative > 1.03 {
			t.Errorf("%s gets %.2f of the mean", name, relative)
		}
	}
	if len(users) != count {
		t.Errorf("%d of %d replicas are used", len(users), count)
	}
}

// With one broker more, only its own share of the replicas' users moves.
func TestBrokerJoins(t *testing.T) {
	moved, all := 0, 0
	for i := range 200 {
		name := fmt.Sprint("node-", i)
		before := New(Options{Brokers: 60}).brokersOf(name, 7)
		after := New(Options{Brokers: 61}).brokersOf(name, 7)
		used := map[int32]bool{}
		for _, broker := range before {
			used[broker] = true
		}
		for _, broker := range after {
			all++
			if !used[broker] {
				moved++
			}
		}
	}
	if share := float64(moved) / float64(all); share > 2.0/61 {
		t.Errorf("%.3f of the users moved", share)
	}
}
