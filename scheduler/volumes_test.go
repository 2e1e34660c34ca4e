package scheduler

import (
	"testing"
	"time"
)

// A volume in debt changes its plan to and fro a thousand times, at one moment and over a second. The debt must stay,
// and its reserved bucket must gain what the time under each plan gives and no more.
func TestPlanChangesKeepDebt(t *testing.T) {
	const (
		changes = 1000
		debt    = -50.0
		rate    = 100.0 // reserved units a second of the larger plan
	)
	for _, c := range []struct {
		name string
		span time.Duration
	}{
		{"at one moment", 0},
		{"over a second", time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScheduler(t, Settings{
				Brokers: 1, MeanUnits: 2, MaxUnits: 8,
				Classes: []Class{readClass()},
				Plans: []Plan{
					{Name: "large", Rate: rate, ReservedRate: rate, Weight: 1, Price: 1},
					{Name: "small", Rate: 5, ReservedRate: 1, Weight: 1, Price: 1, Limit: 10, LimitBurst: 20},
				},
			}, 1)
			start := time.Hour
			request := func(id uint64, at Time, plan string) {
				s.Reduce(at, []Event{
					Request{ID: id, Class: "read", Plan: plan, Volume: "v", Units: 1, Brokers: 1, Remaining: time.Second},
					ClientGone{ID: id},
				})
			}
			request(1, start, "large")
			v := s.volumes.byName["v"]
			v.tokens = debt
			v.reserved.tokens = 0
			for i := range changes {
				plan := s.table.plans[[]string{"small", "large"}[i%2]]
				request(uint64(i+2), start+c.span*time.Duration(i+1)/changes, plan.Name)
				if v.plan != plan {
					t.Fatalf("the plan is %q after a request under %q", v.plan.Name, plan.Name)
				}
				v.excess = 0
			}
			if v.tokens != debt {
				t.Errorf("%v tokens, want the debt of %v without a tick", v.tokens, debt)
			}
			half := c.span.Seconds() / 2
			if gained := v.reserved.tokens; gained > half*(rate+1) {
				t.Errorf("the reserved bucket gained %v units, want %v at most", gained, half*(rate+1))
			}
			if v.quota.Allows(0.001 + 10*c.span.Seconds()) {
				t.Errorf("the quota allows more than its limit of 10 units a second since the start")
			}
		})
	}
}
