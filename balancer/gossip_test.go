package balancer

import (
	"testing"
	"time"
)

// A broker without a path to the shard finds all its replicas unresponsive and says so. One peer's word moves
// nothing; two lower a weight, within the bound; peers that lie about all replicas leave each some, and a
// replica that answers is believed. Messages stay within a datagram, and foreign bytes are dropped.
func TestGossip(t *testing.T) {
	sender := New(Options{Name: "a", Brokers: 9})
	b := New(Options{Name: "b", Ordinal: 1, Brokers: 9})
	theirs, replicas := newReplicas(100), newReplicas(100)
	sender.SetReplicas(0, theirs)
	b.SetReplicas(0, replicas)
	for _, r := range theirs {
		sender.RecordUnresponsive(time.Second, r)
	}
	messages := sender.GossipMessages(time.Second)
	if len(messages) != 1 || len(messages[0]) > 256 || sender.GossipMessages(1500*time.Millisecond) != nil {
		t.Fatalf("%d messages", len(messages))
	}
	left := func() (sum float64) {
		b.evaluate(b.nextPeriod + time.Second)
		for _, r := range replicas {
			sum += r.Factor()
		}
		return sum
	}
	b.ReceiveGossip(time.Second, 3, messages[0])
	if left() < 100 {
		t.Error("one peer's word lowered a weight")
	}
	for from := range 9 {
		b.ReceiveGossip(2*time.Second, from, messages[0])
	}
	if sum := left(); sum < 49.9 || sum >= 100 {
		t.Errorf("%.1f of 100 is left after many peers' word", sum)
	}
	for _, r := range replicas {
		b.RecordAnswer(3*time.Second, r, time.Millisecond)
	}
	if left() < 100 {
		t.Error("replicas that answered are not believed")
	}
	foreign := [][]byte{nil, {GossipUnresponsive}, {GossipUnresponsive, 1, 2, 3}, {99, 1, 2, 3, 4}, make([]byte, 257)}
	for _, data := range foreign {
		b.ReceiveGossip(4*time.Second, 2, data)
	}
	if left() < 100 {
		t.Error("foreign bytes were taken")
	}
	if peers := b.GossipPeers(5 * time.Second); len(peers) == 0 || len(peers) > gossipFanOut {
		t.Errorf("%v are told", peers)
	}
}
