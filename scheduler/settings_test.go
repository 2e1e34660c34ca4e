package scheduler

import (
	"errors"
	"testing"
	"time"
)

// countKinds returns the number of forwards and of failures.
func countKinds(actions []Action) (forwards, failures int) {
	for _, action := range actions {
		switch action.(type) {
		case Forward:
			forwards++
		case Fail:
			failures++
		}
	}
	return forwards, failures
}

// New settings must apply to new requests, while earlier requests keep their class. Unserved requests of a removed
// class must not cause a fault in later ticks.
func TestSettingsChange(t *testing.T) {
	class := func(name string, idempotency Idempotency) Class {
		c := readClass()
		c.Name = name
		c.Idempotency = idempotency
		return c
	}
	request := func(id uint64, class, volume string) Request {
		return Request{ID: id, Class: class, Plan: "plan", Volume: volume, Units: 1, Brokers: 1, Remaining: time.Second}
	}
	settings := Settings{
		Brokers: 2, Ordinal: 1, MeanUnits: 2, MaxUnits: 8, Capabilities: Capabilities{MaxAttempts: 3},
		Classes: []Class{class("kept", Idempotent), class("vanishes", Idempotent)},
		Plans:   []Plan{{Name: "plan", Rate: 50, ReservedRate: 50, Weight: 1, Price: 1}},
	}
	s := newScheduler(t, settings, 1)
	now := time.Hour
	forwards, _ := countKinds(s.Reduce(now, []Event{
		EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{Name: "n"}}},
		request(1, "vanishes", "v"),
		request(2, "vanishes", "v"),
	}))
	if forwards != 2 {
		t.Fatalf("%d forwards, want 2", forwards)
	}
	s.Reduce(now, []Event{request(9, "kept", "idle"), ClientGone{ID: 9}})

	changed := settings
	changed.Ordinal = 0
	changed.Capabilities.MaxAttempts = 1
	changed.Classes = []Class{class("kept", NotIdempotent), class("new", NotIdempotent)}
	changed.Plans = []Plan{{Name: "plan", Rate: 5, ReservedRate: 5, Weight: 1, Price: 1}}
	now += time.Millisecond
	forwards, failures := countKinds(s.Reduce(now, []Event{
		SettingsChanged{Settings: changed},
		request(3, "new", "v"),
		request(4, "vanishes", "v"),
		ClientGone{ID: 1},
		AttemptEnded{ID: 2, Node: "n", Outcome: ConnectionBroken},
	}))
	if forwards != 1 || failures != 1 {
		t.Errorf("%d forwards and %d failures, want 1 forward of the new class and 1 failure of the removed one",
			forwards, failures)
	}
	checkChangedSettings(t, s)
	for range 400 {
		now += s.tickPeriod
		s.Reduce(now, []Event{TimerFired{Token: tickTimer}})
	}
	if len(s.unserved) != 0 {
		t.Errorf("%d unserved requests remembered, want 0", len(s.unserved))
	}
}

// checkChangedSettings checks the state of the scheduler after the change of settings in TestSettingsChange.
func checkChangedSettings(t *testing.T, s *Scheduler) {
	t.Helper()
	if s.settings.Ordinal != 1 {
		t.Error("the ordinal changed with new settings")
	}
	if s.requests[3].class.Idempotency != NotIdempotent || s.requests[1].class.Idempotency != Idempotent {
		t.Error("the class of a request changed with new settings")
	}
	if s.volumes.byName["v"].plan.Rate != 5 {
		t.Error("the volume does not have the new plan")
	}
	// The new plan must apply to a volume without open requests too, and must not fill its token bucket.
	if v := s.volumes.byName["idle"]; v.brokers != 1 || v.capacity != 13 || v.tokens >= v.capacity {
		t.Errorf("idle volume has %v brokers and %v of %v tokens, want 1 broker, a capacity of 13 and fewer tokens",
			v.brokers, v.tokens, v.capacity)
	}
}

func TestValidateErrors(t *testing.T) {
	for name, c := range map[string]struct {
		invalidate func(*Settings)
		want       error
	}{
		"no brokers":               {func(s *Settings) { s.Brokers = 0 }, ErrTopology},
		"ordinal out of range":     {func(s *Settings) { s.Ordinal = 1 }, ErrTopology},
		"no classes":               {func(s *Settings) { s.Classes = nil }, ErrTopology},
		"no latency objective":     {func(s *Settings) { s.Classes[0].LatencyObjective = 0 }, ErrClass},
		"negative limit":           {func(s *Settings) { s.Plans[0].Limit = -1 }, ErrPlan},
		"negative overload window": {func(s *Settings) { s.Rules.OverloadWindow = -1 }, ErrRule},
	} {
		t.Run(name, func(t *testing.T) {
			settings := queueSettings()
			c.invalidate(&settings)
			if _, err := New(settings, 1); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
}
