package telemetry

import (
	"errors"
	"testing"
)

// fakeReceiver simulates the driver of a sink and the receiver, with its own clock.
type fakeReceiver struct {
	t        *testing.T
	sink     *Sink
	now      Micros
	dialling bool
	open     bool
	frame    []byte   // the frame in progress, nil for none
	received []string // the first byte of each whole frame
	reports  []string // reports to operators
	finished bool
}

func newReceiver(t *testing.T, options SinkOptions) *fakeReceiver {
	t.Helper()
	return &fakeReceiver{t: t, sink: NewSink(options, 7)}
}

// send passes an event to the sink and carries out the effects. It checks that there is at most one dial or write at a
// time, that no effect follows Finished, and that the queue stays within its bound.
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
		r.t.Fatalf("%d bytes are queued, want at most %d", stats.QueueBytes, r.sink.options.QueueBytes)
	}
}

func (r *fakeReceiver) carryOut(effect SinkEffect) {
	r.t.Helper()
	switch e := effect.(type) {
	case Dial:
		if r.open || r.dialling {
			r.t.Fatal("dial while connected or during another dial")
		}
		r.dialling = true
	case Write:
		if !r.open || r.frame != nil {
			r.t.Fatal("write without a connection or during another write")
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

// endDial ends the dial in progress with a success or a failure.
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

// resetConnection ends the connection and drops the frame in progress.
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

// advance moves the clock forward and calls the sink at each time that Next returns.
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

// awaitDial moves the clock forward until the sink dials, and returns how long that took.
func (r *fakeReceiver) awaitDial() Micros {
	r.t.Helper()
	began := r.now
	for !r.dialling {
		r.advance(second / 10)
	}
	return r.now - began
}

// awaitFrame moves the clock forward until the sink writes.
func (r *fakeReceiver) awaitFrame() {
	r.t.Helper()
	for r.frame == nil {
		r.advance(second / 10)
	}
}

func (r *fakeReceiver) wantState(want SinkState) {
	r.t.Helper()
	if got := r.sink.Stats().State; got != want {
		r.t.Fatalf("state of the sink: got %v, want %v", got, want)
	}
}
