package scheduler_test

import (
	"slices"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

const (
	ms     = time.Millisecond
	second = time.Second
)

// basicSettings is a deployment of one class and two plans, with nothing that is optional.
func basicSettings() scheduler.Settings {
	return scheduler.Settings{
		Brokers: 1, MeanUnits: 2, MaxUnits: 8, ShareWeight: 0.3, SpareWeight: 0.1,
		Classes: []scheduler.Class{
			{Name: "read", LatencyObjective: 300 * ms, Deadline: 2000 * ms, PriorityWeight: 1},
		},
		Plans: []scheduler.Plan{
			{Name: "low", Rate: 5, Weight: 1, Price: 1},
			{Name: "high", Rate: 20, ReservedRate: 40, Weight: 3, Price: 2},
		},
		Capabilities: scheduler.Capabilities{
			Cancel: true, MaxAttempts: 4, RetryAfter: true, MaxRetryAfter: time.Second,
		},
		Rules: scheduler.Rules{AnswerSlack: 8 * ms, DrainGrace: 500 * ms},
	}
}

// slowStartRules sets rules by which a node that starts goes down under too much load.
func slowStartRules(rules *scheduler.Rules, multiple float64) {
	rules.OverloadWindow = 2 * second
	rules.OverloadMultiple = multiple
	rules.WarmUpTime = 17 * second
	rules.InitialCapacity = 0.2
}

// oneNode is the node that driver.endAttempt answers for.
var oneNode = scheduler.Endpoint{Name: "n:1"}

// fullUpdate is a list of all endpoints.
func fullUpdate(endpoints ...scheduler.Endpoint) scheduler.EndpointUpdate {
	return scheduler.EndpointUpdate{Kind: scheduler.FullUpdate, Endpoints: endpoints}
}

// deltaUpdate is a list of changed endpoints.
func deltaUpdate(endpoints ...scheduler.Endpoint) scheduler.EndpointUpdate {
	return scheduler.EndpointUpdate{Kind: scheduler.DeltaUpdate, Endpoints: endpoints}
}

// newScheduler returns a scheduler; settings that it does not take fail the test.
func newScheduler(t testing.TB, settings scheduler.Settings, seed uint64) *scheduler.Scheduler {
	t.Helper()
	s, err := scheduler.New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// driver calls a scheduler and carries its timers.
type driver struct {
	scheduler *scheduler.Scheduler
	now       scheduler.Time
	timers    map[scheduler.Time][]uint64
	actions   []scheduler.Action // since the last takeActions
	lastID    uint64
}

func newDriver(t *testing.T, settings scheduler.Settings, endpoints ...scheduler.Endpoint) *driver {
	t.Helper()
	d := &driver{
		scheduler: newScheduler(t, settings, 1),
		now:       100 * second,
		timers:    map[scheduler.Time][]uint64{},
	}
	d.step(scheduler.EndpointUpdate{Kind: scheduler.FullUpdate, Version: 1, Endpoints: endpoints})
	d.takeActions()
	return d
}

func (d *driver) step(events ...scheduler.Event) {
	for _, action := range d.scheduler.Reduce(d.now, events) {
		if timer, ok := action.(scheduler.SetTimer); ok {
			at := d.now + timer.After.Truncate(ms)
			d.timers[at] = append(d.timers[at], timer.Token)
		}
		d.actions = append(d.actions, action)
	}
}

// advance lets time go by in steps of a millisecond.
func (d *driver) advance(span time.Duration) {
	for end := d.now + span; d.now < end; {
		d.now += ms
		for _, token := range d.timers[d.now] {
			d.step(scheduler.TimerFired{Token: token})
		}
	}
}

func (d *driver) takeActions() []scheduler.Action {
	actions := d.actions
	d.actions = nil
	return actions
}

// takeForwarded returns the ids of the requests that were forwarded since the last takeActions.
func (d *driver) takeForwarded() []uint64 { return forwarded(d.takeActions()) }

// request has a request of class read come, and returns its id.
func (d *driver) request(plan, volume string, units float64) uint64 {
	return d.requestLike(scheduler.Request{Plan: plan, Volume: volume, Units: units, Brokers: 1})
}

// requestLike has a request come that has what r leaves open from class read and plan high, and returns its
// id.
func (d *driver) requestLike(r scheduler.Request) uint64 {
	d.lastID++
	r.ID = d.lastID
	if r.Class == "" {
		r.Class = "read"
	}
	if r.Plan == "" {
		r.Plan = "high"
	}
	if r.Volume == "" {
		r.Volume = "v"
	}
	if r.Remaining == 0 {
		r.Remaining = 2000 * ms
	}
	d.step(r)
	return r.ID
}

// endAttempt has the node answer an attempt.
func (d *driver) endAttempt(id uint64, attempt int, outcome scheduler.Outcome, latency time.Duration) {
	d.step(scheduler.AttemptEnded{
		ID: id, Attempt: attempt, Node: oneNode.Name, Outcome: outcome, Latency: latency,
		Finished: outcome == scheduler.Success, Load: scheduler.NoLoadReport,
	})
}

// succeed has the node serve the first attempt of a request.
func (d *driver) succeed(id uint64, latency time.Duration) {
	d.endAttempt(id, 0, scheduler.Success, latency)
}

// forwarded returns the ids of the requests that are forwarded.
func forwarded(actions []scheduler.Action) (ids []uint64) {
	for _, action := range actions {
		if forward, ok := action.(scheduler.Forward); ok {
			ids = append(ids, forward.ID)
		}
	}
	return ids
}

// hasAction tells whether an action of a kind is among those taken.
func hasAction[A scheduler.Action](actions []scheduler.Action) bool {
	return slices.ContainsFunc(actions, func(action scheduler.Action) bool {
		_, is := action.(A)
		return is
	})
}

// timedEvent is an event that will come to a broker at a time.
type timedEvent struct {
	at       scheduler.Time
	sequence int
	broker   int
	event    scheduler.Event
}

// timedQueue is a heap of events, the earliest first.
type timedQueue []timedEvent

func (q timedQueue) Len() int { return len(q) }

func (q timedQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q timedQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *timedQueue) Push(x any) { *q = append(*q, x.(timedEvent)) }

func (q *timedQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// sentUnits is units that were sent at a time.
type sentUnits struct {
	at    scheduler.Time
	units float64
}
