package balancer

import (
	"fmt"
	"testing"
)

// sharesOf returns the share of a broker's requests that each replica of its subset receives, by name.
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

// Each replica is used by the same number of brokers. A replica that leaves only changes the subsets of the brokers
// that used it. If all brokers send the same load, each replica receives the same load within 3 %. The subset size is
// bounded.
func TestSubsetsAreEven(t *testing.T) {
	const brokers, count = 100, 203
	users, load, moved := map[string]int{}, map[string]float64{}, 0
	for ordinal := range brokers {
		shares := sharesOf(ordinal, brokers, newReplicas(count))
		if len(shares) < DefaultSubsetSize/3 || len(shares) > 3*DefaultSubsetSize {
			t.Errorf("broker %d uses %d replicas, want a third to 3 times %d", ordinal, len(shares), DefaultSubsetSize)
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
		t.Errorf("%d users of other replicas changed when one replica left, want 0", moved)
	}
	for name, n := range users {
		if n != users["node-0"] {
			t.Errorf("%s is used by %d brokers, node-0 by %d, want the same number", name, n, users["node-0"])
		}
		if relative := load[name] * count / brokers; relative < 0.97 || relative > 1.03 {
			t.Errorf("%s gets %.2f of the mean load, want 0.97 to 1.03", name, relative)
		}
	}
	if len(users) != count {
		t.Errorf("%d of %d replicas are used, want all", len(users), count)
	}
}

// If a broker is added, most replicas keep their brokers: the part of new brokers is at most twice the added broker's
// share.
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
		t.Errorf("%.3f of the users changed, want at most %.3f", share, 2.0/61)
	}
}
