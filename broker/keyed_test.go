package broker

import (
	"fmt"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

// keyedKinds are settings of deployments whose nodes drop repeats of a keyed request, each in its own way.
var keyedKinds = []struct {
	name  string
	class scheduler.Class
}{
	{"by cell, for as long as clients wait", scheduler.Class{LatencyObjective: 600 * time.Millisecond, Deadline: 4 * time.Second, Idempotency: scheduler.IdempotentWithKey, Scope: scheduler.ScopeShard, DedupWindow: 4 * time.Second}},
	{"by cell, not for long", scheduler.Class{LatencyObjective: 500 * time.Millisecond, Deadline: 1200 * time.Millisecond, Idempotency: scheduler.IdempotentWithKey, Scope: scheduler.ScopeShard, DedupWindow: 300 * time.Millisecond}},
	{"by zone, not for long", scheduler.Class{LatencyObjective: 200 * time.Millisecond, Deadline: 900 * time.Millisecond, Idempotency: scheduler.IdempotentWithKey, Scope: scheduler.ScopeZone, DedupWindow: 150 * time.Millisecond}},
	{"by all, not for long", scheduler.Class{LatencyObjective: 200 * time.Millisecond, Deadline: 900 * time.Millisecond, Idempotency: scheduler.IdempotentWithKey, Scope: scheduler.ScopeAll, DedupWindow: 150 * time.Millisecond}},
}

// A keyed request that may have run is repeated inside its window and its group or not at all: when it is decided, when its connection
// comes up late, and when a list, new settings or a restart come between.
func TestKeyedRepeats(t *testing.T) {
	for _, kind := range keyedKinds {
		for _, c := range []struct {
			name    string
			firstAt float64 // part of the window at which the first attempt breaks
			second  float64 // and at which the second has come up and is answered; 0: never
			between func(r *rig, set scheduler.Settings)
			repeats int // at the most
			served  bool
		}{
			{"inside the window", 0.2, 0.6, nil, 1, true},
			{"inside, with a connection that comes up behind it", 0.2, 0, nil, 1, false},
			{"broken just inside", 0.97, 0, nil, 1, false},
			{"broken at its end", 1.0001, 0, nil, 0, false},
			{"broken past it", 1.4, 0, nil, 0, false},
			{"its node leaves", 0.2, 0, func(r *rig, _ scheduler.Settings) {
				r.turn(NodesListed{Kind: scheduler.FullUpdate, Version: 2, Nodes: []Node{node("n1", 0, scheduler.Draining), node("n2", 1, scheduler.Ready)}})
			}, 0, false},
			{"settings are told again", 0.2, 0, func(r *rig, set scheduler.Settings) { r.turn(SettingsChanged{Settings: set}) }, 1, false},
		} {
			t.Run(fmt.Sprint(kind.name, ", ", c.name), func(t *testing.T) {
				set := testSettings()
				class := kind.class
				class.Name, class.PriorityWeight = "put", 2
				set.Classes = append(set.Classes, class)
				state, err := NewState(set, 1)
				if err != nil {
					t.Fatal(err)
				}
				r := &rig{T: t, state: state, now: clockStart, finals: map[uint64][]Response{}}
				n1, n2 := node("n1", 0, scheduler.Ready), node("n2", 1, scheduler.Ready)
				n1.Zone, n2.Zone = "a", "b"
				r.turn(NodesListed{Kind: scheduler.FullUpdate, Version: 1, Nodes: []Node{n1, n2}})
				began := r.now
				r.turn(Arrived{ID: 1, Request: &Request{Class: "put", Plan: "plan", Key: "k", Volume: "v", Units: 2, Shard: 0, Brokers: 1, Timeout: MicrosOf(class.Deadline), Write: true}})
				if len(r.starts) != 1 {
					t.Fatalf("%d attempts at once", len(r.starts))
				}
				window := MicrosOf(class.DedupWindow)
				part := window // what is served in time comes within the aim, too
				if c.served {
					part = min(window, MicrosOf(class.LatencyObjective))
				}
				r.pass(Micros(c.firstAt * float64(part)))
				if c.between != nil {
					c.between(r, set)
				}
				if len(r.finals[1]) == 0 {
					r.turn(Ended{1, 0, broke(FullyWritten)})
				}
				r.pass(Micros(c.second * float64(part)))
				if len(r.starts) > 1 && c.second > 0 {
					r.turn(Ended{1, 1, Result{Value: "v", Load: scheduler.NoLoadReport}})
				}
				// from here on nodes drop its repeats no longer: nothing that is not written whole by now may be
				r.pass(max(0, began+window+1-r.now))
				if len(r.starts) == 2 && !c.served && len(r.abandons)+len(r.stops) == 0 && len(r.finals[1]) == 0 {
					t.Errorf("the repeat may still be written past the window")
				}
				if len(r.abandons) > 0 {
					r.turn(Ended{1, 1, broke(NotConnected)})
				}
				for _, stop := range r.stops {
					r.turn(Stopped{stop.ID, stop.Number, NotConnected})
				}
				r.pass(MicrosOf(class.Deadline) + Second)
				if n := len(r.starts) - 1; n > c.repeats || c.served && n != 1 {
					t.Errorf("%d repeats, want %d at the most", n, c.repeats)
				}
				for _, s := range r.starts[1:] {
					if s.Attempt.Node != "n1" {
						t.Errorf("a repeat goes to %s", s.Attempt.Node)
					}
				}
				want := Failed
				switch {
				case c.served:
					want = Served
				case class.Scope == scheduler.ScopeAll && len(r.finals[1]) == 1 && r.finals[1][0].Verdict == Rejected:
					want = Rejected // harmless, as nodes of any group drop it
				}
				r.final(1, want)
			})
		}
	}
}
