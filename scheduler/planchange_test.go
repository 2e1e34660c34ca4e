package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

// freePlan is the name of a plan without a rate limit.
const freePlan = "free"

// planSequence returns the plan of a request through a broker at a time after the start.
type planSequence func(ordinal int, elapsed time.Duration) string

// toAndFro changes the plan after each period, at odd brokers in the opposite order.
func toAndFro(period time.Duration, first, second string) planSequence {
	return func(ordinal int, elapsed time.Duration) string {
		if (int(elapsed/period)+ordinal)%2 == 0 {
			return first
		}
		return second
	}
}

// A volume kept the plan of its first request for as long as it was in use, and one that had been without a limit was
// held to none. The requests under plans with a limit must stay within the largest of these limits, whenever and
// however often the volume changes its plan, also if brokers see the changes in opposite order. A volume that stays
// under a limited plan must be served under it.
func TestVolumeChangesItsPlan(t *testing.T) {
	low := scheduler.Plan{Name: "low", Rate: 5, Weight: 1, Price: 1, Limit: 36, LimitBurst: 40, LimitOverdraft: 8}
	narrow := low
	narrow.Name, narrow.Limit, narrow.LimitBurst = "narrow", 12, 16
	free := scheduler.Plan{Name: freePlan, Rate: 50, ReservedRate: 200, Weight: 1, Price: 1}
	for name, sequence := range map[string]planSequence{
		"free, then low": func(_ int, elapsed time.Duration) string {
			if elapsed < 3*second {
				return freePlan
			}
			return "low"
		},
		"low, then free, then low": func(_ int, elapsed time.Duration) string {
			if elapsed > 3*second && elapsed < 5*second {
				return freePlan
			}
			return "low"
		},
		"free and low, to and fro with each request": toAndFro(5*ms, freePlan, "low"),
		"free and low, to and fro each second":       toAndFro(second, freePlan, "low"),
		"narrow and low, to and fro":                 toAndFro(10*ms, "narrow", "low"),
		"free, one broker after the other": func(ordinal int, elapsed time.Duration) string {
			if elapsed < time.Duration(1+ordinal)*second {
				return freePlan
			}
			return "low"
		},
	} {
		for _, brokers := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s/%d brokers", name, brokers), func(t *testing.T) {
				settings := basicSettings()
				settings.Brokers = brokers
				settings.Plans = []scheduler.Plan{low, narrow, free}
				start := 100 * second
				r := &tier{t: t, settings: settings, now: start}
				r.planOf = func(ordinal int) string { return sequence(ordinal, r.now-start) }
				for ordinal := range brokers {
					r.start(ordinal)
				}
				r.advance(11*second, rand.New(rand.NewPCG(uint64(brokers), 60)))
				r.planOf = nil
				r.advance(11*second, rand.New(rand.NewPCG(uint64(brokers), 61)))
				r.checkLimit(low, start)
			})
		}
	}
}
