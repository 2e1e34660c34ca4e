package balancer

import (
	"testing"
	"time"
)

// A broker without a network path to the shard finds all its replicas unresponsive and reports them. Messages fit into
// a datagram. Each subtest continues with the state of the subtest before it.
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
		t.Fatalf("got %d messages, want 1 of at most 256 bytes, and none within gossipPeriod", len(messages))
	}
	left := func() (sum float64) {
		b.evaluate(b.nextPeriod + time.Second)
		for _, r := range replicas {
			sum += r.Factor()
		}
		return sum
	}
	t.Run("one peer's report lowers no weight", func(t *testing.T) {
		b.ReceiveGossip(time.Second, 3, messages[0])
		if left() < 100 {
			t.Error("one peer's report lowered a weight")
		}
	})
	t.Run("reports of all peers lower weights within the bound", func(t *testing.T) {
		for from := range 9 {
			b.ReceiveGossip(2*time.Second, from, messages[0])
		}
		if sum := left(); sum < 49.9 || sum >= 100 {
			t.Errorf("%.1f of 100 is left after reports of 9 peers, want about 50 or more, below 100", sum)
		}
	})
	t.Run("a replica that answers regains its weight", func(t *testing.T) {
		for _, r := range replicas {
			b.RecordAnswer(3*time.Second, r, time.Millisecond)
		}
		if left() < 100 {
			t.Error("replicas that answered did not regain their weight")
		}
	})
	foreign := [][]byte{nil, {GossipUnresponsive}, {GossipUnresponsive, 1, 2, 3}, {99, 1, 2, 3, 4}, make([]byte, 257)}
	t.Run("data that is not a message is dropped", func(t *testing.T) {
		for _, data := range foreign {
			b.ReceiveGossip(4*time.Second, 2, data)
		}
		if left() < 100 {
			t.Error("data that is not a message lowered a weight")
		}
	})
	t.Run("a message goes to few peers", func(t *testing.T) {
		if peers := b.GossipPeers(5 * time.Second); len(peers) == 0 || len(peers) > gossipFanOut {
			t.Errorf("peers: got %v, want 1 to %d", peers, gossipFanOut)
		}
	})
}
