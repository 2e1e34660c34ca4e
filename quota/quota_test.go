package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// step is the time between two steps of a play.
const step = 10 * time.Millisecond

// rounding is by how many units sums may be off.
const rounding = 1e-6

// store is the one store that the rule is about: it starts full, and units are taken from it as they arrive.
type store struct {
	limit    Limit
	level    float64
	lowest   float64
	arriving map[Time]float64 // units, by when they arrive
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

// process takes as much as its quota allows.
type process struct {
	quota    Quota
	arrivals map[uint64]Time // when what a request took arrives
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

// brokerStep is what happens to a broker in one step of a play.
type brokerStep struct {
	start bool          // another process starts beside it
	kill  bool          // its oldest process is killed
	delay time.Duration // after which units that it takes now arrive
	units float64       // of each request
}

// simulate has brokers take all that they may for some steps. Each has a process, beside which another may start
// and of which either may be killed with units in transit. next draws what happens to a broker; limits are in
// force one after the other.
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

// dropInTransit has what a killed process has in transit arrive in the next step, or never.
func (s *store) dropInTransit(now Time, p *process, arrives bool) {
	for id, at := range p.arrivals {
		if at <= now {
			continue // it has arrived, in this step
		}
		units := p.quota.requests[id]
		s.arriving[at] -= units
		if arrives {
			s.arriving[now+step] += units
		}
	}
}

// Processes start beside others, are killed with requests in transit, or see their requests arrive late,
// while all send as much as they may. The sum over all of them must keep to the limit at each moment.
func TestSumKeepsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := Limit{
			Rate:  rapid.Float64Range(1, 60).Draw(t, "rate"),
			Burst: rapid.Float64Range(1, 90).Draw(t, "burst"),
		}
		limits := []Limit{first}
		// New settings raise the limit: a lower one would find the store emptied by what was right before.
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
			t.Fatalf("the store fell to %v", lowest)
		}
	})
}

// A process dies right after it has spent its quota, again and again, and its successor starts at once. The
// store has nothing for the successor yet, so its quota starts empty.
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
				t.Errorf("the store fell to %v with %v units taken", lowest, taken)
			}
		})
	}
}

// The check of these plays can fail: where each of two processes takes the whole of its broker's share, the
// store falls far below empty.
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
		t.Errorf("the store fell to %v only", s.lowest)
	}
}

// What a process may take at a steady rate is its share, also while what it took needs a while to arrive.
func TestQuotaIsUsed(t *testing.T) {
	for _, c := range []struct {
		brokers  int
		delay    time.Duration
		units    float64
		minShare float64 // of the quota that must be used
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
				t.Errorf("%v units in 30 s, want %v", taken, want)
			}
		})
	}
}

// A share or a rate that rises gives nothing for the time before; one that falls counts at once.
func TestRefillUsesPreviousLimit(t *testing.T) {
	q := New(0)
	low, high := Limit{Rate: 10, Burst: 100}, Limit{Rate: 1000, Burst: 100}
	q.Refill(0, low, 0.5)
	q.Refill(time.Second, high, 1)
	if math.Abs(q.tokens-5) > 1e-9 {
		t.Errorf("%v tokens after a second at 5 a second", q.tokens)
	}
	q.Refill(2*time.Second, high, 0.25)
	if q.tokens != 25 {
		t.Errorf("%v tokens in a quarter of 100", q.tokens)
	}
	// what is refunded counts as never taken, and once only
	q.Take(1, 20)
	q.Take(2, 5)
	q.Refund(1)
	q.Refund(1)
	q.Settle(2)
	if q.tokens != 20 || q.inTransit != 0 {
		t.Errorf("%v tokens and %v in transit, want 20 and 0", q.tokens, q.inTransit)
	}
}

// A volume without a rate limit is held to none, and costs no memory for its requests.
func TestNoLimit(t *testing.T) {
	q := New(0)
	q.Refill(time.Second, Limit{}, 1)
	q.Take(1, 1e9)
	if !q.Allows(1e9) || q.requests != nil {
		t.Error("a volume without a limit is held to one")
	}
}
