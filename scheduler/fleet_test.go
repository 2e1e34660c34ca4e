package scheduler_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

// fleet simulates many schedulers with one node, which serves units one after another at a fixed rate.
type fleet struct {
	schedulers []*scheduler.Scheduler
	rng        *rand.Rand
	now        scheduler.Time
	pending    timedQueue
	sequence   int
	freeAt     scheduler.Time // when the node has served all its requests
	perUnit    time.Duration
	sent       []sentUnits
	served     int
	plan       string
	volumes    map[uint64]string
	first      []firstForward // first forward of each request
	units      map[uint64]float64
	attempts   map[uint64]int
	rejected   map[uint64]bool
}

type firstForward struct {
	sentUnits
	volume string
}

func newFleet(t *testing.T, settings scheduler.Settings, perUnit time.Duration) *fleet {
	t.Helper()
	f := &fleet{
		rng:      rand.New(rand.NewPCG(3, 4)),
		now:      100 * second,
		perUnit:  perUnit,
		plan:     "high",
		volumes:  map[uint64]string{},
		units:    map[uint64]float64{},
		attempts: map[uint64]int{},
		rejected: map[uint64]bool{},
	}
	for i := range settings.Brokers {
		settings.Ordinal = i
		f.schedulers = append(f.schedulers, newScheduler(t, settings, uint64(i)))
		f.schedule(0, i, fullUpdate(oneNode))
	}
	return f
}

func (f *fleet) schedule(after time.Duration, broker int, event scheduler.Event) {
	f.sequence++
	heap.Push(&f.pending, timedEvent{f.now + after, f.sequence, broker, event})
}

// reduce passes an event to the scheduler of a broker and carries out the resulting actions.
func (f *fleet) reduce(broker int, event scheduler.Event) {
	for _, action := range f.schedulers[broker].Reduce(f.now, []scheduler.Event{event}) {
		switch a := action.(type) {
		case scheduler.SetTimer:
			f.schedule(a.After, broker, scheduler.TimerFired{Token: a.Token})
		case scheduler.SendToPeer:
			f.schedule(5*ms, a.Peer, scheduler.PeerMessage{From: broker, Data: a.Data})
		case scheduler.Reject:
			f.rejected[a.ID] = true
		case scheduler.Forward:
			f.serve(broker, a)
		}
	}
}

func (f *fleet) serve(broker int, a scheduler.Forward) {
	sent := sentUnits{f.now, f.units[a.ID]}
	f.sent = append(f.sent, sent)
	if f.attempts[a.ID] == 0 {
		f.first = append(f.first, firstForward{sent, f.volumes[a.ID]})
	}
	f.freeAt = max(f.freeAt, f.now) + time.Duration(f.units[a.ID]*float64(f.perUnit))
	f.schedule(f.freeAt-f.now, broker, scheduler.AttemptEnded{
		ID: a.ID, Attempt: f.attempts[a.ID], Node: a.Node,
		Latency: f.freeAt - f.now, Finished: true, Load: scheduler.NoLoadReport,
	})
	f.attempts[a.ID]++
}

// run simulates a span in which requests arrive at the given rate a second over all brokers.
func (f *fleet) run(span time.Duration, rate float64) {
	next, end := f.now, f.now+span
	for f.now < end {
		if len(f.pending) > 0 && f.pending[0].at <= next {
			e := heap.Pop(&f.pending).(timedEvent)
			f.now = e.at
			if ended, ok := e.event.(scheduler.AttemptEnded); ok && !f.rejected[ended.ID] {
				f.served++
			}
			f.reduce(e.broker, e.event)
			continue
		}
		f.now = next
		broker, id := f.rng.IntN(len(f.schedulers)), uint64(len(f.units)+1)
		f.units[id] = float64(1 + f.rng.IntN(3))
		f.volumes[id] = fmt.Sprint("v", broker%10)
		f.reduce(broker, scheduler.Request{
			ID: id, Class: "read", Plan: f.plan, Volume: f.volumes[id], Units: f.units[id],
			Brokers: len(f.schedulers) / 10, Remaining: 2000 * ms,
		})
		next = f.now + time.Duration(f.rng.ExpFloat64()/rate*float64(second))
	}
}

// mostWithin returns the maximum number of units sent within any window of the given length.
func mostWithin(sent []sentUnits, window time.Duration) float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, s := range sent {
		sum += s.units
		for ; s.at-sent[first].at > window; first++ {
			sum -= sent[first].units
		}
		most = max(most, sum)
	}
	return most
}

// A node starts, and each of 120 brokers has an even part of SlowStartUnits that is less than a request. With such a
// part as its budget, no broker could send, and the node stayed idle until it was warm. All brokers together must use
// the node, and must never send it more than it can handle.
func TestManyBrokersShareAStartingNode(t *testing.T) {
	for _, multiple := range []float64{2, 4} {
		t.Run(fmt.Sprint("multiple=", multiple), func(t *testing.T) {
			settings := basicSettings()
			settings.Brokers = 120
			settings.Capabilities.Peers = true
			slowStartRules(&settings.Rules, multiple)
			warm := 10 * ms // for each unit
			cold := 5 * warm
			settings.SlowStartUnits = multiple * settings.Rules.OverloadWindow.Seconds() / cold.Seconds()
			f := newFleet(t, settings, warm)
			f.run(20*second, 35)
			f.perUnit = cold
			f.sent, f.served = nil, 0
			started := scheduler.Endpoint{Name: "n:2", StartedAt: f.now}
			for i := range f.schedulers {
				f.schedule(time.Duration(i)*2*ms, i, fullUpdate(started))
			}
			f.run(6*second, 35)
			most := mostWithin(f.sent, settings.Rules.OverloadWindow)
			t.Logf("%v of %v units within the window, %d requests served", most, settings.SlowStartUnits, f.served)
			if most > settings.SlowStartUnits {
				t.Errorf("%v units sent within the window, want at most %v", most, settings.SlowStartUnits)
			}
			if f.served < 12 {
				t.Errorf("a starting node that can serve 60 requests served %d, want at least 12", f.served)
			}
		})
	}
}

// The rate limit of a volume must hold over all its 12 brokers together, even if a broker's part of the limit is only
// a unit a second.
func TestManyBrokersKeepALimitTogether(t *testing.T) {
	settings := basicSettings()
	settings.Brokers = 120
	settings.Capabilities.Peers = true
	plan := scheduler.Plan{
		Name: "low", Rate: 5, Weight: 1, Price: 1, Limit: 12, LimitBurst: 192, LimitOverdraft: 19,
	}
	settings.Plans[0] = plan
	f := newFleet(t, settings, ms)
	f.plan = "low"
	f.run(40*second, 150) // each volume requests 30 units a second
	level, at, total := map[string]float64{}, map[string]scheduler.Time{}, 0.0
	for _, s := range f.first {
		if at[s.volume] == 0 {
			level[s.volume], at[s.volume] = plan.LimitBurst, s.at
		}
		refill := plan.Limit * (s.at - at[s.volume]).Seconds()
		level[s.volume] = min(plan.LimitBurst, level[s.volume]+refill) - s.units
		at[s.volume] = s.at
		total += s.units
		if level[s.volume] < -plan.LimitOverdraft {
			t.Fatalf("token bucket of volume %s fell to %.1f units, beyond its overdraft", s.volume, level[s.volume])
		}
	}
	if even := total / 10 / 40; even < 0.7*plan.Limit {
		t.Errorf("volumes got a mean of %.1f units a second, want at least 0.7 of the limit of %v", even, plan.Limit)
	}
}
