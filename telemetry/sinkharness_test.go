package telemetry

import (
	"errors"
	"testing"
)

// fakeReceiver plays a sink's driver and the receiver behind it, on a clock of its own.
type fakeReceiver struct {
	t        *testing.T
	sink     *Sink
	now      Micros
	dialling bool
	open     bool
	frame    []byte   // the frame in progress, nil for none
	received []string // the first byte of each whole frame
	reports  []string // to operators
	finished bool
}

func newReceiver(t *testing.T, options SinkOptions) *fakeReceiver {
	t.Helper()
	return &fakeReceiver{t: t, sink: NewSink(options, 7)}
}

// send has the sink reduce an event, and carries out the effects. It checks that there is one dial or write at a time,
// that nothing follows Finished, and that the queue keeps to its bound.
func (r *fakeReceiver) send(event SinkEvent) {
	r.t.Helper()
	for _, effect := range r.sink.Reduce(r.now, event) {
		if r.finished {
			r.t.Fatalf("%T after Finished", effect)
		}
		r.carryOut(effect)
	}
	stats := r.sink.Stats()
	if stats.QueueBytes < 0 || stats.QueueBytes > r.sink.options.QueueBytes {
		r.t.Fatalf("%d bytes wait, bound %d", stats.QueueBytes, r.sink.options.QueueBytes)
	}
}

func (r *fakeReceiver) carryOut(effect SinkEffect) {
	r.t.Helper()
	switch e := effect.(type) {
	case Dial:
		if r.open || r.dialling {
			r.t.Fatal("dialled twice")
		}
		r.dialling = true
	case Write:
		if !r.open || r.frame != nil {
			r.t.Fatal("a write without a connection, or beside another")
		}
		r.frame = e.Frame
	case Disconnect:
		r.open = false
		r.dialling = false
		r.frame = nil
	case ReportUnavailable:
		r.reports = append(r.reports, "unavailable: "+e.Reason)
	case ReportRecovered:
		r.reports = append(r.reports, "recovered")
	case Finished:
		r.finished = true
	}
}

// offer offers a batch of one frame.
func (r *fakeReceiver) offer(name string, size int) {
	r.t.Helper()
	frame := append([]byte(name), make([]byte, size-len(name))...)
	r.send(BatchOffered{Batch{Frames: [][]byte{frame}}})
}

// endDial ends the dial in progress.
func (r *fakeReceiver) endDial(succeeds bool) {
	r.t.Helper()
	r.dialling = false
	r.open = succeeds
	if succeeds {
		r.send(Connected{})
	} else {
		r.send(ConnectionFailed{errors.New("refused")})
	}
}

// resetConnection ends the connection, and drops the frame in progress.
func (r *fakeReceiver) resetConnection() {
	r.t.Helper()
	r.open = false
	r.frame = nil
	r.send(ConnectionFailed{errors.New("reset")})
}

// receive reads the frame in progress.
func (r *fakeReceiver) receive() {
	r.t.Helper()
	frame := r.frame
	r.frame = nil
	r.received = append(r.received, string(frame[:1]))
	r.send(FrameWritten{})
}

// advance lets time pass, with every call that Next asks for.
func (r *fakeReceiver) advance(span Micros) {
	r.t.Helper()
	end := r.now + span
	for {
		at, any := r.sink.Next()
		if !any || at > end {
			r.now = end
			return
		}
		r.now = max(r.now, at)
		r.send(nil)
	}
}

// awaitDial lets time pass until the sink dials, and returns how long that took.
func (r *fakeReceiver) awaitDial() Micros {
	r.t.Helper()
	began := r.now
	for !r.dialling {
		r.advance(second / 10)
	}
	return r.now - began
}

// awaitFrame lets time pass until the sink writes.
func (r *fakeReceiver) awaitFrame() {
	r.t.Helper()
	for r.frame == nil {
		r.advance(second / 10)
	}
}

func (r *fakeReceiver) wantState(want SinkState) {
	r.t.Helper()
	if got := r.sink.Stats().State; got != want {
		r.t.Fatalf("the sink is %v, want %v", got, want)
	}
}
