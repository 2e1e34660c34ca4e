package broker

import (
	"fmt"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

// keyedClasses are classes whose nodes drop repeats of a request with an idempotency key, by scope and window.
var keyedClasses = []struct {
	name  string
	class scheduler.Class
}{
	{"shard scope, window as long as the deadline", scheduler.Class{
		LatencyObjective: 600 * time.Millisecond,
		Deadline:         4 * time.Second,
		Scope:            scheduler.ScopeShard,
		DedupWindow:      4 * time.Second,
	}},
	{"shard scope, short window", scheduler.Class{
		LatencyObjective: 500 * time.Millisecond,
		Deadline:         1200 * time.Millisecond,
		Scope:            scheduler.ScopeShard,
		DedupWindow:      300 * time.Millisecond,
	}},
	{"zone scope, short window", scheduler.Class{
		LatencyObjective: 200 * time.Millisecond,
		Deadline:         900 * time.Millisecond,
		Scope:            scheduler.ScopeZone,
		DedupWindow:      150 * time.Millisecond,
	}},
	{"scope of all nodes, short window", scheduler.Class{
		LatencyObjective: 200 * time.Millisecond,
		Deadline:         900 * time.Millisecond,
		Scope:            scheduler.ScopeAll,
		DedupWindow:      150 * time.Millisecond,
	}},
}

// retryCase describes when the first attempt of a request breaks and when a retry is answered.
type retryCase struct {
	name       string
	brokenAt   float64 // when the first attempt breaks, as a fraction of span
	answeredIn float64 // time from there to the retry's answer, as a fraction of span; 0: no answer
	// between is called just before the first attempt breaks, unless it is nil.
	between    func(h *harness, settings scheduler.Settings)
	maxRetries int
	served     bool
}

var retryCases = []retryCase{
	{name: "retry answered inside the window", brokenAt: 0.2, answeredIn: 0.6, maxRetries: 1, served: true},
	{name: "retry connected after the window", brokenAt: 0.2, maxRetries: 1},
	{name: "broken just inside the window", brokenAt: 0.97, maxRetries: 1},
	{name: "broken at the end of the window", brokenAt: 1.0001},
	{name: "broken after the window", brokenAt: 1.4},
	{name: "node starts draining", brokenAt: 0.2, between: func(h *harness, _ scheduler.Settings) {
		h.turn(fullList(2, testNode("n1", 0, scheduler.Draining), testNode("n2", 1, scheduler.Ready)))
	}},
	{name: "settings are repeated", brokenAt: 0.2, maxRetries: 1, between: func(h *harness, s scheduler.Settings) {
		h.turn(SettingsChanged{Settings: s})
	}},
	{name: "class vanishes", brokenAt: 0.2, maxRetries: 1, between: func(h *harness, s scheduler.Settings) {
		s.Classes = s.Classes[:len(s.Classes)-1]
		h.turn(SettingsChanged{Settings: s, Generation: 2})
	}},
}

// The connection of a request with an idempotency key breaks after the request may have run. The request may be
// retried only within the idempotency window and within the scope of its key. The cases cover the scheduler's decision
// on the retry, a retry whose connection is established late, and a list or new settings that arrive before the first
// connection breaks. A retry that is written after the window would run a second time at the node.
func TestRetryWithinIdempotencyWindow(t *testing.T) {
	for _, keyed := range keyedClasses {
		for _, c := range retryCases {
			t.Run(fmt.Sprint(keyed.name, ", ", c.name), func(t *testing.T) {
				class := keyed.class
				class.Name = "put"
				class.PriorityWeight = 2
				class.Idempotency = scheduler.IdempotentWithKey
				c.check(t, class)
			})
		}
	}
}

func (c retryCase) check(t *testing.T, class scheduler.Class) {
	t.Helper()
	settings := testSettings()
	settings.Classes = append(settings.Classes, class)
	h := newEmptyHarness(t, settings)
	window := MicrosOf(class.DedupWindow)
	end := h.now + window
	c.breakFirst(h, class, settings)
	c.answerSecond(h, class)
	// From now on nodes no longer drop repeats, so an attempt that is not fully written must not continue.
	h.advance(max(0, end+1-h.now))
	open := len(h.starts) == 2 && !c.served && len(h.responses[1]) == 0
	if open && len(h.canceled)+len(h.stops) == 0 {
		t.Errorf("the retry is neither answered, canceled nor stopped at the end of the window")
	}
	if len(h.canceled) > 0 {
		h.turn(AttemptEnded{1, 1, broken(NotConnected)})
	}
	for _, stop := range h.stops {
		h.turn(AttemptStopped{stop.ID, stop.Number, NotConnected})
	}
	h.advance(MicrosOf(class.Deadline) + Second)
	c.checkEnd(h, class)
}

// span is the time of which brokenAt and answeredIn are fractions. For a retry that must be served, it is at most the
// latency objective.
func (c retryCase) span(class scheduler.Class) Micros {
	if c.served {
		return min(MicrosOf(class.DedupWindow), MicrosOf(class.LatencyObjective))
	}
	return MicrosOf(class.DedupWindow)
}

// breakFirst sends a request and breaks its first attempt after the attempt was fully written.
func (c retryCase) breakFirst(h *harness, class scheduler.Class, settings scheduler.Settings) {
	h.Helper()
	n1 := testNode("n1", 0, scheduler.Ready)
	n2 := testNode("n2", 1, scheduler.Ready)
	n1.Zone = "a"
	n2.Zone = "b"
	h.turn(fullList(1, n1, n2))
	request := testRequest(class.Name, 0)
	request.Timeout = MicrosOf(class.Deadline)
	request.Write = true
	h.turn(RequestArrived{ID: 1, Request: request})
	if len(h.starts) != 1 {
		h.Fatalf("%d attempts started on arrival, want 1", len(h.starts))
	}
	h.advance(Micros(c.brokenAt * float64(c.span(class))))
	if c.between != nil {
		c.between(h, settings)
	}
	if len(h.responses[1]) == 0 {
		h.turn(AttemptEnded{1, 0, broken(FullyWritten)})
	}
}

func (c retryCase) answerSecond(h *harness, class scheduler.Class) {
	h.advance(Micros(c.answeredIn * float64(c.span(class))))
	if len(h.starts) > 1 && c.answeredIn > 0 {
		h.turn(AttemptEnded{1, 1, served("v")})
	}
}

func (c retryCase) checkEnd(h *harness, class scheduler.Class) {
	h.Helper()
	if n := len(h.starts) - 1; n > c.maxRetries || c.served && n != 1 {
		h.Errorf("%d retries, want at most %d, and exactly 1 if served (%v)", n, c.maxRetries, c.served)
	}
	for _, s := range h.starts[1:] {
		if s.Attempt.Node != "n1" {
			h.Errorf("retry sent to %s, want n1", s.Attempt.Node)
		}
	}
	want := Failed
	switch {
	case c.served:
		want = Served
	case class.Scope == scheduler.ScopeAll && len(h.responses[1]) == 1 && h.responses[1][0].Verdict == Rejected:
		want = Rejected // a repeat by the client is safe, because all nodes drop it
	}
	h.response(1, want)
}
