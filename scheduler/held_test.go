package scheduler

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

type later struct {
	at    Time
	n     int
	event Event
}

type agenda []later

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].n < a[j].n
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(later)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// world has two gateways meet the same events: one spares itself looks, the other looks at all that is held
// in every step.
type world struct {
	t            *testing.T
	quick, plain *Scheduler
	now          Time
	n            int
	queue        agenda
	attempts     map[uint64]int
	sent, told   map[uint64]int
	freeAt       map[string]Time
	speed        time.Duration
	most         int // held at once
}

func newWorld(t *testing.T, set Settings, seed uint64) *world {
	t.Helper()
	w := &world{t: t, now: 100 * Time(time.Second), attempts: map[uint64]int{}, sent: map[uint64]int{}, told: map[uint64]int{}, freeAt: map[string]Time{}, speed: 5 * time.Millisecond}
	for _, g := range []**Scheduler{&w.quick, &w.plain} {
		var err error
		if *g, err = New(set, seed); err != nil {
			t.Fatal(err)
		}
	}
	w.plain.plain = true
	return w
}

func (w *world) later(after time.Duration, e Event) {
	w.n++
	heap.Push(&w.queue, later{w.now + after, w.n, e})
}

func (w *world) step(events ...Event) {
	w.t.Helper()
	got := w.quick.Reduce(w.now, events)
	if w.plain != nil {
		if want := w.plain.Reduce(w.now, events); !reflect.DeepEqual(got, want) {
			w.t.Fatalf("at %v: %v, but a look at all gives %v", w.now, got, want)
		}
	}
	held := 0
	for _, s := range w.quick.shards {
		held += len(s.held)
	}
	w.most = max(w.most, held)
	for _, action := range got {
		switch a := action.(type) {
		case SetTimer:
			w.later(a.After, TimerFired{Token: a.Token})
		case Reject:
			w.told[a.ID]++
		case Fail:
			w.told[a.ID]++
		case Forward:
			w.sent[a.ID]++
			w.freeAt[a.Node] = max(w.freeAt[a.Node], w.now) + w.speed
			w.later(w.freeAt[a.Node]-w.now, AttemptEnded{ID: a.ID, Attempt: w.attempts[a.ID], Node: a.Node, Outcome: Success, Latency: w.freeAt[a.Node] - w.now,
				Finished: true, Load: NoLoadReport})
			w.attempts[a.ID]++
		}
	}
}

// until plays what falls due up to a time.
func (w *world) until(end Time) {
	w.t.Helper()
	for len(w.queue) > 0 && w.queue[0].at <= end {
		w.now = w.queue[0].at
		var events []Event
		for len(w.queue) > 0 && w.queue[0].at <= w.now {
			events = append(events, heap.Pop(&w.queue).(later).event)
		}
		w.step(events...)
	}
	w.now = end
}

func heldSettings() Settings {
	return Settings{Brokers: 1, MeanUnits: 2, MaxUnits: 8, SpareWeight: 0.05, ShareWeight: 0.4,
		Classes: []Class{{Name: "read", LatencyObjective: 150 * time.Millisecond, Deadline: 750 * time.Millisecond, PriorityWeight: 3}, {Name: "bulk", LatencyObjective: 750 * time.Millisecond, Deadline: 2500 * time.Millisecond, PriorityWeight: 1},
			{Name: "write", LatencyObjective: 200 * time.Millisecond, Deadline: 1200 * time.Millisecond, PriorityWeight: 2, Idempotency: NotIdempotent}},
		Plans: []Plan{{Name: "small", Rate: 2, ReservedRate: 1, Weight: 1, Price: 1}, {Name: "large", Rate: 100, ReservedRate: 100, Weight: 1, Price: 1}}, Capabilities: Capabilities{MaxAttempts: 3}}
}

func (w *world) list(nodes, shards int) []Endpoint {
	var list []Endpoint
	for i := range nodes {
		list = append(list, Endpoint{Name: fmt.Sprint("n", i), Shard: i % shards})
	}
	w.step(EndpointUpdate{Kind: FullUpdate, Version: 1, Endpoints: list})
	return list
}

// A look that spares itself what cannot have moved decides as one at all that is held, in queues that volumes
// without tokens fill, with arrivals that are due earlier and later than what waits, and leavings from the
// middle.
func TestLooksAgree(t *testing.T) {
	for seed := range uint64(6) {
		rng := rand.New(rand.NewPCG(seed, 7))
		w := newWorld(t, heldSettings(), seed)
		w.speed = time.Duration(1+rng.IntN(12)) * time.Millisecond
		shards := 1 + rng.IntN(4)
		w.list(shards+rng.IntN(shards+1), shards)
		id := uint64(0)
		pace := time.Duration(200+rng.IntN(2000)) * time.Microsecond
		for end := w.now + Time(2*time.Second); w.now < end; {
			w.until(w.now + time.Duration(rng.Int64N(int64(2*pace))))
			id++
			plan, volume := "small", "hog"
			if rng.IntN(10) == 0 {
				volume = fmt.Sprint("v", rng.IntN(20))
				plan = []string{"small", "large"}[len(volume)%2]
			}
			class := w.quick.set.Classes[rng.IntN(3)]
			w.step(Request{ID: id, Class: class.Name, Plan: plan, Volume: volume, Units: float64(1 + rng.IntN(8)), Shard: rng.IntN(shards), Brokers: 1,
				Remaining: class.Deadline})
			if rng.IntN(20) == 0 {
				w.step(ClientGone{ID: 1 + rng.Uint64N(id)})
			}
		}
		if w.most < 20 {
			t.Errorf("seed %d: %d held at the most", seed, w.most)
		}
	}
}

// hold has so many requests wait at one shard without a node.
func (w *world) hold(requests int, change func(i int, r *Request)) {
	w.t.Helper()
	var events []Event
	for i := range requests {
		r := Request{ID: uint64(i + 1), Class: "read", Plan: "large", Volume: fmt.Sprint("v", i%100), Units: 1, Brokers: 1, Remaining: 750 * time.Millisecond}
		if change != nil {
			change(i, &r)
		}
		events = append(events, r)
	}
	w.step(events...)
}

// hundredThousand is played without the reference, which would look at all that is held in every step.
func hundredThousand(t *testing.T) *world {
	w := newWorld(t, heldSettings(), 1)
	w.plain, w.quick.plain = nil, false
	return w
}

func (w *world) answered(want int) {
	w.t.Helper()
	sum := 0
	for id, n := range w.told {
		if sum += n; n != 1 {
			w.t.Fatalf("request %d got %d answers", id, n)
		}
	}
	if sum != want {
		w.t.Errorf("%d answers, not %d", sum, want)
	}
}

// 100,000 requests are held, and all fall due within one millisecond: each gets its one answer at once. A
// queue in a slice from whose front each is moved away took seconds.
func TestAllDueAtOnce(t *testing.T) {
	w := hundredThousand(t)
	w.hold(100_000, nil)
	w.until(w.now + Time(140*time.Millisecond))
	if len(w.told) > 0 {
		t.Fatalf("%d answers before it was time", len(w.told))
	}
	w.until(w.now + Time(40*time.Millisecond)) // the aim is over, and a tick
	w.answered(100_000)
}

// Each held request is left by its client, in no order: nothing is answered, sent or kept.
func TestLeaveAll(t *testing.T) {
	w := newWorld(t, heldSettings(), 1)
	w.hold(1500, func(i int, r *Request) { r.Class = []string{"read", "bulk", "write"}[i%3] })
	for _, i := range rand.New(rand.NewPCG(1, 1)).Perm(1500) {
		w.step(ClientGone{ID: uint64(i + 1)})
	}
	w.list(3, 1)
	w.until(w.now + Time(time.Second))
	if len(w.told)+len(w.sent)+len(w.quick.requests) > 0 {
		t.Errorf("%d answers, %d sends, %d kept", len(w.told), len(w.sent), len(w.quick.requests))
	}
}

// A node comes back to 10,000 waiting requests: it gets no more at once than its bound, and while it is cold
// never more than it has saved up or served.
func TestReturnToCrowd(t *testing.T) {
	set := heldSettings()
	set.Rules.WarmUpTime, set.Rules.OverloadWindow, set.Rules.OverloadMultiple, set.Rules.InitialCapacity, set.SlowStartUnits = 17*time.Second, 3*time.Second, 4, 0.18, 41
	w := newWorld(t, set, 1)
	old := w.list(1, 1)[0]
	gone := old
	gone.State = Removed
	w.step(EndpointUpdate{Kind: DeltaUpdate, Version: 2, Endpoints: []Endpoint{gone}})
	w.hold(10_000, func(i int, r *Request) { r.Class, r.Remaining = "bulk", 2500*time.Millisecond })
	began := w.now
	old.StartedAt = w.now
	w.step(EndpointUpdate{Kind: DeltaUpdate, Version: 3, Endpoints: []Endpoint{old}})
	for w.now < began+Time(2400*time.Millisecond) {
		w.until(w.now + Time(5*time.Millisecond))
		if n := w.quick.nodes["n0"]; float64(n.out) > max(1, n.bound) {
			t.Fatalf("%d out, the bound is %.1f", n.out, n.bound)
		} else if least := n.savings; least < 0 {
			t.Fatalf("%.1f units beyond what a cold node bears", -least)
		}
	}
	if len(w.sent) == 0 {
		t.Error("nothing was sent")
	}
	w.until(w.now + Time(time.Second))
	if len(w.told)+len(w.sent) < 10_000 {
		t.Errorf("%d told and %d sent", len(w.told), len(w.sent))
	}
}

// The clock stands still for a while and then jumps by a second, classes vanish under what is held, and ids
// come again: each request has one end.
func TestClockJumpsAndClassesVanish(t *testing.T) {
	w := newWorld(t, heldSettings(), 1)
	w.list(2, 1)
	w.hold(3000, func(i int, r *Request) { r.Class = []string{"read", "bulk", "write"}[i%3] })
	for range 100 {
		w.step()
	}
	less := heldSettings()
	less.Classes, less.Plans = less.Classes[1:2], less.Plans[:1]
	w.step(SettingsChanged{Settings: less})
	again := uint64(0) // one that waits: its id is not taken a second time
	for id := range w.quick.requests {
		if r := w.quick.requests[id]; r.lane != nil && (again == 0 || id < again) {
			again = id
		}
	}
	w.step(Request{ID: again, Class: "bulk", Plan: "small", Volume: "other", Units: 1, Brokers: 1, Remaining: time.Second})
	w.now += Time(time.Second)
	w.step()
	w.until(w.now + Time(3*time.Second))
	for id := uint64(1); id <= 3000; id++ {
		if w.told[id]+min(1, w.sent[id]) != 1 && w.told[id] != 1 {
			t.Fatalf("request %d: %d answers, %d sends", id, w.told[id], w.sent[id])
		}
	}
	if len(w.quick.requests) > 0 {
		t.Errorf("%d are kept", len(w.quick.requests))
	}
	w.step(Request{ID: 1, Class: "bulk", Plan: "small", Volume: "new", Units: 1, Brokers: 1, Remaining: time.Second}) // an id whose request is over
	if w.quick.requests[1] == nil {
		t.Error("an id that is free again is not taken")
	}
}
