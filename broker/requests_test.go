package broker

import (
	"testing"

	"junctionwharf/scheduler"
)

// A node answers a request. Its client gets the one answer, and nothing is kept of the request.
func TestServedRequestIsAnsweredOnceAndForgotten(t *testing.T) {
	h := newHarness(t)
	h.turn(RequestArrived{ID: 1, Request: testRequest("read", 0)})
	if len(h.starts) != 1 || h.starts[0].Attempt.Node != "n1" || h.starts[0].Attempt.Timeout != 750_000 {
		t.Fatalf("%+v", h.starts)
	}
	h.now += 20_000
	h.turn(AttemptEnded{1, 0, served("v")})
	if response := h.response(1, Served); response.Value != "v" {
		t.Errorf("%+v", response)
	}
	h.advance(2 * Second)
	h.response(1, Served)
	if len(h.state.requests) != 0 {
		t.Error("the request is not forgotten")
	}
}

// No node can serve a request. It is answered before its client gives up, with advice when to come again.
func TestRejectedWithoutNode(t *testing.T) {
	h := newHarness(t)
	h.turn(RequestArrived{ID: 1, Request: testRequest("read", 7)})
	h.advance(750_000)
	if response := h.response(1, Rejected); response.RetryAfter <= 0 {
		t.Errorf("%+v names no time to come again", response)
	}
	if len(h.starts) > 0 {
		t.Error("it was sent")
	}
}

// A client leaves while its attempt is in flight. The node's answer goes to nobody, and nothing is kept or sent again.
func TestCancelledRequestGetsNoAnswer(t *testing.T) {
	h := newHarness(t)
	h.turn(RequestArrived{ID: 1, Request: testRequest("read", 0)})
	h.turn(RequestCancelled{1})
	h.turn(AttemptEnded{1, 0, served("v")})
	h.advance(Second)
	if len(h.responses) > 0 || len(h.state.requests) > 0 || len(h.starts) != 1 {
		t.Errorf("%+v, %d kept, %d sent", h.responses, len(h.state.requests), len(h.starts))
	}
}

// The deadline ends an attempt however far it came, and its late answer finds no one.
func TestStoppedAtDeadline(t *testing.T) {
	for _, progress := range []Progress{NotConnected, PartiallyWritten, FullyWritten} {
		t.Run(progress.String(), func(t *testing.T) {
			h := newHarness(t)
			h.turn(RequestArrived{ID: 1, Request: testRequest("write", 0)})
			h.advance(1_200_000)
			if len(h.stops) != 1 || h.now != clockStart+1_200_000 {
				t.Fatalf("%d stops", len(h.stops))
			}
			r := h.state.requests[1]
			if r == nil || !r.stopped || r.stopReason != scheduler.TimedOut {
				t.Fatalf("%+v", r)
			}
			h.turn(AttemptStopped{1, 0, progress})
			h.response(1, Failed)
			h.turn(AttemptEnded{1, 0, Result{Value: "late"}}) // was on its way
			h.response(1, Failed)
		})
	}
}

// The process ends. All that is owed is answered: a request that may have run and is not idempotent has failed, and
// what was never sent, or is idempotent, may come again. So is what still comes on connections that stayed open.
func TestShutdownAnswersAll(t *testing.T) {
	h := newHarness(t)
	h.turn(
		RequestArrived{ID: 1, Request: testRequest("write", 0)},
		RequestArrived{ID: 2, Request: testRequest("read", 0)},
		RequestArrived{ID: 3, Request: testRequest("read", 7)})
	h.turn(ShuttingDown{})
	if len(h.stops) != 2 {
		t.Fatalf("%d attempts stopped", len(h.stops))
	}
	h.turn(AttemptStopped{1, 0, FullyWritten}, AttemptStopped{2, 0, FullyWritten})
	h.response(1, Failed)
	h.response(2, Rejected)
	h.response(3, Rejected)
	h.turn(RequestArrived{ID: 4, Request: testRequest("write", 0)})
	h.response(4, Rejected)
	h.advance(Second)
	if len(h.state.requests) > 0 || len(h.starts) != 2 {
		t.Errorf("%d kept, %d sent", len(h.state.requests), len(h.starts))
	}
}

// A busy loop hears of a request late. It has that much less time: the attempt is told what is left, and the answer is
// due as long after the request came as its client waits. One whose time was up by then is answered at once and
// never sent.
func TestTimeRunsFromArrival(t *testing.T) {
	h := newHarness(t)
	request := testRequest("read", 0)
	arrivedAt := h.now
	h.now += request.Timeout / 4
	h.turn(RequestArrived{ID: 1, Request: request, At: arrivedAt})
	if len(h.starts) != 1 || h.starts[0].Attempt.Timeout != request.Timeout*3/4 {
		t.Fatalf("%+v", h.starts)
	}
	if at, ok := h.state.Next(); !ok || at > arrivedAt+request.Timeout {
		t.Errorf("looked at again at %v", at)
	}
	h.turn(RequestArrived{ID: 2, Request: request, At: h.now - 2*request.Timeout})
	h.now++
	h.turn()
	if len(h.starts) != 1 || len(h.responses[2]) != 1 {
		t.Errorf("%d starts, %+v", len(h.starts), h.responses)
	}
}

// Demand for a shared volume is told to its aggregator; of four volumes this broker does not aggregate all.
func TestDemandIsGossiped(t *testing.T) {
	h := newHarness(t)
	for i := range uint64(40) {
		request := testRequest("read", 1)
		request.Brokers = 2
		request.Volume = []string{"v", "w", "x", "y"}[i%4]
		h.turn(RequestArrived{ID: i + 1, Request: request})
		h.advance(25_000)
	}
	for _, e := range h.effects {
		message, is := e.(SendToPeer)
		if is && len(message.Data) > 0 && len(message.Data) <= 256 && message.Peer == 1 {
			return
		}
	}
	t.Error("no peer was told")
}
