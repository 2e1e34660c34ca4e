package broker

import (
	"context"
	"testing"
	"time"

	"junctionwharf/admission"
	"junctionwharf/scheduler"
	"junctionwharf/telemetry"
)

// Admission control is at its bound of open requests. What it rejects has one answer, through Submit as through
// Admit, is counted, told to telemetry, and never reaches the scheduler.
func TestAdmissionRejects(t *testing.T) {
	observations := make(chan telemetry.Observation, 8)
	loop := NewLoop(newState(t, testSettings()), NewClock(), echoTransport{}, Dependencies{
		Admission: admission.New(admission.Settings{MaxOpen: 1}, testSettings()),
		Observe: func(all []telemetry.Observation) {
			for _, o := range all {
				if o.Kind == telemetry.RequestEnded {
					observations <- o
				}
			}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	loop.Post(fullList(0, testNode("n1", 0, scheduler.Ready)))
	request := testRequest("read", 1) // of a shard without a node: it waits
	responses := make(chan Response, 2)
	reply := func(r Response) { responses <- r }
	if loop.Admit(request) != nil {
		t.Fatal("rejected while there is capacity")
	}
	id := loop.SubmitAdmitted(request, reply)
	if r := loop.Admit(testRequest("read", 0)); r == nil || r.Verdict != Rejected || r.RetryAfter != 150_000 {
		t.Fatalf("%+v", r)
	}
	loop.Submit(testRequest("write", 0), reply)
	go loop.Run(ctx)
	if r := <-responses; r.Verdict != Rejected || r.RetryAfter != 150_000 {
		t.Errorf("%+v", r)
	}
	for range 2 {
		if o := <-observations; o.RequestOutcome != telemetry.Rejected {
			t.Errorf("%+v", o)
		}
	}
	for name, want := range map[string]uint64{"door_refused": 2, "busy.read": 1, "busy.write": 1, "inflight": 1} {
		if got := readMetrics(&loop.Metrics)[name]; got != want {
			t.Errorf("%s: %d, want %d", name, got, want)
		}
	}
	loop.Cancel(id)
}

// Nobody measures how long work waits while few requests are open: the loop says when it is worth it, at half of the
// bound, and what was measured before counts no longer once nobody does.
func TestLagIsMeasuredOnDemand(t *testing.T) {
	state := newState(t, testSettings())
	const bound = 6
	settings := admission.Settings{MaxOpenOverloaded: bound, Window: 1}
	loop := NewLoop(state, NewClock(), echoTransport{}, Dependencies{
		Admission: admission.New(settings, testSettings()),
	})
	wanted := func() bool {
		select {
		case <-loop.LagMeasurementWanted():
			return true
		default:
			return false
		}
	}
	for i := range bound + 1 {
		loop.SubmitAdmitted(testRequest("read", 0), func(Response) {})
		if got := wanted(); got != (i == bound/2-1) || loop.KeepMeasuringLag() != (i >= bound/2-1) {
			t.Errorf("with %d open: wanted %v, on %v", i+1, got, loop.KeepMeasuringLag())
		}
	}
	loop.SetLagMeasured(true)
	for end := time.Now().Add(5 * time.Second); !loop.Overloaded(); loop.RecordSchedulingLag(50_000) {
		if time.Now().After(end) {
			t.Fatal("not overloaded where work waits")
		}
	}
	state.Reduce(loop.clock.Now(), []Event{LagMeasured{Waited: 50_000}})
	if state.timeAtNode(200_000) == 200_000 {
		t.Error("the broker's own waits count as the node's")
	}
	state.Reduce(loop.clock.Now(), []Event{LagMeasured{Unknown: true}})
	if took := state.timeAtNode(200_000); took != 200_000 {
		t.Errorf("%d µs of 200,000 are the node's where nobody measures", took)
	}
}

// A measurement comes while the broker is idle. It wakes the loop: else the news would wait for the next event, and
// count as that one's lag.
func TestLagWakesIdleLoop(t *testing.T) {
	settings := admission.Settings{TargetLag: 1000}
	loop := NewLoop(newState(t, testSettings()), NewClock(), echoTransport{}, Dependencies{
		Admission: admission.New(settings, testSettings()),
	})
	loop.RecordSchedulingLag(0)
	if len(loop.inbox.wakeUp) != 1 {
		t.Error("an idle loop is not woken")
	}
}
