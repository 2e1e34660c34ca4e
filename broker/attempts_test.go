package broker

import "testing"

// A connection breaks. A request that is not idempotent is sent again only if the attempt proves never to have run.
func TestRetryOnlyIfNotExecuted(t *testing.T) {
	for progress, retried := range map[Progress]bool{NotConnected: true, PartiallyWritten: true, FullyWritten: false} {
		t.Run(progress.String(), func(t *testing.T) {
			h := newHarness(t)
			h.turn(RequestArrived{ID: 1, Request: testRequest("write", 0)})
			h.turn(AttemptEnded{1, 0, broken(progress)})
			h.advance(200_000)
			if got := len(h.starts) == 2; got != retried {
				t.Errorf("sent %d times", len(h.starts))
			}
			if !retried {
				h.response(1, Failed)
			}
		})
	}
}

// A client disconnects while the connection for its request comes up. What it asked for is not sent on, however late
// that is, and the attempt's end says nothing of the node: the next request goes there at once. The attempt may be
// fully written as it is cancelled.
func TestCancelledBeforeItIsSent(t *testing.T) {
	for _, progress := range []Progress{NotConnected, PartiallyWritten, FullyWritten} {
		t.Run(progress.String(), func(t *testing.T) {
			h := newHarness(t)
			h.turn(RequestArrived{ID: 1, Request: testRequest("write", 0)})
			h.turn(RequestCancelled{1})
			if len(h.canceled) != 1 || h.canceled[0] != (CancelUnlessWritten{1, 0}) {
				t.Fatalf("%+v", h.canceled)
			}
			h.turn(AttemptEnded{1, 0, broken(progress)})
			h.turn(RequestArrived{ID: 2, Request: testRequest("write", 0)})
			if len(h.starts) != 2 || h.starts[1].ID != 2 {
				t.Errorf("%d sent", len(h.starts))
			}
		})
	}
}

// The broker's own waits are not the node's time: a busy broker must not think sound nodes slow, and give them less
// load.
func TestNodeTimeExcludesSchedulingLag(t *testing.T) {
	h := newHarness(t)
	for _, c := range []struct{ lag, took, want Micros }{{0, 9000, 9000}, {1000, 9000, 5000}, {8000, 9000, 900}} {
		h.state.schedulingLag = c.lag
		if got := h.state.timeAtNode(c.took); got != c.want {
			t.Errorf("a lag of %d, %d us: %d", c.lag, c.took, got)
		}
	}
	h.state.schedulingLag = 0
	for range 40 {
		h.turn(LagMeasured{Waited: 2000})
	}
	if h.state.schedulingLag < 1900 || h.state.schedulingLag > 2000 {
		t.Errorf("a lag of %d us", h.state.schedulingLag)
	}
}
