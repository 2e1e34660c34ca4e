package broker

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

func testSettings() scheduler.Settings {
	return scheduler.Settings{Brokers: 2, MeanUnits: 2, MaxUnits: 8,
		Classes: []scheduler.Class{{Name: "read", LatencyObjective: 150 * time.Millisecond, Deadline: 750 * time.Millisecond, PriorityWeight: 3, Idempotency: scheduler.Idempotent},
			{Name: "write", LatencyObjective: 200 * time.Millisecond, Deadline: 1200 * time.Millisecond, PriorityWeight: 2, Idempotency: scheduler.NotIdempotent}},
		Plans:        []scheduler.Plan{{Name: "plan", Rate: 100, ReservedRate: 100, Weight: 1, Price: 1}},
		Capabilities: scheduler.Capabilities{MaxAttempts: 3, MaxRetryAfter: time.Second, RetryAfter: true, Cancel: true, Peers: true},
		Rules:        scheduler.Rules{AnswerSlack: 50 * time.Millisecond, DrainGrace: 2 * time.Second}}
}

// rig drives a State by a clock of its own.
type rig struct {
	*testing.T
	state  *State
	now    Micros
	finals map[uint64][]Response
	starts []Start
	stops  []Stop
	halts  []Halt

	abandons []Abandon
	effects  []Effect
}

func newRig(t *testing.T) *rig {
	state, err := NewState(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{T: t, state: state, now: clockStart, finals: map[uint64][]Response{}}
	r.turn(NodesListed{Kind: scheduler.FullUpdate, Version: 1, Nodes: []Node{node("n1", 0, scheduler.Ready), node("n2", 1, scheduler.Ready)}})
	return r
}

func node(name string, shard int, state scheduler.NodeState) Node {
	return Node{Endpoint: scheduler.Endpoint{Name: name, Shard: shard, State: state, Weight: 1}, Address: "192.0.2.1:" + name}
}

func request(class string, shard int) *Request {
	wait := Micros(750_000)
	if class == "write" {
		wait = 1_200_000
	}
	return &Request{Class: class, Plan: "plan", Key: "k", Volume: "v", Units: 2, Shard: shard, Brokers: 1, Timeout: wait, Write: class == "write"}
}

func (r *rig) turn(events ...Event) {
	for _, e := range r.state.Reduce(r.now, events) {
		r.effects = append(r.effects, e)
		switch e := e.(type) {
		case Answer:
			r.finals[e.ID] = append(r.finals[e.ID], e.Final)
		case Start:
			r.starts = append(r.starts, e)
		case Stop:
			r.stops = append(r.stops, e)
		case Halt:
			r.halts = append(r.halts, e)
		case Abandon:
			r.abandons = append(r.abandons, e)
		}
	}
}

// pass lets time go by, alarm after alarm.
func (r *rig) pass(span Micros) {
	for end := r.now + span; ; r.turn() {
		at, any := r.state.Next()
		if !any || at > end {
			r.now = end
			return
		}
		r.now = max(r.now, at)
	}
}

func (r *rig) final(id uint64, want Verdict) Response {
	r.Helper()
	if len(r.finals[id]) != 1 || r.finals[id][0].Verdict != want {
		r.Fatalf("request %d got %+v, want one answer of kind %d", id, r.finals[id], want)
	}
	return r.finals[id][0]
}

func broke(p Progress) Result {
	return Result{Err: &AttemptError{Progress: p, Err: errors.New("cut")}, Load: scheduler.NoLoadReport}
}

func TestServed(t *testing.T) {
	r := newRig(t)
	r.turn(Arrived{ID: 1, Request: request("read", 0)})
	if len(r.starts) != 1 || r.starts[0].Attempt.Node != "n1" || r.starts[0].Attempt.Timeout != 750_000 {
		t.Fatalf("%+v", r.starts)
	}
	r.now += 20_000
	r.turn(Ended{1, 0, Result{Value: "v", Load: scheduler.NoLoadReport}})
	if f := r.final(1, Served); f.Value != "v" {
		t.Errorf("%+v", f)
	}
	r.pass(2 * Second)
	r.final(1, Served)
	if len(r.state.entries) != 0 {
		t.Error("the request is not forgotten")
	}
}

// What an attempt's progress means: a write goes out again only if it never ran.
func TestProgressDecides(t *testing.T) {
	for progress, again := range map[Progress]bool{NotConnected: true, PartiallyWritten: true, FullyWritten: false} {
		r := newRig(t)
		r.turn(Arrived{ID: 1, Request: request("write", 0)})
		r.turn(Ended{1, 0, broke(progress)})
		r.pass(200_000)
		if got := len(r.starts) == 2; got != again {
			t.Errorf("%v: sent %d times", progress, len(r.starts))
		}
		if !again {
			r.final(1, Failed)
		}
	}
}

// The deadline ends an attempt however far it came, and its late answer finds no one.
func TestStoppedAtDeadline(t *testing.T) {
	for _, progress := range []Progress{NotConnected, PartiallyWritten, FullyWritten} {
		r := newRig(t)
		r.turn(Arrived{ID: 1, Request: request("write", 0)})
		r.pass(1_200_000)
		if len(r.stops) != 1 || r.now != clockStart+1_200_000 {
			t.Fatalf("%d stops", len(r.stops))
		}
		entry := r.state.entries[1]
		if entry == nil || !entry.stopped || entry.stopping != scheduler.TimedOut {
			t.Fatalf("%+v", entry)
		}
		r.turn(Stopped{1, 0, progress})
		r.final(1, Failed)
		r.turn(Ended{1, 0, Result{Value: "late"}}) // was on its way
		r.final(1, Failed)
	}
}

// A request that no node can serve is answered before its client leaves.
func TestNoNode(t *testing.T) {
	r := newRig(t)
	r.turn(Arrived{ID: 1, Request: request("read", 7)})
	r.pass(750_000)
	if f := r.final(1, Rejected); f.RetryAfter <= 0 {
		t.Errorf("%+v names no time to come again", f)
	}
	if len(r.starts) > 0 {
		t.Error("it was sent")
	}
}

func TestLeft(t *testing.T) {
	r := newRig(t)
	r.turn(Arrived{ID: 1, Request: request("read", 0)})
	r.turn(Left{1})
	r.turn(Ended{1, 0, Result{Value: "v", Load: scheduler.NoLoadReport}})
	r.pass(Second)
	if len(r.finals) > 0 || len(r.state.entries) > 0 || len(r.starts) != 1 {
		t.Errorf("%+v, %d held, %d sent", r.finals, len(r.state.entries), len(r.starts))
	}
}

// What a client that has left asked for is not sent on, however late its connection comes up, and that says nothing of the
// node: the next request goes there at once.
func TestLeftBeforeItIsSent(t *testing.T) {
	for _, progress := range []Progress{NotConnected, PartiallyWritten, FullyWritten} { // the last may become whole as it is cut
		r := newRig(t)
		r.turn(Arrived{ID: 1, Request: request("write", 0)})
		r.turn(Left{1})
		if len(r.abandons) != 1 || r.abandons[0] != (Abandon{1, 0}) {
			t.Fatalf("%+v", r.abandons)
		}
		r.turn(Ended{1, 0, broke(progress)})
		r.turn(Arrived{ID: 2, Request: request("write", 0)})
		if len(r.starts) != 2 || r.starts[1].ID != 2 {
			t.Errorf("%v: %d sent", progress, len(r.starts))
		}
	}
}

// An attempt of several messages must not go on at a draining node past the rule's grace.
func TestDrainHalts(t *testing.T) {
	r := newRig(t)
	r.turn(Arrived{ID: 1, Request: request("write", 0)})
	r.turn(NodesListed{Kind: scheduler.DeltaUpdate, Version: 2, Nodes: []Node{node("n1", 0, scheduler.Draining), node("n3", 0, scheduler.Ready)}})
	r.turn(NodesListed{Kind: scheduler.DeltaUpdate, Version: 3, Nodes: []Node{node("n1", 0, scheduler.Draining)}})
	if len(r.halts) != 1 {
		t.Fatalf("%d halts", len(r.halts))
	}
	r.turn(Ended{1, 0, broke(PartiallyWritten)})
	r.pass(100_000)
	if len(r.starts) < 2 || r.starts[1].Attempt.Node != "n3" {
		t.Errorf("%+v", r.starts)
	}
}

// A node that a whole list no longer names is gone.
func TestMissingFromList(t *testing.T) {
	r := newRig(t)
	r.turn(NodesListed{Kind: scheduler.FullUpdate, Version: 2, Nodes: []Node{node("n2", 1, scheduler.Ready)}})
	r.turn(Arrived{ID: 1, Request: request("read", 0)})
	r.pass(Second)
	if len(r.starts) > 0 {
		t.Error("sent to a node that is gone")
	}
}

// Nodes that are gone are forgotten: each that replaces one has a new name.
func TestManyNodes(t *testing.T) {
	r := newRig(t)
	for i := range 200 {
		old, young := node(fmt.Sprint("o", i), 0, scheduler.Removed), node(fmt.Sprint("o", i+1), 0, scheduler.Ready)
		r.turn(NodesListed{Kind: scheduler.DeltaUpdate, Version: uint64(i + 2), Nodes: []Node{old, young}})
	}
	r.turn(NodesListed{Kind: scheduler.FullUpdate, Version: 300, Nodes: []Node{node("n2", 1, scheduler.Ready)}})
	if len(r.state.nodes) != 1 {
		t.Errorf("kept %d", len(r.state.nodes))
	}
	closed := 0
	for _, e := range r.effects {
		if e, ok := e.(CloseIdle); ok && e.Address == "192.0.2.1:o50" {
			closed++
		}
	}
	if closed == 0 {
		t.Error("idle connections to a node that is gone stay open")
	}
}

// Demand for a shared volume is told to its keeper; of four volumes this broker does not keep all.
func TestPeers(t *testing.T) {
	r := newRig(t)
	for i := range uint64(40) {
		req := request("read", 1)
		req.Brokers, req.Volume = 2, []string{"v", "w", "x", "y"}[i%4]
		r.turn(Arrived{ID: i + 1, Request: req})
		r.pass(25_000)
	}
	for _, e := range r.effects {
		if tell, ok := e.(Tell); ok && len(tell.Data) > 0 && len(tell.Data) <= 256 && tell.Peer == 1 {
			return
		}
	}
	t.Error("no peer was told")
}

// FromUnixMilli the end of the process all that is owed is answered: a write that may have run has failed, and what was
// never sent may come again.
func TestEnding(t *testing.T) {
	r := newRig(t)
	r.turn(Arrived{ID: 1, Request: request("write", 0)}, Arrived{ID: 2, Request: request("read", 0)}, Arrived{ID: 3, Request: request("read", 7)})
	r.turn(ShuttingDown{})
	if len(r.stops) != 2 {
		t.Fatalf("%d attempts stopped", len(r.stops))
	}
	r.turn(Stopped{1, 0, FullyWritten}, Stopped{2, 0, FullyWritten})
	r.final(1, Failed)
	r.final(2, Rejected)
	r.final(3, Rejected)
	r.turn(Arrived{ID: 4, Request: request("write", 0)}) // on a connection that stayed open
	r.final(4, Rejected)
	if r.pass(Second); len(r.state.entries) > 0 || len(r.starts) != 2 {
		t.Errorf("%d held, %d sent", len(r.state.entries), len(r.starts))
	}
}

func TestClockAt(t *testing.T) {
	c := NewClock()
	if c.FromUnixMilli(0) != 0 || c.FromUnixMilli(1) != 0 {
		t.Error("long ago is not 0")
	}
	// A node that started before this process is cold all the same.
	if at := c.FromUnixMilli(time.Now().Add(-5 * time.Second).UnixMilli()); at <= 0 || c.Now()-at < 4*Second || c.Now()-at > 6*Second {
		t.Errorf("5 s ago is %d, now is %d", at, c.Now())
	}
}

// A request that waited for its turn has that much less time: the attempt is told what is left, and the answer is owed as long after the
// request came as its client waits. One whose time was up by then is answered at once and never sent.
func TestTimeRunsFromArrival(t *testing.T) {
	r := newRig(t)
	req := request("read", 0)
	came := r.now
	r.now += req.Timeout / 4
	r.turn(Arrived{ID: 1, Request: req, At: came})
	if len(r.starts) != 1 || r.starts[0].Attempt.Timeout != req.Timeout*3/4 {
		t.Fatalf("%+v", r.starts)
	}
	if at, any := r.state.Next(); !any || at > came+req.Timeout {
		t.Errorf("looked at again at %v", at)
	}
	r.turn(Arrived{ID: 2, Request: req, At: r.now - 2*req.Timeout})
	r.now++
	r.turn()
	if len(r.starts) != 1 || len(r.finals[2]) != 1 {
		t.Errorf("%d starts, %+v", len(r.starts), r.finals)
	}
}
