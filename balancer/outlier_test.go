package balancer

import (
	"encoding/binary"
	"testing"
	"time"
)

// A replica at half speed gets about half the load, and a replica that fails half of its requests gets less than a
// sound replica. Outlier detection removes at most the configured share, even if all replicas are unresponsive.
func TestOutliersGetLess(t *testing.T) {
	b := New(Options{Name: "b"})
	replicas := newReplicas(8)
	b.SetReplicas(0, replicas)
	taken := map[*Replica]int{}
	for i := range 4000 {
		now := Time(i) * 10 * time.Millisecond
		r := b.take(now, false)
		if i >= 2000 {
			taken[r]++
		}
		jitter := time.Duration(i%7) * time.Millisecond
		switch {
		case r == replicas[0]:
			b.RecordAnswer(now, r, 40*time.Millisecond+jitter)
		case r == replicas[1] && i%2 == 0:
			b.RecordFailure(now, r, true)
		default:
			b.RecordAnswer(now, r, 20*time.Millisecond+jitter)
		}
	}
	normal := float64(taken[replicas[4]])
	if ratio := float64(taken[replicas[0]]) / normal; ratio < 0.4 || ratio > 0.7 {
		t.Errorf("the replica at half speed got %.2f of another replica's load, want 0.4 to 0.7", ratio)
	}
	if ratio := float64(taken[replicas[1]]) / normal; ratio > 0.7 {
		t.Errorf("the replica that fails half of its requests got %.2f of another's load, want at most 0.7", ratio)
	}
	for _, r := range replicas {
		b.RecordUnresponsive(50*time.Second, r)
	}
	b.evaluate(60 * time.Second)
	left := 0.0
	for _, r := range replicas {
		left += r.Factor()
	}
	if left < 8*(1-DefaultMaxEjectedShare)-0.01 {
		t.Errorf("%.2f of the weight of 8 replicas is left, want at least %v", left, 8*(1-DefaultMaxEjectedShare))
	}
}

// A replica dies and recovers. It gets trials with growing backoff, only by requests that may be sent twice. It regains
// its whole weight after two answers.
func TestUnresponsiveReplicaRecovers(t *testing.T) {
	b := New(Options{Name: "b"})
	replicas := newReplicas(6)
	dead := replicas[2]
	b.SetReplicas(0, replicas)
	b.RecordUnresponsive(0, dead)
	trials, last, gap := 0, Time(0), Time(0)
	for i := range 6000 {
		now := Time(i) * 10 * time.Millisecond
		r := b.take(now, false)
		if r != dead {
			b.RecordAnswer(now, r, time.Millisecond)
			continue
		}
		trials++
		if trials > 2 && now-last < gap {
			t.Errorf("trial %d came after %v, want at least %v", trials, now-last, gap)
		}
		gap = (now - last) / 3
		last = now
		b.RecordUnresponsive(now, r)
	}
	if trials < 3 || trials > 8 {
		t.Errorf("got %d trials in a minute, want 3 to 8", trials)
	}
	for i := range 1000 {
		now := Time(60+i) * time.Second
		r := b.take(now, true)
		if r == dead {
			t.Fatal("a request that must not be sent twice went to an unresponsive replica")
		}
		b.RecordAnswer(now, r, time.Millisecond)
	}
	now := 2000 * time.Second
	for range 2 {
		b.RecordAnswer(now, dead, time.Millisecond)
	}
	b.evaluate(now + time.Second)
	if dead.Factor() != 1 {
		t.Errorf("factor after two answers is %v, want 1", dead.Factor())
	}
}

// The weight of a replica was lowered and then restored. Its position must change with the weight: otherwise the
// replica would keep the late position of the low weight, and would get no requests for a while.
func TestTurnFollowsWeight(t *testing.T) {
	b := New(Options{Name: "b", Brokers: 9})
	replicas := newReplicas(4)
	silent, doubted := replicas[1], replicas[2]
	b.SetReplicas(0, replicas)
	now := time.Second
	for i := range 40 {
		now += 10 * time.Millisecond
		if i == 20 {
			b.RecordUnresponsive(now, silent)
			for from := range 3 {
				b.ReceiveGossip(now, from, gossipOf(GossipUnresponsive, doubted.Name))
			}
		}
		if r := b.take(now, true); r != silent {
			b.RecordAnswer(now, r, time.Millisecond)
		}
	}
	b.RecordAnswer(now, silent, time.Millisecond)
	b.RecordAnswer(now, silent, time.Millisecond)
	b.ReceiveGossip(now, 5, gossipOf(GossipRecovered, doubted.Name))
	now += time.Second
	taken := map[*Replica]int{}
	for range 16 {
		now += 10 * time.Millisecond
		r := b.take(now, false)
		taken[r]++
		b.RecordAnswer(now, r, time.Millisecond)
	}
	if taken[silent] < 3 || taken[doubted] < 3 {
		t.Errorf("recovered replicas: got %d and %d of 16 requests, want at least 3", taken[silent], taken[doubted])
	}
}

// gossipOf returns a message about one replica.
func gossipOf(kind byte, name string) []byte {
	return binary.BigEndian.AppendUint32([]byte{kind}, uint32(hash("", name, 3)))
}
