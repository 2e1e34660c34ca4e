package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

// brokers is a tier of processes before one node that answers each request after a while. One host may have
// two processes.
type brokers struct {
	t     *testing.T
	set   scheduler.Settings
	now   scheduler.Time
	procs []*broker
	ids   uint64
	sends []load
}

type broker struct {
	host    int
	gateway *scheduler.Scheduler
	timers  []scheduler.Time
	ends    []scheduler.AttemptEnded // in the order in which they come
	endsAt  []scheduler.Time
	units   map[uint64]float64
	once    map[uint64]bool
}

const answerTime = 30 * ms

func (b *brokers) start(host int) {
	set := b.set
	set.Ordinal = host
	g, err := scheduler.New(set, uint64(len(b.procs)))
	if err != nil {
		b.t.Fatal(err)
	}
	p := &broker{host: host, gateway: g, units: map[uint64]float64{}, once: map[uint64]bool{}}
	b.procs = append(b.procs, p)
	b.step(p, scheduler.ProcessesChanged{Processes: 1, Unseen: 1}, scheduler.EndpointUpdate{Kind: scheduler.FullUpdate, Endpoints: []scheduler.Endpoint{{Name: "n:1"}}})
}

// kill ends a host's oldest process; what it had on its way is over.
func (b *brokers) kill(host int) {
	for i, p := range b.procs {
		if p.host == host {
			b.procs = append(b.procs[:i], b.procs[i+1:]...)
			return
		}
	}
}

func (b *brokers) step(p *broker, events ...scheduler.Event) {
	for _, action := range p.gateway.Reduce(b.now, events) {
		switch a := action.(type) {
		case scheduler.SetTimer:
			p.timers = append(p.timers, b.now+a.After)
		case scheduler.Forward:
			if !p.once[a.ID] {
				p.once[a.ID] = true
				b.sends = append(b.sends, load{b.now, p.units[a.ID]})
			}
			p.ends, p.endsAt = append(p.ends, scheduler.AttemptEnded{ID: a.ID, Node: a.Node, Latency: answerTime, Finished: true, Load: scheduler.NoLoadReport}), append(p.endsAt, b.now+answerTime)
		}
	}
}

// pass lets time go by while each process is asked for far more than the limit.
func (b *brokers) pass(span time.Duration, rng *rand.Rand) {
	for end := b.now + span; b.now < end; {
		b.now += 5 * ms
		for _, p := range b.procs {
			var events []scheduler.Event
			for len(p.timers) > 0 && p.timers[0] <= b.now {
				p.timers = p.timers[1:]
				events = append(events, scheduler.TimerFired{Token: 1})
			}
			for len(p.endsAt) > 0 && p.endsAt[0] <= b.now {
				events = append(events, p.ends[0])
				p.ends, p.endsAt = p.ends[1:], p.endsAt[1:]
			}
			b.ids++
			units := float64(1 + rng.IntN(int(b.set.MaxUnits)))
			p.units[b.ids] = units
			b.step(p, append(events, scheduler.Request{ID: b.ids, Class: "read", Plan: "low", Volume: "v", Units: units, Brokers: b.set.Brokers, Remaining: 2000 * ms})...)
		}
	}
}

// The limit of a volume holds over one, two and five brokers, each started beside itself, killed and back, or
// told new settings, with nothing passing between processes; and its parts are used.
func TestLimitOverBrokers(t *testing.T) {
	plans := map[string]scheduler.Plan{
		"units of 1 to 8": {Name: "low", Rate: 4.5, ReservedRate: 1.4, Limit: 36, LimitBurst: 48, LimitOverdraft: 8, Weight: 1, Price: 1},
		"units of 1 to 3": {Name: "low", Rate: 20, ReservedRate: 20, Limit: 160, LimitBurst: 120, LimitOverdraft: 12, Weight: 1, Price: 1},
	}
	happens := map[string]func(b *brokers, host int, rng *rand.Rand){
		"nothing": func(*brokers, int, *rand.Rand) {},
		"started beside itself": func(b *brokers, host int, rng *rand.Rand) {
			b.start(host)
			b.pass(1500*ms, rng)
			b.kill(host)
		},
		"killed and back": func(b *brokers, host int, rng *rand.Rand) {
			b.kill(host)
			b.pass(700*ms, rng)
			b.start(host)
		},
		"killed and back at once": func(b *brokers, host int, rng *rand.Rand) {
			for range 5 {
				b.kill(host)
				b.start(host)
				b.pass(200*ms, rng)
			}
		},
		"told the same settings": func(b *brokers, host int, _ *rand.Rand) {
			for _, p := range b.procs {
				if p.host == host {
					b.step(p, scheduler.SettingsChanged{Settings: b.set})
				}
			}
		},
	}
	for units, plan := range plans {
		for _, hosts := range []int{1, 2, 5} {
			for what, happen := range happens {
				t.Run(fmt.Sprint(units, ", ", hosts, " brokers, ", what), func(t *testing.T) {
					set := plain()
					set.Brokers, set.Plans[0] = hosts, plan
					if units == "units of 1 to 3" {
						set.MaxUnits = 3
					}
					rng := rand.New(rand.NewPCG(uint64(hosts), 6))
					b := &brokers{t: t, set: set, now: 100 * second}
					for i := range hosts {
						b.start(i)
					}
					for i := range hosts {
						b.pass(2*second, rng)
						happen(b, i, rng)
					}
					b.pass(2*second, rng)
					level, at, sent := plan.LimitBurst, 100*second, 0.0
					for _, s := range b.sends {
						level = min(plan.LimitBurst, level+plan.Limit*(s.at-at).Seconds()) - s.units
						at, sent = s.at, sent+s.units
						if level < -plan.LimitOverdraft-1e-6 {
							t.Fatalf("the volume's store fell to %.2f at %v", level, s.at-100*second)
						}
					}
					if least := 0.3 * plan.Limit * (b.now - 100*second).Seconds(); sent < least {
						t.Errorf("%.0f units sent, want %.0f", sent, least)
					}
				})
			}
		}
	}
}
