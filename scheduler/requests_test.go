package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

func TestQueueIsServedByEarliestSoftDeadline(t *testing.T) {
	settings := basicSettings()
	settings.Classes = append(settings.Classes, scheduler.Class{
		Name: "soon", LatencyObjective: 150 * ms, Deadline: 2000 * ms, PriorityWeight: 1,
	})
	d := newDriver(t, settings, oneNode)
	first := d.request("high", "v", 1)
	d.request("high", "v", 1)
	late := d.request("high", "v", 1)
	soon := d.requestLike(scheduler.Request{Class: "soon", Units: 1, Brokers: 1})
	d.takeActions()
	d.succeed(first, 20*ms)
	if got := d.takeForwarded(); len(got) != 1 || got[0] != soon {
		t.Errorf("forwarded requests %v, want request %d before request %d", got, soon, late)
	}
}

func TestRequestIsRejectedWhenItsObjectiveIsMissed(t *testing.T) {
	d := newDriver(t, basicSettings()) // without any node
	d.request("high", "v", 1)
	d.takeActions()
	d.advance(250 * ms)
	if actions := d.takeActions(); hasAction[scheduler.Reject](actions) {
		t.Fatal("request is rejected before its latency objective has passed")
	}
	d.advance(150 * ms)
	for _, action := range d.takeActions() {
		if reject, ok := action.(scheduler.Reject); ok && reject.After > 0 {
			return
		}
	}
	t.Error("request is not rejected with a Retry-After soon after its latency objective has passed")
}

func TestOverloadShedsTheLowestValue(t *testing.T) {
	d := newDriver(t, basicSettings(), oneNode)
	for range 6 { // the scheduler measures a latency of 60 ms
		id := d.request("high", "v", 2)
		d.advance(60 * ms)
		d.succeed(id, 60*ms)
	}
	var surge, reserved []uint64
	for range 30 {
		surge = append(surge, d.request("low", "surge", 2))
	}
	for range 3 {
		reserved = append(reserved, d.request("high", "v", 2))
	}
	d.advance(60 * ms)
	d.takeActions()
	inFlight := surge[:2]
	var after []uint64
	for range 3 {
		d.succeed(inFlight[0], 60*ms)
		got := d.takeForwarded()
		after = append(after, got...)
		inFlight = append(inFlight[1:], got...)
	}
	if !slices.Equal(after, reserved) {
		t.Errorf("forwarded requests %v, want the reserved requests %v before the surge", after, reserved)
	}
}

// If a client has little time left, the soft deadline must be the deadline: such a request must not be treated as a
// retry whose latency objective has passed. If a client retries a request, the soft deadline of the retry must be that
// of the earlier request.
func TestSoftDeadlineOfImpatientClientsAndRetries(t *testing.T) {
	d := newDriver(t, basicSettings(), oneNode)
	request := func(key string, remaining time.Duration) uint64 {
		return d.requestLike(scheduler.Request{Key: key, Units: 1, Brokers: 1, Remaining: remaining})
	}
	for range 2 {
		d.request("high", "v", 1)
	}
	patient, retried := request("p", 2000*ms), request("r", 100*ms)
	d.advance(110 * ms) // request "r" is given up, and its client retries
	d.step(scheduler.ClientGone{ID: retried})
	again, impatient := request("r", 1880*ms), request("s", 250*ms)
	d.takeActions()
	d.succeed(1, 20*ms)
	d.succeed(2, 20*ms)
	if got := d.takeForwarded(); !slices.Equal(got, []uint64{patient, again}) {
		t.Errorf("forwarded requests %v, want %d and %d, whose soft deadlines are before that of %d",
			got, patient, again, impatient)
	}
}

// Requests with unusual sizes, numbers of brokers and deadlines arrive at a shard with a warm, a starting or no node.
// Each must be forwarded or answered, and none must be answered twice.
func TestOddRequestsGetOneAnswer(t *testing.T) {
	settings := basicSettings()
	settings.Brokers = 1000
	settings.SlowStartUnits = 0.5
	slowStartRules(&settings.Rules, 2)
	odd := []scheduler.Request{
		{Brokers: 0, Units: 1, Remaining: second},
		{Brokers: 5000, Units: 1, Remaining: second},
		{Brokers: 1, Units: 500, Remaining: second},
		{Brokers: 1, Units: 0, Remaining: second},
		{Brokers: 1, Units: 1, Remaining: 0},
		{Brokers: 1, Units: 1, Remaining: 5 * ms},
	}
	for name, endpoint := range map[string]scheduler.Endpoint{
		"warm node":     {Name: "n:1"},
		"starting node": {Name: "n:1", StartedAt: 500 * second},
		"no node":       {Name: "n:1", Shard: 3},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, settings, endpoint, endpoint)
			for _, r := range odd {
				d.lastID++
				r.ID, r.Class, r.Plan, r.Volume = d.lastID, "read", "high", fmt.Sprint("v", d.lastID)
				d.step(r)
				d.advance(second)
			}
			answers, forwards := map[uint64]int{}, map[uint64]bool{}
			for _, action := range d.takeActions() {
				switch a := action.(type) {
				case scheduler.Forward:
					forwards[a.ID] = true
					d.succeed(a.ID, 20*ms)
				case scheduler.Reject:
					answers[a.ID]++
				case scheduler.Fail:
					answers[a.ID]++
				}
			}
			for id := uint64(1); id <= d.lastID; id++ {
				if answers[id] > 1 || answers[id] == 0 && !forwards[id] {
					t.Errorf("request %d (%+v): %d answers, want 1, or 0 if forwarded", id, odd[id-1], answers[id])
				}
			}
		})
	}
}

// A volume whose requests all arrive through one broker must be able to use an idle node without running out of tokens.
func TestVolumeThroughOneBrokerUsesAnIdleNode(t *testing.T) {
	settings := basicSettings()
	settings.Brokers = 10
	d, count := newDriver(t, settings, oneNode), 0
	for range 16 {
		d.requestLike(scheduler.Request{Units: 2, Brokers: 10})
		for _, id := range d.takeForwarded() {
			count++
			d.advance(ms)
			d.succeed(id, ms)
		}
	}
	if count < 14 {
		t.Errorf("%d of 16 requests go to an idle node, want at least 14", count)
	}
}
