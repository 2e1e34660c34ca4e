package resp

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

// defaultMaxTimeout is the longest timeout that a request may name where no class has a longer deadline. Higher,
// requests of clients that have gone could be kept for longer; lower, a site without long deadlines could not wait.
const defaultMaxTimeout = time.Minute

// RequestLimits is what a request may ask for. It keeps requests that cannot be served from the scheduler.
type RequestLimits struct {
	Classes    map[string]bool
	Plans      map[string]bool
	MaxUnits   float64 // 0 for unknown
	Shards     int     // 0 for unknown
	Brokers    int
	MaxTimeout time.Duration
	RetryAfter broker.Micros // when a request that is not admitted may be sent again, 0 for no advice
	busyLine   []byte        // the answer to such a request, set by Server.SetLimits
}

// NewRequestLimits takes the limits from the settings.
func NewRequestLimits(settings scheduler.Settings, shards int) RequestLimits {
	limits := RequestLimits{
		Classes:    map[string]bool{},
		Plans:      map[string]bool{},
		MaxUnits:   settings.MaxUnits,
		Shards:     shards,
		Brokers:    settings.Brokers,
		MaxTimeout: defaultMaxTimeout,
	}
	if settings.Capabilities.RetryAfter && len(settings.Classes) > 0 {
		// As scheduler.retryAfter has it for a request that it rejects: one client sees one rule.
		shortest := slices.MinFunc(settings.Classes, func(a, b scheduler.Class) int {
			return cmp.Compare(a.LatencyObjective, b.LatencyObjective)
		}).LatencyObjective
		limits.RetryAfter = broker.MicrosOf(min(shortest, settings.Capabilities.MaxRetryAfter))
	}
	for _, class := range settings.Classes {
		limits.Classes[class.Name] = true
		limits.MaxTimeout = max(limits.MaxTimeout, class.Deadline)
	}
	for _, plan := range settings.Plans {
		limits.Plans[plan.Name] = true
	}
	return limits
}

// check names the option of a request that is out of range. Its text goes to the client.
func (l *RequestLimits) check(r *broker.Request) error {
	for _, option := range []struct {
		name  string
		valid bool
	}{
		{optionClass, l.Classes[r.Class]},
		{optionPlan, l.Plans[r.Plan]},
		{optionVolume, isKey([]byte(r.Volume))},
		{optionTimeout, r.Timeout > 0 && r.Timeout <= broker.MicrosOf(l.MaxTimeout)},
		{optionUnits, r.Units > 0 && (l.MaxUnits <= 0 || r.Units <= l.MaxUnits)},
		{optionShard, r.Shard >= -1 && (l.Shards <= 0 || r.Shard < l.Shards)},
		{optionBrokers, r.Brokers >= 1 && r.Brokers <= l.Brokers},
	} {
		if !option.valid {
			return fmt.Errorf("%w: %s is missing, unknown or out of range", errMalformed, option.name)
		}
	}
	return nil
}
