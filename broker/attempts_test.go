package broker

import "testing"

// After a broken connection, a request that is not idempotent is retried only if the attempt cannot have run.
func TestRetryOnlyIfNotExecuted(t *testing.T) {
	for progress, retried := range map[Progress]bool{NotConnected: true, PartiallyWritten: true, FullyWritten: false} {
		t.Run(progress.String(), func(t *testing.T) {
			h := newHarness(t)
			h.turn(RequestArrived{ID: 1, Request: testRequest("write", 0)})
			h.turn(AttemptEnded{1, 0, broken(progress)})
			h.advance(200_000)
			if got := len(h.starts) == 2; got != retried {
				t.Errorf("retried is %v, want %v: %d attempts started", got, retried, len(h.starts))
			}
			if !retried {
				h.response(1, Failed)
			}
		})
	}
}

// A client disconnects while the connection for its request is being established. The attempt is canceled, and the
// error with which it ends does not count against the node: the next request is sent there immediately. This holds
// even if the request was partly or fully written before the cancellation.
func TestCancelledBeforeItIsSent(t *testing.T) {
	for _, progress := range []Progress{NotConnected, PartiallyWritten, FullyWritten} {
		t.Run(progress.String(), func(t *testing.T) {
			h := newHarness(t)
			h.turn(RequestArrived{ID: 1, Request: testRequest("write", 0)})
			h.turn(RequestCancelled{1})
			if len(h.canceled) != 1 || h.canceled[0] != (CancelUnlessWritten{1, 0}) {
				t.Fatalf("canceled attempts: %+v, want attempt 0 of request 1", h.canceled)
			}
			h.turn(AttemptEnded{1, 0, broken(progress)})
			h.turn(RequestArrived{ID: 2, Request: testRequest("write", 0)})
			if len(h.starts) != 2 || h.starts[1].ID != 2 {
				t.Errorf("attempts started: %+v, want one of each request", h.starts)
			}
		})
	}
}

// The time that an attempt waits for a processor in the broker does not count as the node's time. Otherwise a busy
// broker would consider healthy nodes slow and send them less load.
func TestNodeTimeExcludesSchedulingLag(t *testing.T) {
	h := newHarness(t)
	for _, c := range []struct{ lag, took, want Micros }{{0, 9000, 9000}, {1000, 9000, 5000}, {8000, 9000, 900}} {
		h.state.schedulingLag = c.lag
		if got := h.state.timeAtNode(c.took); got != c.want {
			t.Errorf("lag %d µs, attempt of %d µs: node time %d µs, want %d µs", c.lag, c.took, got, c.want)
		}
	}
	h.state.schedulingLag = 0
	for range 40 {
		h.turn(LagMeasured{Waited: 2000})
	}
	if h.state.schedulingLag < 1900 || h.state.schedulingLag > 2000 {
		t.Errorf("mean lag %d µs after 40 measurements of 2000 µs, want 1900 to 2000 µs", h.state.schedulingLag)
	}
}
