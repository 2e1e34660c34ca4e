package broker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"junctionwharf/internal/logging"
	"junctionwharf/scheduler"
)

// writtenAttempt is the handle of an attempt that was fully written immediately.
type writtenAttempt struct{}

func (writtenAttempt) Stop() Progress       { return FullyWritten }
func (writtenAttempt) StopSending()         {}
func (writtenAttempt) CancelUnlessWritten() {}

// noHealthChecks implements the methods of Transport that these tests do not use.
type noHealthChecks struct{}

func (noHealthChecks) CheckHealth(string, func(Result)) {}
func (noHealthChecks) CloseIdle(string)                 {}

// panickingTransport panics at its first attempt and serves all others.
type panickingTransport struct {
	noHealthChecks
	starts int
}

func (p *panickingTransport) Start(a Attempt, done func(Result)) Handle {
	p.starts++
	if p.starts == 1 {
		panic("first")
	}
	go done(served(a.Node))
	return writtenAttempt{}
}

// echoTransport serves each request with its message and the name of the node.
type echoTransport struct{ noHealthChecks }

func (echoTransport) Start(a Attempt, done func(Result)) Handle {
	a.OnWritten()
	go done(served(fmt.Sprintf("%v from %s", a.Request.Message, a.Node)))
	return writtenAttempt{}
}

// recordingTransport records the messages of started requests and never answers.
type recordingTransport struct {
	noHealthChecks
	started map[string]bool
}

func (r recordingTransport) Start(a Attempt, _ func(Result)) Handle {
	r.started[a.Request.Message.(string)] = true
	return writtenAttempt{}
}

// A panic in a transport must not end the process or affect other requests. The request whose attempt was not started
// fails at its deadline.
func TestPanicEndsOneTurn(t *testing.T) {
	lines := make(chan string, 8)
	log := logging.ToFunc(func(line string) { lines <- line })
	loop := NewLoop(newState(t, testSettings()), NewClock(), &panickingTransport{}, Dependencies{Log: log})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	loop.Post(fullList(0, testNode("n1", 0, scheduler.Ready)))
	responses := make(chan Response, 2)
	loop.Submit(testRequest("write", 0), func(r Response) { responses <- r })
	go loop.Run(ctx)
	if line := <-lines; line != "panic front=core panic=first" {
		t.Fatalf("first log line %q, want the panic of the transport", line)
	}
	loop.Submit(testRequest("read", 0), func(r Response) { responses <- r })
	if r := <-responses; r.Verdict != Served {
		t.Errorf("the request after the panic: %+v, want Served", r)
	}
	if r := <-responses; r.Verdict != Failed {
		t.Errorf("the request of the turn that panicked: %+v, want Failed", r)
	}
}

// Ten nodes start draining within one sampling window. The log lines have the same fixed message, with the node as an
// attribute, so that sampling drops some of them. If the node were part of the message, each line would be sampled
// separately and none would be dropped. A fault of all nodes would then fill the disk.
func TestSchedulerLinesAreSampledByMessage(t *testing.T) {
	const (
		nodes          = 10
		linesPerWindow = 5 // lines with the same message that are logged in a sampling window
		nodeLeaves     = "node leaves"
		attemptLost    = "attempt lost"
	)
	var output bytes.Buffer
	log, err := logging.New(&output, logging.Options{Name: "b1", Format: "json"})
	if err != nil {
		t.Fatal(err)
	}
	loop := NewLoop(newState(t, testSettings()), NewClock(), echoTransport{}, Dependencies{Log: log})
	for i := range nodes {
		node := slog.String("node", fmt.Sprint("n", i))
		loop.execute(Log{Message: nodeLeaves, Attributes: []slog.Attr{node}}, 0)
	}
	loop.execute(Log{Message: attemptLost, Attributes: []slog.Attr{slog.Float64("after_ms", 2.5)}}, 0)
	lines := decodeLines(t, &output)
	if len(lines) != linesPerWindow+1 {
		t.Fatalf("%d lines, want %d: %v", len(lines), linesPerWindow+1, lines)
	}
	for i, line := range lines[:linesPerWindow] {
		if line["msg"] != nodeLeaves || line["node"] != fmt.Sprint("n", i) || line["level"] != "INFO" {
			t.Errorf("line %d: %v, want message %q of node n%d at INFO", i, line, nodeLeaves, i)
		}
	}
	if last := lines[linesPerWindow]; last["msg"] != attemptLost || last["after_ms"] != 2.5 {
		t.Errorf("line of the other message: %v, want %q with after_ms 2.5", last, attemptLost)
	}
}

// decodeLines parses JSON log lines.
func decodeLines(t *testing.T, output *bytes.Buffer) []map[string]any {
	t.Helper()
	var lines []map[string]any
	for decoder := json.NewDecoder(output); decoder.More(); {
		var line map[string]any
		if err := decoder.Decode(&line); err != nil {
			t.Fatal(err)
		}
		lines = append(lines, line)
	}
	return lines
}

// When a node starts draining, the state forwards the message and attributes of the scheduler's log line unchanged.
func TestSchedulerLineKeepsItsAttributes(t *testing.T) {
	h := newHarness(t)
	h.turn(changedNodes(2, testNode("n1", 0, scheduler.Draining)))
	var lines []Log
	for _, e := range h.effects {
		if line, is := e.(Log); is {
			lines = append(lines, line)
		}
	}
	if len(lines) != 1 || lines[0].Message != "node leaves" || len(lines[0].Attributes) != 1 ||
		!lines[0].Attributes[0].Equal(slog.String("node", "n1")) {
		t.Errorf("log lines %+v, want \"node leaves\" with the attribute node=n1", lines)
	}
}

func ExampleLoop() {
	state, err := NewState(scheduler.Settings{
		Brokers:   1,
		MeanUnits: 1,
		MaxUnits:  8,
		Classes: []scheduler.Class{{
			Name:             "read",
			LatencyObjective: time.Second,
			Deadline:         2 * time.Second,
			PriorityWeight:   1,
			Idempotency:      scheduler.Idempotent,
		}},
		Plans: []scheduler.Plan{{Name: "plan", Rate: 10, ReservedRate: 10, Weight: 1, Price: 1}},
	}, 1)
	if err != nil {
		panic(err)
	}
	loop := NewLoop(state, NewClock(), echoTransport{}, Dependencies{})
	loop.Post(NodesListed{Kind: scheduler.FullUpdate, Nodes: []Node{
		{Endpoint: scheduler.Endpoint{Name: "n1"}, Address: "192.0.2.1:6379"},
	}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go loop.Run(ctx)

	responses := make(chan Response)
	loop.Submit(&Request{
		Class:   "read",
		Plan:    "plan",
		Volume:  "v",
		Units:   1,
		Brokers: 1,
		Timeout: 2 * Second,
		Message: "lesson 7",
	}, func(r Response) { responses <- r })
	fmt.Println((<-responses).Value)
	// Output: lesson 7 from n1
}

// More events are queued than the loop may handle in one turn. Each turn handles a bounded number of events in order,
// and no event is lost. WaitForCapacity blocks protocol servers until there is capacity again, or until the loop ends.
func TestTurnIsBounded(t *testing.T) {
	loop := NewLoop(newState(t, testSettings()), NewClock(), echoTransport{}, Dependencies{})
	const requests = maxQueuedEvents + 10
	submitAll := func() {
		for range requests {
			loop.SubmitAdmitted(testRequest("read", 1), func(Response) {}) // the shard has no node
		}
	}
	waited := make(chan bool, 1)
	wait := func() {
		loop.WaitForCapacity(func() bool { return false })
		waited <- true
	}
	submitAll()
	go wait()
	for turn, left := 1, requests; left > 0; turn++ {
		events, _, more := loop.collect(loop.clock.Now(), nil)
		if want := min(left, maxTurnEvents); len(events) != want || more != (left > maxTurnEvents) {
			t.Fatalf("turn %d: %d events, more %v, want %d events of %d left", turn, len(events), more, want, left)
		}
		for i, e := range events {
			if id := e.(RequestArrived).ID; id != uint64(requests-left+i+1) {
				t.Fatalf("turn %d: event %d is of request %d, want %d", turn, i, id, requests-left+i+1)
			}
		}
		loop.turn(loop.clock.Now(), events)
		left -= len(events)
	}
	<-waited
	submitAll()
	go wait()
	loop.end()
	<-waited
}

// Clients disconnect while the loop is far behind: one request is queued in the scheduler, the arrival of another is
// first in the inbox, and the arrival of a third is last in the inbox. The next turn must cancel the first two
// requests. None of the three must be started. The request of a connected client must be started.
func TestCancellationsOvertake(t *testing.T) {
	transport := recordingTransport{started: map[string]bool{}}
	loop := NewLoop(newState(t, testSettings()), NewClock(), transport, Dependencies{})
	submit := func(name string) uint64 {
		request := testRequest("read", 0)
		request.Message = name
		return loop.SubmitAdmitted(request, func(Response) {})
	}
	turn := func() bool {
		now := loop.clock.Now()
		events, _, more := loop.collect(now, nil)
		loop.turn(now, events)
		return more
	}
	queued := submit("queued")
	turn()
	next := submit("next")
	for range maxQueuedEvents - 2 {
		loop.Post(PeerMessage{From: 1})
	}
	far := submit("far")
	submit("stays")
	for _, id := range []uint64{queued, next, far, queued} {
		loop.Cancel(id)
	}
	open := loop.OpenRequests()
	loop.Post(fullList(0, testNode("n1", 0, scheduler.Ready))) // handled after all other events
	turn()
	if cancelled := open - loop.OpenRequests(); cancelled != 2 {
		t.Errorf("%d requests canceled after one turn, want 2: the queued one and the next one", cancelled)
	}
	for more := true; more; {
		more = turn()
	}
	if len(transport.started) != 1 || !transport.started["stays"] {
		t.Errorf("started %v, want only \"stays\"", transport.started)
	}
	if loop.OpenRequests() != 1 || len(loop.cancelledBeforeArrival) != 0 {
		t.Errorf("%d open and %d canceled before arrival, want 1 and 0",
			loop.OpenRequests(), len(loop.cancelledBeforeArrival))
	}
}

// A protocol server waits before it submits a request. The time since the request was received counts against the
// client's timeout: a request that was submitted too late must be answered at once.
func TestTimeoutCountsFromReceipt(t *testing.T) {
	transport := recordingTransport{started: map[string]bool{}}
	loop := NewLoop(newState(t, testSettings()), NewClock(), transport, Dependencies{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	loop.Post(fullList(0, testNode("n1", 0, scheduler.Ready)))
	request := testRequest("read", 0)
	request.Message = "late"
	request.ReceivedAt = loop.Now()
	for loop.Now() < request.ReceivedAt+request.Timeout {
		time.Sleep(time.Millisecond)
	}
	responses := make(chan Response, 1)
	submitted := loop.Now()
	loop.Submit(request, func(r Response) { responses <- r })
	go loop.Run(ctx)
	if r := <-responses; r.Verdict == Served || loop.Now()-submitted >= request.Timeout {
		t.Errorf("response %+v after %d µs, want a rejection or a failure at once", r, loop.Now()-submitted)
	}
	if transport.started["late"] {
		t.Error("the request was sent to a node after its timeout")
	}
}
