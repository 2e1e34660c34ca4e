package scheduler_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

// fleet drives many gateways before one node, which serves one unit after another at a fixed rate.
type fleet struct {
	gateways []*scheduler.Scheduler
	rng      *rand.Rand
	now      scheduler.Time
	pending  fleetQueue
	count    int
	freeAt   scheduler.Time // when the node is done with what it took
	perUnit  time.Duration
	sends    []load
	served   int
	plan     string
	volumes  map[uint64]string
	first    []firstSend // first send of each request
	units    map[uint64]float64
	attempts map[uint64]int
	over     map[uint64]bool
}

type firstSend struct {
	load
	volume string
}

type fleetEvent struct {
	at    scheduler.Time
	order int
	who   int
	event scheduler.Event
}

type fleetQueue []fleetEvent

func (q fleetQueue) Len() int { return len(q) }
func (q fleetQueue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].order < q[b].order
}
func (q fleetQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *fleetQueue) Push(x any)   { *q = append(*q, x.(fleetEvent)) }
func (q *fleetQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newFleet(t *testing.T, set scheduler.Settings, perUnit time.Duration) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(3, 4)), now: 100 * second, perUnit: perUnit, plan: "high", volumes: map[uint64]string{},
		units: map[uint64]float64{}, attempts: map[uint64]int{}, over: map[uint64]bool{}}
	for i := range set.Brokers {
		set.Ordinal = i
		g, err := scheduler.New(set, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		f.gateways = append(f.gateways, g)
		f.later(0, i, scheduler.EndpointUpdate{Kind: scheduler.FullUpdate, Endpoints: []scheduler.Endpoint{{Name: "n:1"}}})
	}
	return f
}

func (f *fleet) later(after time.Duration, who int, event scheduler.Event) {
	f.count++
	heap.Push(&f.pending, fleetEvent{f.now + after, f.count, who, event})
}

func (f *fleet) act(who int, actions []scheduler.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case scheduler.SetTimer:
			f.later(a.After, who, scheduler.TimerFired{Token: a.Token})
		case scheduler.SendToPeer:
			f.later(5*ms, a.Peer, scheduler.PeerMessage{From: who, Data: a.Data})
		case scheduler.Reject:
			f.over[a.ID] = true
		case scheduler.Forward:
			f.sends = append(f.sends, load{f.now, f.units[a.ID]})
			if f.attempts[a.ID] == 0 {
				f.first = append(f.first, firstSend{load{f.now, f.units[a.ID]}, f.volumes[a.ID]})
			}
			f.freeAt = max(f.freeAt, f.now) + time.Duration(f.units[a.ID]*float64(f.perUnit))
			f.later(f.freeAt-f.now, who, scheduler.AttemptEnded{ID: a.ID, Attempt: f.attempts[a.ID], Node: a.Node,
				Latency: f.freeAt - f.now, Finished: true, Load: scheduler.NoLoadReport})
			f.attempts[a.ID]++
		}
	}
}

// run plays a span in which requests arrive at a rate over all hosts.
func (f *fleet) run(span time.Duration, perSecond float64) {
	next, end := f.now, f.now+span
	for f.now < end {
		if len(f.pending) > 0 && f.pending[0].at <= next {
			e := heap.Pop(&f.pending).(fleetEvent)
			f.now = e.at
			if ended, ok := e.event.(scheduler.AttemptEnded); ok && !f.over[ended.ID] {
				f.served++
			}
			f.act(e.who, f.gateways[e.who].Reduce(f.now, []scheduler.Event{e.event}))
			continue
		}
		f.now = next
		who, id := f.rng.IntN(len(f.gateways)), uint64(len(f.units)+1)
		f.units[id], f.volumes[id] = float64(1+f.rng.IntN(3)), fmt.Sprint("v", who%10)
		f.act(who, f.gateways[who].Reduce(f.now, []scheduler.Event{scheduler.Request{ID: id, Class: "read", Plan: f.plan,
			Volume: f.volumes[id], Units: f.units[id], Brokers: len(f.gateways) / 10, Remaining: 2000 * ms}}))
		next = f.now + time.Duration(f.rng.ExpFloat64()/perSecond*float64(second))
	}
}

// An even part of the cold units over many hosts is less than a request; a cold node once stood idle
// until it was warm. All hosts together must use it, and never send more than it bears.
func TestManyHostsShareAColdNode(t *testing.T) {
	for _, multiple := range []float64{2, 4} {
		set := plain()
		set.Brokers, set.Capabilities.Peers = 120, true
		set.Rules.OverloadWindow, set.Rules.WarmUpTime, set.Rules.InitialCapacity, set.Rules.OverloadMultiple = 2*second, 17*second, 0.2, multiple
		warm := 10 * ms
		cold := 5 * warm
		set.SlowStartUnits = multiple * set.Rules.OverloadWindow.Seconds() / cold.Seconds()
		f := newFleet(t, set, warm)
		f.run(20*second, 35)
		f.perUnit = cold
		f.sends, f.served = nil, 0
		for i := range f.gateways {
			f.later(time.Duration(i)*2*ms, i, scheduler.EndpointUpdate{Kind: scheduler.FullUpdate, Endpoints: []scheduler.Endpoint{{Name: "n:2", StartedAt: f.now}}})
		}
		f.run(6*second, 35)
		most, sum, first := 0.0, 0.0, 0
		for _, s := range f.sends {
			sum += s.units
			for ; s.at-f.sends[first].at > set.Rules.OverloadWindow; first++ {
				sum -= f.sends[first].units
			}
			most = max(most, sum)
		}
		t.Logf("multiple %v: most %v of %v units, %d served", multiple, most, set.SlowStartUnits, f.served)
		if most > set.SlowStartUnits {
			t.Errorf("multiple %v: %v units sent within the rule's time, the node bears %v", multiple, most, set.SlowStartUnits)
		}
		if f.served < 12 {
			t.Errorf("multiple %v: a cold node that can serve 60 requests served %d", multiple, f.served)
		}
	}
}

// A limit holds over all hosts of a volume together, also where a host's part of it is less than a request.
func TestManyHostsKeepALimitTogether(t *testing.T) {
	set := plain()
	set.Brokers, set.Capabilities.Peers = 120, true
	set.Plans[0] = scheduler.Plan{Name: "low", Rate: 5, Weight: 1, Price: 1, Limit: 12, LimitBurst: 192, LimitOverdraft: 19}
	f := newFleet(t, set, ms)
	f.plan = "low"
	f.run(40*second, 150) // each volume asks for 30 units a second
	left, at, sent := map[string]float64{}, map[string]scheduler.Time{}, 0.0
	for _, s := range f.first {
		if at[s.volume] == 0 {
			left[s.volume], at[s.volume] = set.Plans[0].LimitBurst, s.at
		}
		left[s.volume] = min(set.Plans[0].LimitBurst, left[s.volume]+set.Plans[0].Limit*(s.at-at[s.volume]).Seconds()) - s.units
		at[s.volume] = s.at
		sent += s.units
		if left[s.volume] < -set.Plans[0].LimitOverdraft {
			t.Fatalf("volume %s is at %.1f", s.volume, left[s.volume])
		}
	}
	if even := sent / 10 / 40; even < 0.7*set.Plans[0].Limit {
		t.Errorf("volumes got %.1f units a second each of a limit of %v", even, set.Plans[0].Limit)
	}
}
