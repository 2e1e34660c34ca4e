package telemetry

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// A sink that reads at once gets every batch, on one connection, and nothing is reported.
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
		t.Error(r.received, r.reports, r.sink.Stats())
	}
}

// A sink is down at the start and comes up after six batches, of which the queue holds three. It gets these three in
// order and paced; the oldest were dropped whole and counted; operators hear once that it is unavailable and once that
// it recovered.
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
		t.Error(r.received, r.reports)
	}
	if dropped := r.sink.Stats().Dropped; dropped != 3 || failedDials < 3 {
		t.Errorf("%d batches dropped, %d dials failed", dropped, failedDials)
	}
	if r.now-began < 2*second {
		t.Errorf("300 bytes at 100 a second took %d µs", r.now-began)
	}
}

// Fifty dials fail in a row. The backoff stays between its bounds and reaches long pauses; after a success it begins
// anew.
func TestSinkBackoff(t *testing.T) {
	const tolerance = second / 10 // the step of awaitDial
	r := newReceiver(t, SinkOptions{MinBackoff: second, MaxBackoff: 20 * second})
	r.offer("a", 10)
	longest := Micros(0)
	for range 50 {
		r.endDial(false)
		backoff := r.awaitDial()
		if backoff < second || backoff > 20*second+tolerance {
			t.Fatalf("a backoff of %d µs", backoff)
		}
		longest = max(longest, backoff)
	}
	if longest < 10*second {
		t.Errorf("the longest of 50 backoffs took %d µs", longest)
	}
	r.endDial(true)
	r.receive()
	r.resetConnection()
	r.offer("b", 10)
	if backoff := r.awaitDial(); backoff > 3*second+tolerance {
		t.Errorf("a backoff of %d µs after a success", backoff)
	}
}

// A sink accepts the connection and reads nothing after the first batch. It is stalled, then disconnected. On the next
// connection it gets the first batch again, since that may not have arrived, and then the second one.
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
		t.Fatalf("it still waits: %+v", r.sink.Stats())
	}
	r.awaitDial()
	r.endDial(true)
	for range 2 {
		r.awaitFrame()
		r.receive()
	}
	stats := r.sink.Stats()
	if fmt.Sprint(r.received) != "[a a b]" || stats.Sent != 2 || stats.Dropped != 0 || len(r.reports) != 2 {
		t.Error(r.received, r.reports, stats)
	}
}

// A sink takes a frame after five seconds. It is stalled for a while, and keeps its connection.
func TestSinkSlow(t *testing.T) {
	r := newReceiver(t, SinkOptions{})
	r.offer("a", 100)
	r.endDial(true)
	r.advance(5 * second)
	r.wantState(Stalled)
	r.receive()
	r.wantState(Idle)
	if !r.open || len(r.reports) != 2 {
		t.Error(r.open, r.reports)
	}
}

// The connection is reset between the two frames of a batch. The whole batch is sent again: the receiver may hold half
// a line.
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
		t.Error(r.received, r.sink.Stats())
	}
}

// The broker shuts down while a sink backs off. What waits is sent at once, since the deadline leaves time.
func TestSinkShutdownWhileBackingOff(t *testing.T) {
	r := newReceiver(t, SinkOptions{MinBackoff: 30 * second})
	r.offer("a", 10)
	r.endDial(false)
	r.send(Shutdown{Deadline: r.now + second})
	r.endDial(true)
	r.receive()
	if !r.finished || r.sink.Stats().Sent != 1 {
		t.Error("the last batch was not sent", r.sink.Stats())
	}
}

// The broker shuts down while a sink is stalled. At the deadline its batches are dropped and counted, and it ends.
func TestSinkShutdownWhileStalled(t *testing.T) {
	r := newReceiver(t, SinkOptions{})
	r.offer("a", 10)
	r.offer("b", 10)
	r.endDial(true)
	r.send(Shutdown{Deadline: r.now + second})
	r.advance(second)
	stats := r.sink.Stats()
	if !r.finished || r.open || stats.Dropped != 2 || stats.QueueBytes != 0 || stats.State != Closed {
		t.Error("a stalled sink holds up the end", stats)
	}
}

// Batches, answers, resets and the passing of time come in any order. There is one dial or write at a time, the bounds
// hold, and every batch is sent, dropped or waiting.
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
		t.Fatalf("%d offered, %d wait, %+v", offered, waiting, stats)
	}
	r.send(Shutdown{Deadline: r.now + 5*second})
	r.advance(6 * second)
	stats = r.sink.Stats()
	if !r.finished || stats.QueueBytes != 0 || stats.Sent+stats.Dropped != offered {
		t.Fatalf("%+v of %d", stats, offered)
	}
}
