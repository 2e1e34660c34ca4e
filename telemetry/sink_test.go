package telemetry

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
)

// receiver plays a sink's driver and the receiver behind it, on a given clock.
type receiver struct {
	t    *testing.T
	s    *Sink
	now  Micros
	open bool
	out  []byte   // the frame under way, nil for none
	got  []string // whole frames
	log  []string
	dial bool
	over bool
}

func newReceiver(t *testing.T, opt SinkOptions) *receiver {
	return &receiver{t: t, s: NewSink(opt, 7)}
}

func (r *receiver) tell(e SinkEvent) {
	r.t.Helper()
	for _, effect := range r.s.Reduce(r.now, e) {
		if r.over {
			r.t.Fatalf("%T after Over", effect)
		}
		switch e := effect.(type) {
		case Dial:
			if r.open || r.dial {
				r.t.Fatal("dialled twice")
			}
			r.dial = true
		case Write:
			if !r.open || r.out != nil {
				r.t.Fatal("a write without a connection, or beside another")
			}
			r.out = e.Frame
		case Disconnect:
			r.open, r.dial, r.out = false, false, nil
		case ReportUnavailable:
			r.log = append(r.log, "lost: "+e.Reason)
		case ReportRecovered:
			r.log = append(r.log, "back")
		case Finished:
			r.over = true
		}
	}
	if f := r.s.Stats(); f.QueueBytes < 0 || f.QueueBytes > r.s.opt.QueueBytes {
		r.t.Fatalf("%d bytes wait, bound %d", f.QueueBytes, r.s.opt.QueueBytes)
	}
}

func (r *receiver) offer(name string, size int) {
	r.tell(BatchOffered{Batch{[][]byte{append([]byte(name), make([]byte, size-len(name))...)}}})
}

func (r *receiver) answer(up bool) {
	r.dial, r.open = false, up
	if up {
		r.tell(Connected{})
	} else {
		r.tell(ConnectionFailed{errors.New("refused")})
	}
}

func (r *receiver) take() {
	frame := r.out
	r.out = nil
	r.got = append(r.got, string(frame[:1]))
	r.tell(FrameWritten{})
}

// pass lets time pass up to a point, with every call that Next asks for.
func (r *receiver) pass(span Micros) {
	for end := r.now + span; ; {
		at, any := r.s.Next()
		if !any || at > end {
			r.now = end
			return
		}
		r.now = max(r.now, at)
		r.tell(nil)
	}
}

func (r *receiver) state(want SinkState) {
	r.t.Helper()
	if got := r.s.Stats().State; got != want {
		r.t.Fatalf("the sink is %v, want %v", got, want)
	}
}

// A sink that is there gets every interval, on one connection.
func TestSinkHealthy(t *testing.T) {
	r := newReceiver(t, SinkOptions{})
	for _, name := range []string{"a", "b", "c"} {
		r.offer(name, 100)
		if r.dial {
			r.answer(true)
		}
		r.state(Sending)
		r.take()
		r.state(Idle)
		r.pass(10e6)
	}
	if fmt.Sprint(r.got, r.log) != "[a b c] []" || r.s.Stats().Sent != 3 {
		t.Error(r.got, r.log, r.s.Stats())
	}
}

// A sink that is absent at the start and comes later gets what the queue held, in order and paced; the oldest intervals
// were dropped whole and counted, and people heard once of either.
func TestSinkComesLate(t *testing.T) {
	r := newReceiver(t, SinkOptions{QueueBytes: 350, BytesPerSecond: 100})
	rests := 0
	for i := range 6 {
		r.offer(string(rune('a'+i)), 100)
		for range 10 {
			if r.dial {
				r.answer(false)
				rests++
			}
			r.pass(1e6)
		}
	}
	for !r.dial {
		r.pass(1e6)
	}
	r.answer(true)
	began := r.now
	for range 3 {
		for r.out == nil {
			r.pass(1e5)
		}
		r.take()
	}
	if fmt.Sprint(r.got) != "[d e f]" || fmt.Sprint(r.log) != "[lost: refused back]" || r.s.Stats().Dropped != 3 || rests < 3 {
		t.Error(r.got, r.log, r.s.Stats(), rests)
	}
	if r.now-began < 2e6 {
		t.Errorf("300 bytes at 100 a second took %d µs", r.now-began)
	}
}

// Rests grow up to the bound, with jitter, and start anew after a success.
func TestSinkRests(t *testing.T) {
	r := newReceiver(t, SinkOptions{MinBackoff: 1e6, MaxBackoff: 20e6})
	r.offer("a", 10)
	longest := Micros(0)
	for range 50 {
		began := r.now
		r.answer(false)
		for !r.dial {
			r.pass(1e5)
		}
		rest := r.now - began
		if rest < 1e6 || rest > 20e6+1e5 {
			t.Fatalf("a rest of %d µs", rest)
		}
		longest = max(longest, rest)
	}
	if longest < 10e6 {
		t.Errorf("the longest of 50 rests took %d µs", longest)
	}
	r.answer(true)
	r.take()
	r.open = false
	r.tell(ConnectionFailed{errors.New("reset")})
	began := r.now
	r.offer("b", 10)
	for !r.dial {
		r.pass(1e5)
	}
	if r.now-began > 3e6+1e5 {
		t.Errorf("a rest of %d µs after a success", r.now-began)
	}
}

// A sink that accepts and never reads is stalled, then given up; what it may not have got is sent again.
func TestSinkNeverReads(t *testing.T) {
	r := newReceiver(t, SinkOptions{ResendLast: true, MaxBackoff: 1e6})
	r.offer("a", 100)
	r.answer(true)
	r.take()
	r.offer("b", 100)
	r.pass(2.5e6)
	r.state(Stalled)
	r.pass(8e6)
	if r.open || !r.dial && r.s.Stats().State != BackingOff {
		t.Fatalf("it still waits: %+v", r.s.Stats())
	}
	for !r.dial {
		r.pass(1e5)
	}
	r.answer(true)
	for range 2 {
		for r.out == nil {
			r.pass(1e5)
		}
		r.take()
	}
	if f := r.s.Stats(); fmt.Sprint(r.got) != "[a a b]" || f.Sent != 2 || f.Dropped != 0 || len(r.log) != 2 {
		t.Error(r.got, r.log, f)
	}
}

// One that takes each frame late is stalled for a while, and keeps its connection.
func TestSinkSlow(t *testing.T) {
	r := newReceiver(t, SinkOptions{})
	r.offer("a", 100)
	r.answer(true)
	r.pass(5e6)
	r.state(Stalled)
	r.take()
	r.state(Idle)
	if !r.open || len(r.log) != 2 {
		t.Error(r.open, r.log)
	}
}

// A reset between the frames of an interval has the whole interval sent again: a receiver may hold half a line.
func TestSinkResetMidInterval(t *testing.T) {
	r := newReceiver(t, SinkOptions{MaxBackoff: 1e6})
	r.tell(BatchOffered{Batch{[][]byte{[]byte("x1"), []byte("y2")}}})
	r.answer(true)
	r.take()
	r.out, r.open = nil, false
	r.tell(ConnectionFailed{errors.New("reset")})
	for !r.dial {
		r.pass(1e5)
	}
	r.answer(true)
	r.take()
	r.take()
	if fmt.Sprint(r.got) != "[x x y]" || r.s.Stats().Sent != 1 {
		t.Error(r.got, r.s.Stats())
	}
}

// At the end what waits is sent if there is time, also out of a rest; else it is dropped and counted.
func TestSinkFinish(t *testing.T) {
	r := newReceiver(t, SinkOptions{MinBackoff: 30e6})
	r.offer("a", 10)
	r.answer(false)
	r.tell(Shutdown{Deadline: r.now + 1e6})
	r.answer(true)
	r.take()
	if !r.over || r.s.Stats().Sent != 1 {
		t.Error("the last interval was not sent", r.s.Stats())
	}
	r = newReceiver(t, SinkOptions{})
	r.offer("a", 10)
	r.offer("b", 10)
	r.answer(true)
	r.tell(Shutdown{Deadline: r.now + 1e6})
	r.pass(1e6)
	if f := r.s.Stats(); !r.over || r.open || f.Dropped != 2 || f.QueueBytes != 0 || f.State != Closed {
		t.Error("a stalled sink holds up the end", f)
	}
}

// Whatever happens in whatever order: one dial or write at a time, bounds kept, every interval sent, dropped or waiting.
func TestSinkAnyOrder(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 5))
		opt := SinkOptions{QueueBytes: 500, PaceEveryBatch: seed%2 == 0, ResendLast: seed%3 == 0}
		r := newReceiver(t, opt)
		offered := uint64(0)
		for range 400 {
			r.now += random.Int64N(1e6)
			switch random.IntN(6) {
			case 0:
				offered++
				r.offer("i", 10+random.IntN(200))
			case 1:
				if r.dial {
					r.answer(random.IntN(2) == 0)
				}
			case 2:
				if r.out != nil {
					r.take()
				}
			case 3:
				if r.open && random.IntN(4) == 0 {
					r.open, r.out = false, nil
					r.tell(ConnectionFailed{errors.New("reset")})
				}
			default:
				r.tell(nil)
			}
		}
		f := r.s.Stats()
		if waiting := uint64(len(r.s.queue)); f.Sent+f.Dropped+waiting != offered {
			t.Fatalf("seed %d: %d offered, %d sent, %d dropped, %d wait", seed, offered, f.Sent, f.Dropped, waiting)
		}
		r.tell(Shutdown{Deadline: r.now + 5e6})
		r.pass(6e6)
		if f = r.s.Stats(); !r.over || f.QueueBytes != 0 || f.Sent+f.Dropped != offered {
			t.Fatalf("seed %d: %+v of %d", seed, f, offered)
		}
	}
}
