package broker

import (
	"errors"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

// testSettings returns settings with an idempotent class, a class that is not idempotent, and a plan with ample tokens.
func testSettings() scheduler.Settings {
	return scheduler.Settings{
		Brokers:   2,
		MeanUnits: 2,
		MaxUnits:  8,
		Classes: []scheduler.Class{
			{
				Name:             "read",
				LatencyObjective: 150 * time.Millisecond,
				Deadline:         750 * time.Millisecond,
				PriorityWeight:   3,
				Idempotency:      scheduler.Idempotent,
			},
			{
				Name:             "write",
				LatencyObjective: 200 * time.Millisecond,
				Deadline:         1200 * time.Millisecond,
				PriorityWeight:   2,
				Idempotency:      scheduler.NotIdempotent,
			},
		},
		Plans: []scheduler.Plan{{Name: "plan", Rate: 100, ReservedRate: 100, Weight: 1, Price: 1}},
		Capabilities: scheduler.Capabilities{
			MaxAttempts:   3,
			MaxRetryAfter: time.Second,
			RetryAfter:    true,
			Cancel:        true,
			Peers:         true,
		},
		Rules: scheduler.Rules{AnswerSlack: 50 * time.Millisecond, DrainGrace: 2 * time.Second},
	}
}

func newState(t testing.TB, settings scheduler.Settings) *State {
	t.Helper()
	state, err := NewState(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	return state
}

func testNode(name string, shard int, state scheduler.NodeState) Node {
	return Node{
		Endpoint: scheduler.Endpoint{Name: name, Shard: shard, State: state, Weight: 1},
		Address:  "192.0.2.1:" + name,
	}
}

func fullList(version uint64, nodes ...Node) NodesListed {
	return NodesListed{Kind: scheduler.FullUpdate, Version: version, Nodes: nodes}
}

func changedNodes(version uint64, nodes ...Node) NodesListed {
	return NodesListed{Kind: scheduler.DeltaUpdate, Version: version, Nodes: nodes}
}

// testRequest returns a request of a class of testSettings, with the class's deadline as its timeout.
func testRequest(class string, shard int) *Request {
	timeout := Micros(750_000)
	if class == "write" {
		timeout = 1_200_000
	}
	return &Request{
		Class:   class,
		Plan:    "plan",
		Key:     "k",
		Volume:  "v",
		Units:   2,
		Shard:   shard,
		Brokers: 1,
		Timeout: timeout,
		Write:   class == "write",
	}
}

// served is the result of an attempt that a node served.
func served(value any) Result { return Result{Value: value, Load: scheduler.NoLoadReport} }

// broken is the result of an attempt whose connection broke.
func broken(progress Progress) Result {
	return Result{
		Err:  &AttemptError{Progress: progress, Err: errors.New("connection reset")},
		Load: scheduler.NoLoadReport,
	}
}

// harness drives a State with a simulated clock and records its effects.
type harness struct {
	*testing.T
	state     *State
	now       Micros
	responses map[uint64][]Response
	effects   []Effect

	starts    []StartAttempt
	stops     []StopAttempt
	sendStops []StopSending
	canceled  []CancelUnlessWritten
}

// newHarness returns a harness with the node n1 of shard 0 and the node n2 of shard 1.
func newHarness(t *testing.T) *harness {
	t.Helper()
	h := newEmptyHarness(t, testSettings())
	h.turn(fullList(1, testNode("n1", 0, scheduler.Ready), testNode("n2", 1, scheduler.Ready)))
	return h
}

func newEmptyHarness(t *testing.T, settings scheduler.Settings) *harness {
	t.Helper()
	return &harness{
		T:         t,
		state:     newState(t, settings),
		now:       clockStart,
		responses: map[uint64][]Response{},
	}
}

func (h *harness) turn(events ...Event) {
	for _, e := range h.state.Reduce(h.now, events) {
		h.effects = append(h.effects, e)
		switch e := e.(type) {
		case Respond:
			h.responses[e.ID] = append(h.responses[e.ID], e.Response)
		case StartAttempt:
			h.starts = append(h.starts, e)
		case StopAttempt:
			h.stops = append(h.stops, e)
		case StopSending:
			h.sendStops = append(h.sendStops, e)
		case CancelUnlessWritten:
			h.canceled = append(h.canceled, e)
		}
	}
}

// advance moves the clock forward by span and runs a turn at each timer.
func (h *harness) advance(span Micros) {
	for end := h.now + span; ; h.turn() {
		at, ok := h.state.Next()
		if !ok || at > end {
			h.now = end
			return
		}
		h.now = max(h.now, at)
	}
}

// response returns the request's answer. It fails the test unless there is exactly one, with the wanted verdict.
func (h *harness) response(id uint64, want Verdict) Response {
	h.Helper()
	if len(h.responses[id]) != 1 || h.responses[id][0].Verdict != want {
		h.Fatalf("request %d got the answers %+v, want one with verdict %d", id, h.responses[id], want)
	}
	return h.responses[id][0]
}
