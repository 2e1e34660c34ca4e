package broker

import (
	"context"
	"fmt"
	"testing"
	"time"

	"junctionwharf/admission"
	"junctionwharf/internal/logging"
	"junctionwharf/scheduler"
	"junctionwharf/telemetry"
)

// faulty panics at its first attempt and serves the others.
type faulty struct{ starts int }

func (f *faulty) Start(a Attempt, done func(Result)) Handle {
	if f.starts++; f.starts == 1 {
		panic("first")
	}
	go done(Result{Value: a.Node, Load: scheduler.NoLoadReport})
	return out{}
}
func (*faulty) Probe(string, func(Result)) {}
func (*faulty) CloseIdle(string)           {}

type out struct{}

func (out) Stop() Progress       { return FullyWritten }
func (out) StopSending()         {}
func (out) CancelUnlessWritten() {}

// A fault in one turn must not end the process or the other requests.
func TestFaultInOneTurn(t *testing.T) {
	state, err := NewState(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	lines := make(chan string, 8)
	loop := NewLoop(state, NewClock(), &faulty{}, Dependencies{Log: logging.ToFunc(func(line string) { lines <- line })})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	loop.Post(NodesListed{Kind: scheduler.FullUpdate, Nodes: []Node{node("n1", 0, scheduler.Ready)}})
	finals := make(chan Response, 2)
	loop.Submit(request("write", 0), func(f Response) { finals <- f })
	go loop.Run(ctx)
	if line := <-lines; line != "panic front=core panic=first" {
		t.Fatal(line)
	}
	loop.Submit(request("read", 0), func(f Response) { finals <- f })
	if f := <-finals; f.Verdict != Served {
		t.Errorf("the second request: %+v", f)
	}
	if f := <-finals; f.Verdict != Failed {
		t.Errorf("the request whose turn failed: %+v", f)
	}
}

// local serves requests in the process itself.
type local struct{}

func (local) Start(a Attempt, done func(Result)) Handle {
	a.OnWritten()
	go done(Result{Value: fmt.Sprintf("%v from %s", a.Request.Message, a.Node), Load: scheduler.NoLoadReport})
	return out{}
}
func (local) Probe(string, func(Result)) {}
func (local) CloseIdle(string)           {}

func ExampleLoop() {
	state, err := NewState(scheduler.Settings{Brokers: 1, MeanUnits: 1, MaxUnits: 8,
		Classes: []scheduler.Class{{Name: "read", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1, Idempotency: scheduler.Idempotent}},
		Plans:   []scheduler.Plan{{Name: "plan", Rate: 10, ReservedRate: 10, Weight: 1, Price: 1}}}, 1)
	if err != nil {
		panic(err)
	}
	loop := NewLoop(state, NewClock(), local{}, Dependencies{})
	loop.Post(NodesListed{Kind: scheduler.FullUpdate, Nodes: []Node{{Endpoint: scheduler.Endpoint{Name: "n1"}, Address: "192.0.2.1:6379"}}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go loop.Run(ctx)

	final := make(chan Response)
	loop.Submit(&Request{Class: "read", Plan: "plan", Volume: "v", Units: 1, Brokers: 1, Timeout: 2 * Second, Message: "lesson 7"},
		func(f Response) { final <- f })
	fmt.Println((<-final).Value)
	// Output: lesson 7 from n1
}

// Every class is listed with every way to end, at 0 too, and an attempt counts once it is written whole.
func TestFigures(t *testing.T) {
	state, err := NewState(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	loop := NewLoop(state, NewClock(), local{}, Dependencies{})
	read := func() map[string]uint64 {
		all := map[string]uint64{}
		for _, f := range loop.Metrics.Read() {
			all[f.Name] = f.Value
		}
		return all
	}
	for _, name := range []string{"success.read", "busy.read", "failure.read", "success.write", "busy.write", "failure.write",
		"backend_calls", "inflight", "hosts_listed", "hosts_down", "reconfig_ok", "reconfig_failed"} {
		if value, listed := read()[name]; !listed || value != 0 {
			t.Errorf("%s: %d, %v", name, value, listed)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go loop.Run(ctx)
	loop.Post(NodesListed{Kind: scheduler.FullUpdate, Nodes: []Node{node("n1", 0, scheduler.Ready), node("n2", 1, scheduler.Draining)}})
	finals := make(chan Response, 1)
	loop.Submit(request("read", 0), func(f Response) { finals <- f })
	<-finals
	loop.Submit(request("other", 0), func(f Response) { finals <- f })
	<-finals
	loop.Metrics.CountReload(true)
	loop.Metrics.CountReload(false)
	for name, want := range map[string]uint64{"success.read": 1, "failure.other": 1, "backend_calls": 1, "inflight": 0, "hosts_listed": 2,
		"hosts_down": 1, "reconfig_ok": 1, "reconfig_failed": 1} {
		if got := read()[name]; got != want {
			t.Errorf("%s: %d, want %d", name, got, want)
		}
	}
}

// What admission control refuses has one answer, through Submit as through Admit, is counted, told to telemetry, and never reaches the module; it
// follows new settings, and opens when the lag is over.
func TestAdmission(t *testing.T) {
	state, err := NewState(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	facts := make(chan telemetry.Fact, 8)
	controller := admission.New(admission.Settings{MaxOpen: 1}, testSettings())
	loop := NewLoop(state, NewClock(), local{}, Dependencies{Admission: controller, Observe: func(all []telemetry.Fact) {
		for _, f := range all {
			if f.Kind == telemetry.RequestEnded {
				facts <- f
			}
		}
	}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	loop.Post(NodesListed{Kind: scheduler.FullUpdate, Nodes: []Node{node("n1", 0, scheduler.Ready)}})
	req := request("read", 1) // of a shard without a node: it waits
	finals := make(chan Response, 2)
	if loop.Admit(req) != nil {
		t.Fatal("refused while there is room")
	}
	id := loop.SubmitAdmitted(req, func(f Response) { finals <- f })
	if f := loop.Admit(request("read", 0)); f == nil || f.Verdict != Rejected || f.RetryAfter != 150_000 {
		t.Fatalf("%+v", f)
	}
	loop.Submit(request("write", 0), func(f Response) { finals <- f })
	go loop.Run(ctx)
	if f := <-finals; f.Verdict != Rejected || f.RetryAfter != 150_000 {
		t.Errorf("%+v", f)
	}
	for range 2 {
		if f := <-facts; f.End != telemetry.Busy {
			t.Errorf("%+v", f)
		}
	}
	figures := map[string]uint64{}
	for _, f := range loop.Metrics.Read() {
		figures[f.Name] = f.Value
	}
	if figures["door_refused"] != 2 || figures["busy.read"] != 1 || figures["busy.write"] != 1 || figures["inflight"] != 1 {
		t.Errorf("%v", figures)
	}
	loop.Cancel(id)
}

// Nobody measures how long work waits while little is open: the loop says when it is worth it, at half of the crowd, and what was measured
// before counts no longer once nobody does.
func TestBusy(t *testing.T) {
	state, err := NewState(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	const crowd = 6
	loop := NewLoop(state, NewClock(), local{}, Dependencies{Admission: admission.New(admission.Settings{MaxOpenOverloaded: crowd, Window: 1}, testSettings())})
	busy := func() bool {
		select {
		case <-loop.LagMeasurementWanted():
			return true
		default:
			return false
		}
	}
	for i := range crowd + 1 {
		loop.SubmitAdmitted(request("read", 0), func(Response) {})
		if got := busy(); got != (i == crowd/2-1) || loop.KeepMeasuringLag() != (i >= crowd/2-1) {
			t.Errorf("with %d open: busy %v, still %v", i+1, got, loop.KeepMeasuringLag())
		}
	}
	loop.SetLagMeasured(true)
	for end := time.Now().Add(5 * time.Second); !loop.Overloaded(); loop.RecordSchedulingLag(50_000) {
		if time.Now().After(end) {
			t.Fatal("no crowd where work waits")
		}
	}
	state.Reduce(loop.clock.Now(), []Event{Lagged{Waited: 50_000}})
	if state.atNode(200_000) == 200_000 {
		t.Error("the broker's own waits count as the node's")
	}
	state.Reduce(loop.clock.Now(), []Event{Lagged{Unknown: true}})
	if took := state.atNode(200_000); took != 200_000 {
		t.Errorf("%d µs of 200,000 are the node's where nobody measures", took)
	}
}

// The broker's own waits are not the node's time: a busy broker must not think sound nodes slow.
func TestOwnWaits(t *testing.T) {
	r := newRig(t)
	for _, c := range []struct{ lag, took, want Micros }{{0, 9000, 9000}, {1000, 9000, 5000}, {8000, 9000, 900}} {
		r.state.lag = c.lag
		if got := r.state.atNode(c.took); got != c.want {
			t.Errorf("a lag of %d, %d us: %d", c.lag, c.took, got)
		}
	}
	r.state.lag = 0
	loop := NewLoop(r.state, NewClock(), local{}, Dependencies{Admission: admission.New(admission.Settings{TargetLag: 1000}, testSettings())})
	if loop.RecordSchedulingLag(0); len(loop.notify) != 1 { // guards an idle broker against the lag of the news of its lag
		t.Error("an idle loop is not woken")
	}
	for range 40 {
		r.turn(Lagged{Waited: 2000})
	}
	if r.state.lag < 1900 || r.state.lag > 2000 {
		t.Errorf("a lag of %d us", r.state.lag)
	}
}

// Far behind, the loop takes a bounded part of its events in a turn, in their order, and has fronts wait until there is room
// again; none is lost. The end of the loop lets them go.
func TestBoundedTurn(t *testing.T) {
	state, err := NewState(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	loop := NewLoop(state, NewClock(), local{}, Dependencies{})
	const requests = mostQueued + 10
	finals := make(chan Response, requests)
	for range requests {
		req := request("read", 1) // of a shard without a node
		loop.SubmitAdmitted(req, func(f Response) { finals <- f })
	}
	passed := make(chan bool, 1)
	go func() { loop.WaitForCapacity(func() bool { return false }); passed <- true }()
	for turn, left := 1, requests; left > 0; turn++ {
		events, _, more := loop.collect(loop.clock.Now(), nil)
		if want := min(left, mostEvents); len(events) != want || more != (left > mostEvents) {
			t.Fatalf("turn %d: %d events, more %v", turn, len(events), more)
		}
		for i, e := range events {
			if id := e.(Arrived).ID; id != uint64(requests-left+i+1) {
				t.Fatalf("turn %d: event %d is of request %d", turn, i, id)
			}
		}
		loop.turn(loop.clock.Now(), events)
		left -= len(events)
	}
	<-passed
	for range requests {
		loop.SubmitAdmitted(request("read", 1), func(f Response) { finals <- f })
	}
	go func() { loop.WaitForCapacity(func() bool { return false }); passed <- true }()
	loop.end()
	<-passed
}

// starts notes which requests were started.
type starts map[string]bool

func (s starts) Start(a Attempt, _ func(Result)) Handle {
	s[a.Request.Message.(string)] = true
	return out{}
}
func (starts) Probe(string, func(Result)) {}
func (starts) CloseIdle(string)           {}

// The loop is far behind. Clients that leave are heard of in the next turn, before all that came earlier: one whose request is held,
// one whose request stands far back in the queue, and one whose request is next. None of their requests is started, then or later, and
// the others are.
func TestLeaversOvertake(t *testing.T) {
	state, err := NewState(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	started := starts{}
	loop := NewLoop(state, NewClock(), started, Dependencies{})
	enter := func(name string) uint64 {
		req := request("read", 0)
		req.Message = name
		return loop.SubmitAdmitted(req, func(Response) {})
	}
	turn := func() bool {
		now := loop.clock.Now()
		events, _, more := loop.collect(now, nil)
		loop.turn(now, events)
		return more
	}
	held := enter("held")
	turn()
	next := enter("next")
	for range mostQueued - 2 {
		loop.Post(PeerMessage{From: 1})
	}
	far := enter("far")
	enter("stays")
	for _, id := range []uint64{held, next, far, held} {
		loop.Cancel(id)
	}
	open := loop.OpenRequests()
	loop.Post(NodesListed{Kind: scheduler.FullUpdate, Nodes: []Node{node("n1", 0, scheduler.Ready)}}) // last of all
	turn()
	if left := open - loop.OpenRequests(); left != 2 {
		t.Errorf("%d have left after a turn, want the held one and the next", left)
	}
	for turn() {
	}
	if len(started) != 1 || !started["stays"] || loop.OpenRequests() != 1 || len(loop.early) != 0 {
		t.Errorf("started %v, %d open, %d early", started, loop.OpenRequests(), len(loop.early))
	}
}

// 10,000 nodes are replaced by as many others in one list: each leaves once, is forgotten, and the new ones serve.
func TestReplaceAll(t *testing.T) {
	r := newRig(t)
	list := func(prefix string) (nodes []Node) {
		for i := range 10_000 {
			nodes = append(nodes, node(fmt.Sprint(prefix, i), i, scheduler.Ready))
		}
		return nodes
	}
	r.turn(NodesListed{Kind: scheduler.FullUpdate, Version: 2, Nodes: list("a")})
	r.turn(Arrived{ID: 1, Request: request("read", 5)})
	r.effects = nil
	r.turn(NodesListed{Kind: scheduler.FullUpdate, Version: 3, Nodes: list("b")})
	if left := len(r.state.nodes); left != 10_000 {
		t.Errorf("%d nodes are known", left)
	}
	leaving, halted := 0, 0
	for _, f := range r.state.Facts() {
		if f.Kind == telemetry.NodeLeaving {
			leaving++
		}
	}
	for _, e := range r.effects {
		if _, is := e.(Halt); is {
			halted++
		}
	}
	if leaving != 10_000 || halted != 1 {
		t.Errorf("%d leave, %d attempts are halted", leaving, halted)
	}
	r.now += Second
	r.turn(Arrived{ID: 2, Request: request("read", 7)})
	for range 400 { // the new nodes are cold, and save up
		r.now += 5000
		r.turn()
	}
	if last := r.starts[len(r.starts)-1]; last.ID != 2 || last.Attempt.Node != "b7" {
		t.Errorf("%+v", last)
	}
}
