package broker

import (
	"fmt"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

// keyedClasses are of deployments whose nodes drop repeats of a request with an idempotency key, each in its own way.
var keyedClasses = []struct {
	name  string
	class scheduler.Class
}{
	{"by cell, for as long as clients wait", scheduler.Class{
		LatencyObjective: 600 * time.Millisecond,
		Deadline:         4 * time.Second,
		Scope:            scheduler.ScopeShard,
		DedupWindow:      4 * time.Second,
	}},
	{"by cell, not for long", scheduler.Class{
		LatencyObjective: 500 * time.Millisecond,
		Deadline:         1200 * time.Millisecond,
		Scope:            scheduler.ScopeShard,
		DedupWindow:      300 * time.Millisecond,
	}},
	{"by zone, not for long", scheduler.Class{
		LatencyObjective: 200 * time.Millisecond,
		Deadline:         900 * time.Millisecond,
		Scope:            scheduler.ScopeZone,
		DedupWindow:      150 * time.Millisecond,
	}},
	{"by all, not for long", scheduler.Class{
		LatencyObjective: 200 * time.Millisecond,
		Deadline:         900 * time.Millisecond,
		Scope:            scheduler.ScopeAll,
		DedupWindow:      150 * time.Millisecond,
	}},
}

// retryCase is when the first attempt of a request breaks, and the second, if it comes, is answered.
type retryCase struct {
	name       string
	brokenAt   float64 // part of the window at which the first attempt breaks
	answeredIn float64 // and after which the second has come up and is answered; 0: never
	between    func(h *harness, settings scheduler.Settings)
	maxRetries int
	served     bool
}

var retryCases = []retryCase{
	{name: "inside the window", brokenAt: 0.2, answeredIn: 0.6, maxRetries: 1, served: true},
	{name: "inside, with a connection that comes up behind it", brokenAt: 0.2, maxRetries: 1},
	{name: "broken just inside", brokenAt: 0.97, maxRetries: 1},
	{name: "broken at its end", brokenAt: 1.0001},
	{name: "broken past it", brokenAt: 1.4},
	{name: "its node leaves", brokenAt: 0.2, between: func(h *harness, _ scheduler.Settings) {
		h.turn(fullList(2, testNode("n1", 0, scheduler.Draining), testNode("n2", 1, scheduler.Ready)))
	}},
	{name: "settings are told again", brokenAt: 0.2, maxRetries: 1, between: func(h *harness, s scheduler.Settings) {
		h.turn(SettingsChanged{Settings: s})
	}},
}

// A request with an idempotency key may have run as its connection breaks. It is retried inside its window and its
// group of nodes or not at all: when that is decided, when the second connection comes up late, and when a list, new
// settings or a restart come between. If it were written past the window, the nodes would run it twice.
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
	// From here on nodes drop its repeats no longer: nothing that is not fully written by now may be.
	h.advance(max(0, end+1-h.now))
	open := len(h.starts) == 2 && !c.served && len(h.responses[1]) == 0
	if open && len(h.canceled)+len(h.stops) == 0 {
		t.Errorf("the retry may still be written past the window")
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

// span is the time that parts of are meant: what is served in time comes within the latency objective, too.
func (c retryCase) span(class scheduler.Class) Micros {
	if c.served {
		return min(MicrosOf(class.DedupWindow), MicrosOf(class.LatencyObjective))
	}
	return MicrosOf(class.DedupWindow)
}

// breakFirst sends a request whose first attempt breaks, fully written.
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
		h.Fatalf("%d attempts at once", len(h.starts))
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
		h.Errorf("%d retries, want %d at the most", n, c.maxRetries)
	}
	for _, s := range h.starts[1:] {
		if s.Attempt.Node != "n1" {
			h.Errorf("a retry goes to %s", s.Attempt.Node)
		}
	}
	want := Failed
	switch {
	case c.served:
		want = Served
	case class.Scope == scheduler.ScopeAll && len(h.responses[1]) == 1 && h.responses[1][0].Verdict == Rejected:
		want = Rejected // a retry by the client is harmless, as nodes of any group drop it
	}
	h.response(1, want)
}
