package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// step is the time between two steps of a simulation.
const step = 10 * time.Millisecond

// rounding is the tolerated rounding error of sums, in units.
const rounding = 1e-6

// store is the shared store that the limit describes. It starts full, and units are deducted when they arrive.
type store struct {
	limit    Limit
	level    float64
	lowest   float64
	arriving map[Time]float64 // units by time of arrival
}

func newStore(limit Limit) *store {
	return &store{limit: limit, level: limit.Burst, arriving: map[Time]float64{}}
}

func (s *store) advance(now Time) {
	s.level = min(s.limit.Burst, s.level+s.limit.Rate*step.Seconds())
	s.level -= s.arriving[now]
	delete(s.arriving, now)
	s.lowest = min(s.lowest, s.level)
}

// process takes all units that its quota allows.
type process struct {
	quota    Quota
	arrivals map[uint64]Time // by request: time at which its units arrive
}

func newProcess(now Time) *process { return &process{New(now), map[uint64]Time{}} }

// settleArrived settles the requests whose units have arrived.
func (p *process) settleArrived(now Time) {
	for id, at := range p.arrivals {
		if at <= now {
			p.quota.Settle(id)
			delete(p.arrivals, id)
		}
	}
}

// brokerStep describes the actions of a broker in one step of a simulation.
type brokerStep struct {
	start bool          // start a second process
	kill  bool          // kill the oldest process
	delay time.Duration // time until the units taken in this step arrive
	units float64       // units of each request
}

// simulate runs the given number of steps, in which brokers take all units that their quotas allow. Each broker has up
// to two processes, which may be killed with units in transit. next returns the actions of a broker in a step. Each of
// the limits applies for an equal part of the steps. simulate returns the lowest level of the store, or 0 if the level
// never fell below 0, and the units taken.
func simulate(steps, brokers int, limits []Limit, next func() brokerStep) (lowest, taken float64) {
	s := newStore(limits[0])
	now, id := Time(0), uint64(0)
	running := make([][]*process, brokers)
	for i := range running {
		running[i] = []*process{newProcess(now)}
	}
	share := 1 / float64(brokers) / 2
	for n := range steps {
		now += step
		s.limit = limits[n*len(limits)/steps]
		s.advance(now)
		for i := range running {
			m := next()
			if m.start && len(running[i]) < 2 {
				running[i] = append(running[i], newProcess(now))
			}
			if m.kill && len(running[i]) > 0 {
				s.dropInTransit(now, running[i][0], n%2 == 0)
				running[i] = running[i][1:]
			}
			for _, p := range running[i] {
				p.settleArrived(now)
				p.quota.Refill(now, s.limit, share)
				for p.quota.Allows(m.units) {
					id++
					p.quota.Take(id, m.units)
					at := now + step + m.delay.Truncate(step)
					p.arrivals[id] = at
					s.arriving[at] += m.units
					taken += m.units
				}
			}
		}
	}
	return s.lowest, taken
}

// dropInTransit ends the transit of a killed process's units: they arrive in the next step or, if arrives is false,
// never.
func (s *store) dropInTransit(now Time, p *process, arrives bool) {
	for id, at := range p.arrivals {
		if at <= now {
			continue // these units have arrived in this step
		}
		units := p.quota.requests[id]
		s.arriving[at] -= units
		if arrives {
			s.arriving[now+step] += units
		}
	}
}

// Processes start while others run, are killed with requests in transit, or have requests that arrive late, while all
// processes send as much as they may. All processes together must stay within the limit at all times.
func TestSumKeepsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := Limit{
			Rate:  rapid.Float64Range(1, 60).Draw(t, "rate"),
			Burst: rapid.Float64Range(1, 90).Draw(t, "burst"),
		}
		limits := []Limit{first}
		// The settings change only to a larger limit, because units taken under a larger limit may empty a smaller
		// store.
		if rapid.Bool().Draw(t, "settings change") {
			limits = append(limits, Limit{Rate: 2 * first.Rate, Burst: 2 * first.Burst})
		}
		brokers := rapid.SampledFrom([]int{1, 2, 5}).Draw(t, "brokers")
		delays := rapid.SliceOfN(rapid.IntRange(0, 300), 64, 64).Draw(t, "delays in steps")
		events := rapid.SliceOfN(rapid.IntRange(0, 12), 64, 64).Draw(t, "events")
		n := 0
		lowest, _ := simulate(1500, brokers, limits, func() brokerStep {
			n++
			event, delay := events[n*7%64], delays[n%64]
			return brokerStep{
				start: event == 0,
				kill:  event == 1 && n%3 == 0,
				delay: time.Duration(delay) * step,
				units: 1 + float64(delay%8),
			}
		})
		if lowest < -rounding {
			t.Fatalf("lowest store level %v, want at least 0", lowest)
		}
	})
}

// A process repeatedly dies right after it has spent its quota, and its successor starts immediately. The store has no
// tokens for the successor yet. If the successor's quota did not start empty, the store's level would fall below 0.
func TestSuccessorsStartEmpty(t *testing.T) {
	for _, brokers := range []int{1, 2, 5} {
		t.Run(fmt.Sprint("brokers=", brokers), func(t *testing.T) {
			n := 0
			lowest, taken := simulate(1500, brokers, []Limit{{Rate: 36, Burst: 56}}, func() brokerStep {
				n++
				step := n / brokers
				return brokerStep{start: step > 200, kill: step > 200 && step%40 == 0, units: 1}
			})
			if lowest < -rounding || taken < 36.0/2*15/2 {
				t.Errorf("lowest store level %v, want at least 0; %v units taken, want at least %v",
					lowest, taken, 36.0/2*15/2)
			}
		})
	}
}

// The check of the lowest store level can fail: if each of two processes takes the whole share of the broker, the
// store's level falls far below 0.
func TestCheckDetectsSharesAboveOne(t *testing.T) {
	limit := Limit{Rate: 36, Burst: 56}
	s := newStore(limit)
	quotas := []Quota{New(0), New(0)}
	for now := Time(0); now < 10*time.Second; now += step {
		s.advance(now)
		for i := range quotas {
			quotas[i].Refill(now, limit, 1)
			for quotas[i].Allows(1) {
				quotas[i].Take(uint64(now), 1)
				quotas[i].Settle(uint64(now))
				s.arriving[now+step]++
			}
		}
	}
	if s.lowest > -8 {
		t.Errorf("lowest store level %v, want at most -8", s.lowest)
	}
}

// A process can take units at nearly its share of the rate, even if the units take time to arrive.
func TestQuotaIsUsed(t *testing.T) {
	for _, c := range []struct {
		brokers  int
		delay    time.Duration
		units    float64
		minShare float64 // minimum part of the quota that must be used
	}{
		{1, 0, 1, 0.95},
		{1, 500 * time.Millisecond, 1, 0.95},
		{1, time.Second, 8, 0.9},
		{3, 300 * time.Millisecond, 8, 0.9},
		{5, 0, 1, 0.95},
	} {
		t.Run(fmt.Sprintf("brokers=%d/delay=%v/units=%v", c.brokers, c.delay, c.units), func(t *testing.T) {
			limit := Limit{Rate: 36, Burst: 56}
			steady := brokerStep{delay: c.delay, units: c.units}
			_, taken := simulate(3000, c.brokers, []Limit{limit}, func() brokerStep { return steady })
			if want := limit.Rate / 2 * 30 * c.minShare; taken < want {
				t.Errorf("%v units taken in 30 s, want at least %v", taken, want)
			}
		})
	}
}

// A larger share or rate has no effect on the time before the change. A smaller share takes effect immediately.
// Refunded units can be taken again.
func TestRefillUsesPreviousLimit(t *testing.T) {
	q := New(0)
	low, high := Limit{Rate: 10, Burst: 100}, Limit{Rate: 1000, Burst: 100}
	q.Refill(0, low, 0.5)
	q.Refill(time.Second, high, 1)
	if math.Abs(q.tokens-5) > 1e-9 {
		t.Errorf("%v tokens after 1 s at 5 units per second, want 5", q.tokens)
	}
	q.Refill(2*time.Second, high, 0.25)
	if q.tokens != 25 {
		t.Errorf("%v tokens at a quarter of a burst of 100, want 25", q.tokens)
	}
	// Refunded units count as never taken, and are returned only once.
	q.Take(1, 20)
	q.Take(2, 5)
	q.Refund(1)
	q.Refund(1)
	q.Settle(2)
	if q.tokens != 20 || q.inTransit != 0 {
		t.Errorf("%v tokens and %v in transit, want 20 and 0", q.tokens, q.inTransit)
	}
}

// A volume without a rate limit is not limited, and its requests take no memory.
func TestNoLimit(t *testing.T) {
	q := New(0)
	q.Refill(time.Second, Limit{}, 1)
	q.Take(1, 1e9)
	if !q.Allows(1e9) || q.requests != nil {
		t.Errorf("without a limit: 1e9 units allowed %v, requests %v, want true and nil", q.Allows(1e9), q.requests)
	}
}
