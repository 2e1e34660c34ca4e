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

// basicSettings returns the settings of a deployment with one class, two plans and no optional feature.
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

// slowStartRules sets rules under which a starting node fails if it receives too much load.
func slowStartRules(rules *scheduler.Rules, multiple float64) {
	rules.OverloadWindow = 2 * second
	rules.OverloadMultiple = multiple
	rules.WarmUpTime = 17 * second
	rules.InitialCapacity = 0.2
}

// oneNode is the node whose attempts driver.endAttempt ends.
var oneNode = scheduler.Endpoint{Name: "n:1"}

// fullUpdate returns a list of all endpoints.
func fullUpdate(endpoints ...scheduler.Endpoint) scheduler.EndpointUpdate {
	return scheduler.EndpointUpdate{Kind: scheduler.FullUpdate, Endpoints: endpoints}
}

// deltaUpdate returns a list of changed endpoints.
func deltaUpdate(endpoints ...scheduler.Endpoint) scheduler.EndpointUpdate {
	return scheduler.EndpointUpdate{Kind: scheduler.DeltaUpdate, Endpoints: endpoints}
}

// newScheduler returns a new scheduler. Invalid settings fail the test.
func newScheduler(t testing.TB, settings scheduler.Settings, seed uint64) *scheduler.Scheduler {
	t.Helper()
	s, err := scheduler.New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// driver runs a scheduler on a simulated clock with timers.
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

// advance advances the clock in steps of a millisecond.
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

// request sends a request of class read, and returns its id.
func (d *driver) request(plan, volume string, units float64) uint64 {
	return d.requestLike(scheduler.Request{Plan: plan, Volume: volume, Units: units, Brokers: 1})
}

// requestLike sends the request r and returns its id. Empty fields of r default to class read, plan high, volume
// v and 2 s until the deadline.
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

// endAttempt ends an attempt at oneNode with an outcome.
func (d *driver) endAttempt(id uint64, attempt int, outcome scheduler.Outcome, latency time.Duration) {
	d.step(scheduler.AttemptEnded{
		ID: id, Attempt: attempt, Node: oneNode.Name, Outcome: outcome, Latency: latency,
		Finished: outcome == scheduler.Success, Load: scheduler.NoLoadReport,
	})
}

// succeed ends the first attempt of a request with success.
func (d *driver) succeed(id uint64, latency time.Duration) {
	d.endAttempt(id, 0, scheduler.Success, latency)
}

// forwarded returns the ids of the forwarded requests.
func forwarded(actions []scheduler.Action) (ids []uint64) {
	for _, action := range actions {
		if forward, ok := action.(scheduler.Forward); ok {
			ids = append(ids, forward.ID)
		}
	}
	return ids
}

// hasAction reports whether actions contain an action of type A.
func hasAction[A scheduler.Action](actions []scheduler.Action) bool {
	return slices.ContainsFunc(actions, func(action scheduler.Action) bool {
		_, is := action.(A)
		return is
	})
}

// timedEvent is an event that a broker will receive at a given time.
type timedEvent struct {
	at       scheduler.Time
	sequence int
	broker   int
	event    scheduler.Event
}

// timedQueue is a min-heap of events by time.
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

// sentUnits is a number of units that was sent at a given time.
type sentUnits struct {
	at    scheduler.Time
	units float64
}
