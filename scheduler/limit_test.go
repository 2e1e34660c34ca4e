package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

// answerTime is the time after which the node answers each request.
const answerTime = 30 * ms

// tier simulates the processes of a tier with one node that answers each request after answerTime. A broker may
// have two processes.
type tier struct {
	t         *testing.T
	settings  scheduler.Settings
	now       scheduler.Time
	processes []*tierProcess
	lastID    uint64
	sent      []sentUnits // of the requests that came under a plan with a limit

	planOf func(ordinal int) string // the plan of the next request through a broker; nil for "low"
}

type tierProcess struct {
	ordinal   int
	scheduler *scheduler.Scheduler
	timers    []scheduler.Time
	answers   []tierAnswer // in the order of arrival
	units     map[uint64]float64
	unlimited map[uint64]bool // requests under a plan without a limit
	forwarded map[uint64]bool
}

type tierAnswer struct {
	at    scheduler.Time
	event scheduler.AttemptEnded
}

// start starts a process of a broker.
func (r *tier) start(ordinal int) {
	r.t.Helper()
	settings := r.settings
	settings.Ordinal = ordinal
	p := &tierProcess{
		ordinal:   ordinal,
		scheduler: newScheduler(r.t, settings, uint64(len(r.processes))),
		units:     map[uint64]float64{},
		unlimited: map[uint64]bool{},
		forwarded: map[uint64]bool{},
	}
	r.processes = append(r.processes, p)
	r.step(p, scheduler.ProcessesChanged{Processes: 1, Unseen: 1}, fullUpdate(oneNode))
}

// kill ends the oldest process of a broker. Its attempts in flight are dropped.
func (r *tier) kill(ordinal int) {
	isOf := func(p *tierProcess) bool { return p.ordinal == ordinal }
	if i := slices.IndexFunc(r.processes, isOf); i >= 0 {
		r.processes = slices.Delete(r.processes, i, i+1)
	}
}

func (r *tier) step(p *tierProcess, events ...scheduler.Event) {
	for _, action := range p.scheduler.Reduce(r.now, events) {
		switch a := action.(type) {
		case scheduler.SetTimer:
			p.timers = append(p.timers, r.now+a.After)
		case scheduler.Forward:
			if !p.forwarded[a.ID] {
				p.forwarded[a.ID] = true
				if !p.unlimited[a.ID] {
					r.sent = append(r.sent, sentUnits{r.now, p.units[a.ID]})
				}
			}
			p.answers = append(p.answers, tierAnswer{r.now + answerTime, scheduler.AttemptEnded{
				ID: a.ID, Node: a.Node, Latency: answerTime, Finished: true, Load: scheduler.NoLoadReport,
			}})
		}
	}
}

// advance advances the clock while each process receives far more requests than the limit admits.
func (r *tier) advance(span time.Duration, rng *rand.Rand) {
	for end := r.now + span; r.now < end; {
		r.now += 5 * ms
		for _, p := range r.processes {
			events := p.dueEvents(r.now)
			r.lastID++
			units := float64(1 + rng.IntN(int(r.settings.MaxUnits)))
			p.units[r.lastID] = units
			plan := "low"
			if r.planOf != nil {
				plan = r.planOf(p.ordinal)
			}
			p.unlimited[r.lastID] = plan == freePlan
			r.step(p, append(events, scheduler.Request{
				ID: r.lastID, Class: "read", Plan: plan, Volume: "v", Units: units,
				Brokers: r.settings.Brokers, Remaining: 2000 * ms,
			})...)
		}
	}
}

// dueEvents removes and returns the expired timers and the answers that have arrived.
func (p *tierProcess) dueEvents(now scheduler.Time) (events []scheduler.Event) {
	for len(p.timers) > 0 && p.timers[0] <= now {
		p.timers = p.timers[1:]
		events = append(events, scheduler.TimerFired{Token: 1})
	}
	for len(p.answers) > 0 && p.answers[0].at <= now {
		events = append(events, p.answers[0].event)
		p.answers = p.answers[1:]
	}
	return events
}

// checkLimit checks that the sent units never exceeded a plan's limit, and that they used at least 0.3 of it.
func (r *tier) checkLimit(plan scheduler.Plan, start scheduler.Time) {
	r.t.Helper()
	level, at, total := plan.LimitBurst, start, 0.0
	for _, s := range r.sent {
		level = min(plan.LimitBurst, level+plan.Limit*(s.at-at).Seconds()) - s.units
		at = s.at
		total += s.units
		if level < -plan.LimitOverdraft-1e-6 {
			r.t.Fatalf("the limit's token bucket fell to %.2f units after %v, beyond its overdraft", level, s.at-start)
		}
	}
	if want := 0.3 * plan.Limit * (r.now - start).Seconds(); total < want {
		r.t.Errorf("%.0f units sent, want at least %.0f", total, want)
	}
}

// disturbances are what happens to one broker after another while the volume is at its limit.
var disturbances = map[string]func(r *tier, ordinal int, rng *rand.Rand){
	"nothing": func(*tier, int, *rand.Rand) {},
	"second process runs beside the first": func(r *tier, ordinal int, rng *rand.Rand) {
		r.start(ordinal)
		r.advance(1500*ms, rng)
		r.kill(ordinal)
	},
	"killed and restarted": func(r *tier, ordinal int, rng *rand.Rand) {
		r.kill(ordinal)
		r.advance(700*ms, rng)
		r.start(ordinal)
	},
	"killed and restarted at once": func(r *tier, ordinal int, rng *rand.Rand) {
		for range 5 {
			r.kill(ordinal)
			r.start(ordinal)
			r.advance(200*ms, rng)
		}
	},
	"same settings applied again": func(r *tier, ordinal int, _ *rand.Rand) {
		for _, p := range r.processes {
			if p.ordinal == ordinal {
				r.step(p, scheduler.SettingsChanged{Settings: r.settings})
			}
		}
	},
}

// The rate limit of a volume must hold over one, two and five brokers, although the processes exchange no messages.
// Depending on the subtest, each broker in turn runs a second process, is killed and restarted, or receives its
// settings again. The brokers must also use at least 0.3 of the limit.
func TestRateLimitOverBrokers(t *testing.T) {
	plans := []struct {
		maxUnits float64
		plan     scheduler.Plan
	}{
		{8, scheduler.Plan{Rate: 4.5, ReservedRate: 1.4, Limit: 36, LimitBurst: 48, LimitOverdraft: 8}},
		{3, scheduler.Plan{Rate: 20, ReservedRate: 20, Limit: 160, LimitBurst: 120, LimitOverdraft: 12}},
	}
	for _, c := range plans {
		for _, brokers := range []int{1, 2, 5} {
			for name, disturb := range disturbances {
				t.Run(fmt.Sprintf("units of 1 to %v/%d brokers/%s", c.maxUnits, brokers, name), func(t *testing.T) {
					plan := c.plan
					plan.Name, plan.Weight, plan.Price = "low", 1, 1
					settings := basicSettings()
					settings.Brokers = brokers
					settings.Plans[0] = plan
					settings.MaxUnits = c.maxUnits
					start := 100 * second
					rng := rand.New(rand.NewPCG(uint64(brokers), 6))
					r := &tier{t: t, settings: settings, now: start}
					for ordinal := range brokers {
						r.start(ordinal)
					}
					for ordinal := range brokers {
						r.advance(2*second, rng)
						disturb(r, ordinal, rng)
					}
					r.advance(2*second, rng)
					r.checkLimit(plan, start)
				})
			}
		}
	}
}
