package balancer

import (
	"encoding/binary"
	"fmt"
	"math"
	"testing"
	"time"
)

func members(n int) []*Replica {
	var all []*Replica
	for i := range n {
		all = append(all, &Replica{Name: fmt.Sprint("node-", i)})
	}
	return all
}

func (g *Balancer) take(now Time, sure bool) *Replica {
	for m := range g.Candidates(now, sure) {
		g.RecordSent(now, m)
		return m
	}
	return nil
}

// One broker's turns: over any stretch each node gets its weight's part, within one.
func TestTurns(t *testing.T) {
	g := New(Options{Name: "b"})
	all := members(5)
	all[4].Weight = 2
	g.SetReplicas(0, all)
	got := map[*Replica]int{}
	for i := range 600 {
		got[g.take(Time(i)*time.Millisecond, false)]++
		for _, m := range all {
			if want := float64(i+1) * m.size() / 6; math.Abs(float64(got[m])-want) > 2 {
				t.Fatalf("after %d %s got %d, not about %.1f", i+1, m.Name, got[m], want)
			}
		}
	}
}

// Each node is covered by the same number of brokers; one that joins or leaves moves its own covers and no others; the sum over
// brokers that send alike is even, and the fewest and the most a broker uses are bounded.
func TestCovers(t *testing.T) {
	const brokers, nodes = 100, 203
	cover := func(b int, all []*Replica) map[string]float64 {
		g := New(Options{Name: fmt.Sprint("b", b), Ordinal: b, Brokers: brokers})
		g.SetReplicas(0, all)
		g.reckon(0)
		parts := map[string]float64{}
		for _, m := range g.used {
			parts[m.Name] = m.Share()
		}
		return parts
	}
	count, load, moved := map[string]int{}, map[string]float64{}, 0
	for b := range brokers {
		parts := cover(b, members(nodes))
		if len(parts) < DefaultSubsetSize/3 || len(parts) > 3*DefaultSubsetSize {
			t.Errorf("broker %d uses %d nodes", b, len(parts))
		}
		for name, part := range parts {
			count[name]++
			load[name] += part
		}
		less := cover(b, members(nodes)[1:])
		for name := range parts {
			if _, still := less[name]; !still && name != "node-0" {
				moved++
			}
		}
		for name := range less {
			if _, before := parts[name]; !before {
				moved++
			}
		}
	}
	if moved > 0 {
		t.Errorf("%d covers of other nodes moved with one node", moved)
	}
	for name, c := range count {
		if c != count["node-0"] {
			t.Errorf("%s is covered by %d brokers, node-0 by %d", name, c, count["node-0"])
		}
		if l := load[name] * nodes / brokers; l < 0.97 || l > 1.03 {
			t.Errorf("%s gets %.2f of the mean", name, l)
		}
	}
	if len(count) != nodes {
		t.Errorf("%d of %d nodes are used", len(count), nodes)
	}
}

// With one broker more, only its own share of the covers moves.
func TestBrokerJoins(t *testing.T) {
	moved, all := 0, 0
	for i := range 200 {
		name := fmt.Sprint("node-", i)
		a, b := New(Options{Brokers: 60}).brokersOf(name, 7), New(Options{Brokers: 61}).brokersOf(name, 7)
		in := map[int32]bool{}
		for _, x := range a {
			in[x] = true
		}
		for _, x := range b {
			if all++; !in[x] {
				moved++
			}
		}
	}
	if part := float64(moved) / float64(all); part > 2.0/61 {
		t.Errorf("%.3f of the covers moved", part)
	}
}

// Brokers that start at one moment, or whose lists change at one, are not in step: over their first requests no node gets many
// times its part.
func TestNotInStep(t *testing.T) {
	counts := map[string]int{}
	for b := range 120 {
		g := New(Options{Name: fmt.Sprint("broker-", b), Ordinal: b, Brokers: 120})
		g.SetReplicas(0, members(12))
		counts[g.take(0, false).Name]++
	}
	for name, c := range counts {
		if c > 25 {
			t.Errorf("%s got the first request of %d of 120 brokers", name, c)
		}
	}
	if len(counts) < 12 {
		t.Errorf("only %d nodes got a first request", len(counts))
	}
}

// A node at half speed gets about half, one that errs less, and judging takes away no more than the stated part.
func TestJudged(t *testing.T) {
	g := New(Options{Name: "b"})
	all := members(8)
	g.SetReplicas(0, all)
	count := map[*Replica]int{}
	for i := range 4000 {
		now := Time(i) * 10 * time.Millisecond
		m := g.take(now, false)
		if i >= 2000 {
			count[m]++
		}
		switch {
		case m == all[0]:
			g.RecordAnswer(now, m, 40*time.Millisecond+time.Duration(i%7)*time.Millisecond)
		case m == all[1] && i%2 == 0:
			g.RecordFailure(now, m, true)
		default:
			g.RecordAnswer(now, m, 20*time.Millisecond+time.Duration(i%7)*time.Millisecond)
		}
	}
	usual := float64(count[all[4]])
	if r := float64(count[all[0]]) / usual; r < 0.4 || r > 0.7 {
		t.Errorf("the node at half speed got %.2f of another's part", r)
	}
	if r := float64(count[all[1]]) / usual; r > 0.7 {
		t.Errorf("the node that errs half the time got %.2f of another's part", r)
	}
	for _, m := range all {
		g.RecordUnresponsive(50*time.Second, m)
	}
	g.reckon(60 * time.Second)
	left := 0.0
	for _, m := range all {
		left += m.Factor()
	}
	if left < 8*(1-DefaultMaxEjectedShare)-0.01 {
		t.Errorf("%.2f of 8 nodes' weight is left", left)
	}
}

// A silent node is asked again at growing pauses by requests that may run twice, and comes back in two answers.
func TestSilentAndBack(t *testing.T) {
	g := New(Options{Name: "b"})
	all := members(6)
	g.SetReplicas(0, all)
	g.RecordUnresponsive(0, all[2])
	trials, last, gap := 0, Time(0), Time(0)
	for i := range 6000 {
		now := Time(i) * 10 * time.Millisecond
		m := g.take(now, false)
		if m != all[2] {
			g.RecordAnswer(now, m, time.Millisecond)
			continue
		}
		if trials++; trials > 2 && now-last < gap {
			t.Errorf("trial %d after %v, the one before after %v", trials, now-last, gap)
		}
		last, gap = now, (now-last)/3
		g.RecordUnresponsive(now, m)
	}
	if trials < 3 || trials > 8 {
		t.Errorf("%d trials in a minute", trials)
	}
	for i := range 1000 {
		if m := g.take(Time(60+i)*time.Second, true); m == all[2] {
			t.Fatal("a request that must not run twice went to a silent node")
		} else {
			g.RecordAnswer(Time(60+i)*time.Second, m, time.Millisecond)
		}
	}
	now := 2000 * time.Second
	for range 2 {
		g.RecordAnswer(now, all[2], time.Millisecond)
	}
	if g.reckon(now + time.Second); all[2].Factor() != 1 {
		t.Errorf("%v of its weight after two answers", all[2].Factor())
	}
}

// One peer's word moves nothing; two lower a weight, within the bound; liars about all nodes leave each some, and a node that
// answers is believed. Messages stay within a datagram, and nonsense is dropped.
func TestPeers(t *testing.T) {
	teller, g := New(Options{Name: "a", Brokers: 9}), New(Options{Name: "b", Ordinal: 1, Brokers: 9})
	theirs, all := members(100), members(100)
	teller.SetReplicas(0, theirs)
	g.SetReplicas(0, all)
	for _, m := range theirs {
		teller.RecordUnresponsive(time.Second, m)
	}
	messages := teller.GossipMessages(time.Second)
	if len(messages) != 1 || len(messages[0]) > 256 || teller.GossipMessages(1500*time.Millisecond) != nil {
		t.Fatalf("%d messages", len(messages))
	}
	left := func() (sum float64) {
		g.reckon(g.reckonAt + time.Second)
		for _, m := range all {
			sum += m.Factor()
		}
		return sum
	}
	g.ReceiveGossip(time.Second, 3, messages[0])
	if left() < 100 {
		t.Error("one peer's word lowered a weight")
	}
	for from := range 9 {
		g.ReceiveGossip(2*time.Second, from, messages[0])
	}
	if l := left(); l < 49.9 || l >= 100 {
		t.Errorf("%.1f of 100 is left after many peers' word", l)
	}
	for _, m := range all {
		g.RecordAnswer(3*time.Second, m, time.Millisecond)
	}
	if left() < 100 {
		t.Error("nodes that answered are not believed")
	}
	for _, data := range [][]byte{nil, {GossipUnresponsive}, {GossipUnresponsive, 1, 2, 3}, {99, 1, 2, 3, 4}, make([]byte, 257)} {
		g.ReceiveGossip(4*time.Second, 2, data)
	}
	if left() < 100 {
		t.Error("nonsense was heard")
	}
	if peers := g.GossipPeers(5 * time.Second); len(peers) == 0 || len(peers) > tellPeers {
		t.Errorf("%v are told", peers)
	}
}

// The lower priority goes first, whatever its load.
func TestPriorities(t *testing.T) {
	g := New(Options{Name: "b"})
	all := members(3)
	all[0].Priority, all[1].InFlight = 1, 9
	g.SetReplicas(0, all)
	var order []string
	for m := range g.Candidates(0, false) {
		order = append(order, m.Name)
	}
	if fmt.Sprint(order) != "[node-2 node-1 node-0]" {
		t.Errorf("%v", order)
	}
}

func BenchmarkChoice(b *testing.B) {
	for _, nodes := range []int{10, 24, 100, 1000, 10_000} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			g := New(Options{Name: "b", Ordinal: 7, Brokers: 300})
			g.SetReplicas(0, members(nodes))
			now := Time(0)
			for b.Loop() {
				now += 200 * time.Millisecond
				m := g.take(now, false)
				g.RecordAnswer(now, m, 10*time.Millisecond)
			}
		})
	}
}

func BenchmarkList(b *testing.B) {
	for _, nodes := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			for b.Loop() {
				New(Options{Name: "b", Ordinal: 7, Brokers: 300}).SetReplicas(0, members(nodes))
			}
		})
	}
}

// What had its weight lowered gets its turns again as soon as the weight is back: its place was once left where the low weight had put it.
func TestPlaceFollowsWeight(t *testing.T) {
	g := New(Options{Name: "b", Brokers: 9})
	all := members(4)
	g.SetReplicas(0, all)
	now := time.Second
	for i := range 40 {
		now += 10 * time.Millisecond
		if i == 20 {
			g.RecordUnresponsive(now, all[1])
			for from := range 3 {
				g.ReceiveGossip(now, from, NewWord(GossipUnresponsive, all[2].Name))
			}
		}
		if m := g.take(now, true); m != all[1] {
			g.RecordAnswer(now, m, time.Millisecond)
		}
	}
	g.RecordAnswer(now, all[1], time.Millisecond)
	g.RecordAnswer(now, all[1], time.Millisecond)
	g.ReceiveGossip(now, 5, NewWord(GossipRecovered, all[2].Name))
	now += time.Second
	got := map[*Replica]int{}
	for range 16 {
		now += 10 * time.Millisecond
		m := g.take(now, false)
		got[m]++
		g.RecordAnswer(now, m, time.Millisecond)
	}
	if got[all[1]] < 3 || got[all[2]] < 3 {
		t.Errorf("of 16 turns they got %d and %d", got[all[1]], got[all[2]])
	}
}

// NewWord is a message of one node.
func NewWord(kind byte, name string) []byte {
	return binary.BigEndian.AppendUint32([]byte{kind}, uint32(hash("", name, 3)))
}
