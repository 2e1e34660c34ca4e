package choice

import (
	"math/rand/v2"
	"testing"
)

func TestBefore(t *testing.T) {
	for _, c := range []struct {
		a, b Candidate
		want bool
	}{
		{Candidate{Priority: 0, Out: 9}, Candidate{Priority: 1}, true},
		{Candidate{Priority: 1}, Candidate{Priority: 0, Out: 9}, false},
		{Candidate{Out: 1}, Candidate{Out: 2}, true},
		{Candidate{Out: 2}, Candidate{Out: 2}, false},
		{Candidate{Out: 3, Part: 5}, Candidate{Out: 0, Part: 1}, true},
		{Candidate{Out: 3, Part: 4}, Candidate{Out: 0, Part: 1}, false},
		{Candidate{Out: 1, Part: -1}, Candidate{Out: 1, Part: 0}, false},
	} {
		if got := Before(c.a, c.b); got != c.want {
			t.Errorf("%+v before %+v: %v", c.a, c.b, got)
		}
	}
}

// Where requests come and go, the nodes of one priority get work in step with their parts, and never both the better.
func TestShares(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	nodes, sent := []Candidate{{Part: 1}, {Part: 2}, {Part: 5}, {Priority: 1, Part: 50}}, make([]int, 4)
	var out []int
	for range 40_000 {
		best := 0
		for i := range nodes {
			if Before(nodes[i], nodes[best]) {
				best = i
			}
			if Before(nodes[i], nodes[best]) && Before(nodes[best], nodes[i]) {
				t.Fatal("each goes before the other")
			}
		}
		sent[best]++
		nodes[best].Out++
		if out = append(out, best); len(out) > 80 {
			i := random.IntN(len(out))
			nodes[out[i]].Out--
			out[i] = out[len(out)-1]
			out = out[:len(out)-1]
		}
	}
	if sent[3] != 0 || sent[0]*3 < 40_000*3/8*9/10 || sent[0] > 40_000/8*11/10 || sent[1] < 40_000/4*9/10 || sent[2] < 40_000*5/8*9/10 {
		t.Errorf("%v", sent)
	}
}
