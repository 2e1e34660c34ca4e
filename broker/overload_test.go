package broker

import (
	"context"
	"testing"
	"time"

	"junctionwharf/admission"
	"junctionwharf/scheduler"
	"junctionwharf/telemetry"
)

// The number of open requests is at admission control's bound. A request that is rejected, by Submit or by Admit, is
// answered with Rejected, counted in the metrics and reported to telemetry.
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
	request := testRequest("read", 1) // the shard has no node, so the request stays open
	responses := make(chan Response, 2)
	reply := func(r Response) { responses <- r }
	if loop.Admit(request) != nil {
		t.Fatal("request rejected although no request is open")
	}
	id := loop.SubmitAdmitted(request, reply)
	if r := loop.Admit(testRequest("read", 0)); r == nil || r.Verdict != Rejected || r.RetryAfter != 150_000 {
		t.Fatalf("Admit: %+v, want Rejected with RetryAfter 150000", r)
	}
	loop.Submit(testRequest("write", 0), reply)
	go loop.Run(ctx)
	if r := <-responses; r.Verdict != Rejected || r.RetryAfter != 150_000 {
		t.Errorf("Submit: %+v, want Rejected with RetryAfter 150000", r)
	}
	for range 2 {
		if o := <-observations; o.RequestOutcome != telemetry.Rejected {
			t.Errorf("observation %+v, want outcome Rejected", o)
		}
	}
	for name, want := range map[string]uint64{"door_refused": 2, "busy.read": 1, "busy.write": 1, "inflight": 1} {
		if got := readMetrics(&loop.Metrics)[name]; got != want {
			t.Errorf("%s: %d, want %d", name, got, want)
		}
	}
	loop.Cancel(id)
}

// The scheduling lag is not measured while few requests are open. The loop asks for measurements once, when half of the
// bound is reached. When the lag is no longer measured, earlier measurements no longer affect the node's time.
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
			t.Errorf("%d open: wanted %v, keep measuring %v; want the first only at %d, the second from there on",
				i+1, got, loop.KeepMeasuringLag(), bound/2)
		}
	}
	loop.SetLagMeasured(true)
	for end := time.Now().Add(5 * time.Second); !loop.Overloaded(); loop.RecordSchedulingLag(50_000) {
		if time.Now().After(end) {
			t.Fatal("not overloaded after 5 s with a lag of 50 ms")
		}
	}
	state.Reduce(loop.clock.Now(), []Event{LagMeasured{Waited: 50_000}})
	if state.timeAtNode(200_000) == 200_000 {
		t.Error("the broker's scheduling lag counts as the node's time")
	}
	state.Reduce(loop.clock.Now(), []Event{LagMeasured{Unknown: true}})
	if took := state.timeAtNode(200_000); took != 200_000 {
		t.Errorf("node time %d µs without lag measurements, want 200000 µs", took)
	}
}

// A measurement wakes an idle loop. Otherwise the measurement would be queued until the next event, and its waiting
// time would be recorded as lag.
func TestLagWakesIdleLoop(t *testing.T) {
	settings := admission.Settings{TargetLag: 1000}
	loop := NewLoop(newState(t, testSettings()), NewClock(), echoTransport{}, Dependencies{
		Admission: admission.New(settings, testSettings()),
	})
	loop.RecordSchedulingLag(0)
	if len(loop.inbox.wakeUp) != 1 {
		t.Error("RecordSchedulingLag does not wake an idle loop")
	}
}
