package telemetry

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// A receiver that reads at once gets every batch. Nothing is reported to operators.
func TestSinkHealthy(t *testing.T) {
	r := newReceiver(t, SinkOptions{})
	for _, name := range []string{"a", "b", "c"} {
		r.offer(name, 100)
		if r.dialling {
			r.endDial(true)
		}
		r.wantState(Sending)
		r.receive()
		r.wantState(Idle)
		r.advance(10 * second)
	}
	if fmt.Sprint(r.received, r.reports) != "[a b c] []" || r.sink.Stats().Sent != 3 {
		t.Errorf("received %q, reports %q, stats %+v; want [a b c], no reports, 3 sent",
			r.received, r.reports, r.sink.Stats())
	}
}

// A receiver is down at the start and comes up after six batches. The sink's queue has room for three of them. The
// receiver gets these three in order and paced. The oldest batches are dropped as a whole and counted. Operators get
// one report that the sink is unavailable and one report that it recovered.
func TestSinkDownAtStart(t *testing.T) {
	r := newReceiver(t, SinkOptions{QueueBytes: 350, BytesPerSecond: 100})
	failedDials := 0
	for i := range 6 {
		r.offer(string(rune('a'+i)), 100)
		for range 10 {
			if r.dialling {
				r.endDial(false)
				failedDials++
			}
			r.advance(second)
		}
	}
	for !r.dialling {
		r.advance(second)
	}
	r.endDial(true)
	began := r.now
	for range 3 {
		r.awaitFrame()
		r.receive()
	}
	if fmt.Sprint(r.received) != "[d e f]" || fmt.Sprint(r.reports) != "[unavailable: refused recovered]" {
		t.Errorf("received %q, reports %q; want [d e f], one outage and one recovery", r.received, r.reports)
	}
	if dropped := r.sink.Stats().Dropped; dropped != 3 || failedDials < 3 {
		t.Errorf("%d batches dropped, %d dials failed, want 3 and at least 3", dropped, failedDials)
	}
	if r.now-began < 2*second {
		t.Errorf("300 bytes at 100 bytes a second took %d µs, want at least 2 s", r.now-began)
	}
}

// Fifty dials fail in a row. The backoff stays within its bounds and becomes long. After a success it is short again.
func TestSinkBackoff(t *testing.T) {
	const tolerance = second / 10 // the step of awaitDial
	r := newReceiver(t, SinkOptions{MinBackoff: second, MaxBackoff: 20 * second})
	r.offer("a", 10)
	longest := Micros(0)
	for range 50 {
		r.endDial(false)
		backoff := r.awaitDial()
		if backoff < second || backoff > 20*second+tolerance {
			t.Fatalf("backoff of %d µs, want 1 to 20 s", backoff)
		}
		longest = max(longest, backoff)
	}
	if longest < 10*second {
		t.Errorf("the longest of 50 backoffs took %d µs, want at least 10 s", longest)
	}
	r.endDial(true)
	r.receive()
	r.resetConnection()
	r.offer("b", 10)
	if backoff := r.awaitDial(); backoff > 3*second+tolerance {
		t.Errorf("backoff of %d µs after a success, want at most 3 s", backoff)
	}
}

// A receiver reads nothing after the first batch. Its sink is stalled and then disconnected. On the next connection the
// sink sends the first batch again, since the receiver may not have got its end, and then the second batch.
func TestSinkNeverReads(t *testing.T) {
	r := newReceiver(t, SinkOptions{ResendLast: true, MaxBackoff: second})
	r.offer("a", 100)
	r.endDial(true)
	r.receive()
	r.offer("b", 100)
	r.advance(5 * second / 2)
	r.wantState(Stalled)
	r.advance(8 * second)
	if r.open || !r.dialling && r.sink.Stats().State != BackingOff {
		t.Fatalf("stats %+v, want the sink disconnected and backing off or dialing", r.sink.Stats())
	}
	r.awaitDial()
	r.endDial(true)
	for range 2 {
		r.awaitFrame()
		r.receive()
	}
	stats := r.sink.Stats()
	if fmt.Sprint(r.received) != "[a a b]" || stats.Sent != 2 || stats.Dropped != 0 || len(r.reports) != 2 {
		t.Errorf("received %q, reports %q, stats %+v; want [a a b], 2 reports, 2 sent, 0 dropped",
			r.received, r.reports, stats)
	}
}

// A receiver reads a frame after five seconds. Its sink is stalled until then and keeps its connection.
func TestSinkSlow(t *testing.T) {
	r := newReceiver(t, SinkOptions{})
	r.offer("a", 100)
	r.endDial(true)
	r.advance(5 * second)
	r.wantState(Stalled)
	r.receive()
	r.wantState(Idle)
	if !r.open || len(r.reports) != 2 {
		t.Errorf("connected %v, reports %q; want true, one outage and one recovery", r.open, r.reports)
	}
}

// The connection is reset between the two frames of a batch. The sink sends the whole batch again, since the receiver
// may have only half of a line.
func TestSinkResetWithinBatch(t *testing.T) {
	r := newReceiver(t, SinkOptions{MaxBackoff: second})
	r.send(BatchOffered{Batch{Frames: [][]byte{[]byte("x1"), []byte("y2")}}})
	r.endDial(true)
	r.receive()
	r.resetConnection()
	r.awaitDial()
	r.endDial(true)
	r.receive()
	r.receive()
	if fmt.Sprint(r.received) != "[x x y]" || r.sink.Stats().Sent != 1 {
		t.Errorf("received %q, stats %+v; want [x x y], 1 sent", r.received, r.sink.Stats())
	}
}

// The broker shuts down during a backoff. The sink ends the backoff and sends its queue.
func TestSinkShutdownWhileBackingOff(t *testing.T) {
	r := newReceiver(t, SinkOptions{MinBackoff: 30 * second})
	r.offer("a", 10)
	r.endDial(false)
	r.send(Shutdown{Deadline: r.now + second})
	r.endDial(true)
	r.receive()
	if !r.finished || r.sink.Stats().Sent != 1 {
		t.Errorf("finished %v, stats %+v; want true, 1 sent", r.finished, r.sink.Stats())
	}
}

// The broker shuts down while a sink is stalled. At the deadline the sink closes, and its batches are dropped and
// counted.
func TestSinkShutdownWhileStalled(t *testing.T) {
	r := newReceiver(t, SinkOptions{})
	r.offer("a", 10)
	r.offer("b", 10)
	r.endDial(true)
	r.send(Shutdown{Deadline: r.now + second})
	r.advance(second)
	stats := r.sink.Stats()
	if !r.finished || r.open || stats.Dropped != 2 || stats.QueueBytes != 0 || stats.State != Closed {
		t.Errorf("the stalled sink did not close at the deadline: %+v", stats)
	}
}

// Batches, answers, resets and the passing of time occur in random order. There is at most one dial or write at a time,
// the queue stays within its bound, and every batch is sent, dropped or queued.
func TestSinkAnyOrder(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { testSinkAnyOrder(t, seed) })
	}
}

func testSinkAnyOrder(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 5))
	r := newReceiver(t, SinkOptions{QueueBytes: 500, PaceEveryBatch: seed%2 == 0, ResendLast: seed%3 == 0})
	offered := uint64(0)
	for range 400 {
		r.now += random.Int64N(second)
		switch random.IntN(6) {
		case 0:
			offered++
			r.offer("i", 10+random.IntN(200))
		case 1:
			if r.dialling {
				r.endDial(random.IntN(2) == 0)
			}
		case 2:
			if r.frame != nil {
				r.receive()
			}
		case 3:
			if r.open && random.IntN(4) == 0 {
				r.resetConnection()
			}
		default:
			r.send(nil)
		}
	}
	stats := r.sink.Stats()
	if waiting := uint64(len(r.sink.queue.batches)); stats.Sent+stats.Dropped+waiting != offered {
		t.Fatalf("%d batches offered, %d queued, stats %+v; want each sent, dropped or queued", offered, waiting, stats)
	}
	r.send(Shutdown{Deadline: r.now + 5*second})
	r.advance(6 * second)
	stats = r.sink.Stats()
	if !r.finished || stats.QueueBytes != 0 || stats.Sent+stats.Dropped != offered {
		t.Fatalf("after the shutdown: %+v, want %d batches sent or dropped, and none queued", stats, offered)
	}
}
