package broker

import (
	"testing"

	"junctionwharf/scheduler"
)

// A node serves a request. The client gets exactly one answer, and the request's state is dropped.
func TestServedRequestIsAnsweredOnceAndForgotten(t *testing.T) {
	h := newHarness(t)
	h.turn(RequestArrived{ID: 1, Request: testRequest("read", 0)})
	if len(h.starts) != 1 || h.starts[0].Attempt.Node != "n1" || h.starts[0].Attempt.Timeout != 750_000 {
		t.Fatalf("attempts started: %+v, want one at n1 with a timeout of 750000 µs", h.starts)
	}
	h.now += 20_000
	h.turn(AttemptEnded{1, 0, served("v")})
	if response := h.response(1, Served); response.Value != "v" {
		t.Errorf("response %+v, want the value \"v\"", response)
	}
	h.advance(2 * Second)
	h.response(1, Served)
	if len(h.state.requests) != 0 {
		t.Errorf("%d request states are kept, want 0", len(h.state.requests))
	}
}

// A request that no node can serve is rejected before its deadline, with advice when to retry.
func TestRejectedWithoutNode(t *testing.T) {
	h := newHarness(t)
	h.turn(RequestArrived{ID: 1, Request: testRequest("read", 7)})
	h.advance(750_000)
	if response := h.response(1, Rejected); response.RetryAfter <= 0 {
		t.Errorf("response %+v, want RetryAfter above 0", response)
	}
	if len(h.starts) > 0 {
		t.Error("the request was sent to a node")
	}
}

// A client disconnects while an attempt is in flight. The node's answer does not reach the client, the request's state
// is dropped, and the request is not retried.
func TestCancelledRequestGetsNoAnswer(t *testing.T) {
	h := newHarness(t)
	h.turn(RequestArrived{ID: 1, Request: testRequest("read", 0)})
	h.turn(RequestCancelled{1})
	h.turn(AttemptEnded{1, 0, served("v")})
	h.advance(Second)
	if len(h.responses) > 0 || len(h.state.requests) > 0 || len(h.starts) != 1 {
		t.Errorf("responses %+v, %d requests kept, %d attempts, want none, 0 and 1",
			h.responses, len(h.state.requests), len(h.starts))
	}
}

// An attempt in flight is stopped by the deadline, and the request fails, even if the request was not written. A result
// that is handled after the stop has no effect.
func TestStoppedAtDeadline(t *testing.T) {
	for _, progress := range []Progress{NotConnected, PartiallyWritten, FullyWritten} {
		t.Run(progress.String(), func(t *testing.T) {
			h := newHarness(t)
			h.turn(RequestArrived{ID: 1, Request: testRequest("write", 0)})
			h.advance(1_200_000)
			if len(h.stops) != 1 || h.now != clockStart+1_200_000 {
				t.Fatalf("%d attempts stopped by the time %d, want 1 by %d", len(h.stops), h.now, clockStart+1_200_000)
			}
			r := h.state.requests[1]
			if r == nil || !r.stopped || r.stopReason != scheduler.TimedOut {
				t.Fatalf("request state %+v, want one that is stopped because of TimedOut", r)
			}
			h.turn(AttemptStopped{1, 0, progress})
			h.response(1, Failed)
			// The result was already queued when the attempt was stopped.
			h.turn(AttemptEnded{1, 0, Result{Value: "late"}})
			h.response(1, Failed)
		})
	}
}

// All open requests are answered when the process shuts down. If the attempt in flight may have run, the request fails,
// unless the request is idempotent. Idempotent requests with an attempt in flight, and requests that were never sent,
// are rejected, so that clients may retry them. Requests that arrive later on open connections are rejected, too.
func TestShutdownAnswersAll(t *testing.T) {
	h := newHarness(t)
	h.turn(
		RequestArrived{ID: 1, Request: testRequest("write", 0)},
		RequestArrived{ID: 2, Request: testRequest("read", 0)},
		RequestArrived{ID: 3, Request: testRequest("read", 7)})
	h.turn(ShuttingDown{})
	if len(h.stops) != 2 {
		t.Fatalf("%d attempts stopped, want 2", len(h.stops))
	}
	h.turn(AttemptStopped{1, 0, FullyWritten}, AttemptStopped{2, 0, FullyWritten})
	h.response(1, Failed)
	h.response(2, Rejected)
	h.response(3, Rejected)
	h.turn(RequestArrived{ID: 4, Request: testRequest("write", 0)})
	h.response(4, Rejected)
	h.advance(Second)
	if len(h.state.requests) > 0 || len(h.starts) != 2 {
		t.Errorf("%d requests kept and %d attempts started, want 0 and 2", len(h.state.requests), len(h.starts))
	}
}

// The broker's loop is overloaded and handles an arrival late. The client's timeout runs from the arrival: the attempt
// gets only the remaining time, and the next turn is due no later than one timeout after the arrival. A request whose
// deadline has passed before the loop handles it is answered at most one turn and 1 µs later, and is not sent.
func TestTimeRunsFromArrival(t *testing.T) {
	h := newHarness(t)
	request := testRequest("read", 0)
	arrivedAt := h.now
	h.now += request.Timeout / 4
	h.turn(RequestArrived{ID: 1, Request: request, At: arrivedAt})
	if len(h.starts) != 1 || h.starts[0].Attempt.Timeout != request.Timeout*3/4 {
		t.Fatalf("attempts started: %+v, want one with a timeout of %d µs", h.starts, request.Timeout*3/4)
	}
	if at, ok := h.state.Next(); !ok || at > arrivedAt+request.Timeout {
		t.Errorf("next turn at %d (scheduled: %v), want one at %d or earlier", at, ok, arrivedAt+request.Timeout)
	}
	h.turn(RequestArrived{ID: 2, Request: request, At: h.now - 2*request.Timeout})
	h.now++
	h.turn()
	if len(h.starts) != 1 || len(h.responses[2]) != 1 {
		t.Errorf("%d attempts and responses %+v, want 1 and one response to request 2", len(h.starts), h.responses)
	}
}

// A broker that receives requests for volumes whose requests also arrive through another broker sends peer 1 a message
// of 1 to 256 bytes. Peer 1 sums the demand for at least one of the four volumes (see scheduler/demand.go).
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
	t.Error("no message of 1 to 256 bytes was sent to peer 1")
}

// A node serves a request, but the broker has no memory for the value. The client gets one answer without a value. It
// may send the request again only if its class is idempotent.
func TestValueDiscarded(t *testing.T) {
	for class, want := range map[string]Verdict{"read": Rejected, "write": Failed} {
		t.Run(class, func(t *testing.T) {
			h := newHarness(t)
			h.turn(RequestArrived{ID: 1, Request: testRequest(class, 0)})
			h.turn(AttemptEnded{1, 0, Result{ValueDiscarded: true, Load: scheduler.NoLoadReport}})
			h.advance(2 * Second)
			h.response(1, want)
			if len(h.starts) != 1 || len(h.state.requests) != 0 {
				t.Errorf("%d attempts, %d requests kept, want 1 and 0", len(h.starts), len(h.state.requests))
			}
		})
	}
}
