package scheduler

import (
	"testing"
	"time"
)

// New settings change what comes; requests under way keep their class, and what clients of a vanished class
// were not served must not fault later ticks.
func TestRetune(t *testing.T) {
	class := func(name string, effect Idempotency) Class {
		return Class{Name: name, LatencyObjective: 300 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1, Idempotency: effect}
	}
	set := Settings{Brokers: 2, Ordinal: 1, MeanUnits: 2, MaxUnits: 8, Capabilities: Capabilities{MaxAttempts: 3},
		Classes: []Class{class("old", Idempotent), class("gone", Idempotent)},
		Plans:   []Plan{{Name: "plan", Rate: 50, ReservedRate: 50, Weight: 1, Price: 1}}}
	g, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := Time(time.Hour)
	ask := func(id uint64, class string) Request {
		return Request{ID: id, Class: class, Plan: "plan", Volume: "v", Units: 1, Brokers: 1, Remaining: time.Second}
	}
	count := func(actions []Action) (sends, fails int) {
		for _, a := range actions {
			switch a.(type) {
			case Forward:
				sends++
			case Fail:
				fails++
			}
		}
		return sends, fails
	}
	sends, _ := count(g.Reduce(now, []Event{EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{Name: "n"}}}, ask(1, "gone"), ask(2, "gone")}))
	idle := ask(9, "old")
	idle.Volume = "w"
	g.Reduce(now, []Event{idle, ClientGone{ID: 9}})
	if sends != 2 {
		t.Fatalf("%d sends", sends)
	}
	next := set
	next.Ordinal, next.Capabilities.MaxAttempts = 0, 1
	next.Classes = []Class{class("old", NotIdempotent), class("new", NotIdempotent)}
	next.Plans = []Plan{{Name: "plan", Rate: 5, ReservedRate: 5, Weight: 1, Price: 1}}
	now += time.Millisecond
	sends, fails := count(g.Reduce(now, []Event{SettingsChanged{next}, ask(3, "new"), ask(4, "gone"), ClientGone{ID: 1},
		AttemptEnded{ID: 2, Node: "n", Outcome: ConnectionBroken}}))
	if sends != 1 || fails != 1 {
		t.Errorf("%d sends, %d fails: want the new class sent, the vanished one failed and no attempt beyond one", sends, fails)
	}
	if g.set.Ordinal != 1 || g.requests[3].class.Idempotency != NotIdempotent || g.requests[1].class.Idempotency != Idempotent || g.volumes["v"].plan.Rate != 5 {
		t.Error("the settings in force are not the new ones")
	}
	// Guards the tokens of a volume that nobody asks for just now: they must not jump with the new plan.
	if w := g.volumes["w"]; w.hosts != 1 || w.size != 13 || w.level >= w.size {
		t.Errorf("an idle volume has %v hosts, %v of %v tokens", w.hosts, w.level, w.size)
	}
	for range 400 {
		now += g.tick
		g.Reduce(now, []Event{TimerFired{Token: timerTick}})
	}
	if len(g.unserved) != 0 {
		t.Errorf("%d waits kept", len(g.unserved))
	}
}
