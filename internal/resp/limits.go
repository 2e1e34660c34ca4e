package resp

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

// defaultMaxTimeout is the longest timeout that a request may have if no class has a longer deadline. With a larger
// value requests of disconnected clients could stay open for longer. With a smaller value the clients of a site without
// long deadlines could not choose to wait longer.
const defaultMaxTimeout = time.Minute

// RequestLimits contains the limits for the options of a request. Requests that cannot be served therefore do not reach
// the scheduler.
type RequestLimits struct {
	Classes    map[string]bool
	Repeatable map[string]bool // classes whose requests may run twice
	Plans      map[string]bool
	MaxUnits   float64 // 0 if unknown
	Shards     int     // 0 if unknown
	Brokers    int
	MaxTimeout time.Duration
	RetryAfter broker.Micros // when the client may retry a request that was not admitted, 0 for no advice
	Generation uint64        // of the settings (see broker.SettingsChanged), 0 if these never change
	busyLine   []byte        // the answer to a request that was not admitted, set by Server.SetLimits
}

// NewRequestLimits returns the limits that follow from settings. shards is the number of shards, 0 if unknown.
func NewRequestLimits(settings scheduler.Settings, shards int) RequestLimits {
	limits := RequestLimits{
		Classes:    map[string]bool{},
		Repeatable: map[string]bool{},
		Plans:      map[string]bool{},
		MaxUnits:   settings.MaxUnits,
		Shards:     shards,
		Brokers:    settings.Brokers,
		MaxTimeout: defaultMaxTimeout,
	}
	if settings.Capabilities.RetryAfter && len(settings.Classes) > 0 {
		// The same rule as in scheduler.retryAfter, so that clients get the same advice for every rejection.
		shortest := slices.MinFunc(settings.Classes, func(a, b scheduler.Class) int {
			return cmp.Compare(a.LatencyObjective, b.LatencyObjective)
		}).LatencyObjective
		limits.RetryAfter = broker.MicrosOf(min(shortest, settings.Capabilities.MaxRetryAfter))
	}
	for _, class := range settings.Classes {
		limits.Classes[class.Name] = true
		limits.Repeatable[class.Name] = class.Idempotency == scheduler.Idempotent
		limits.MaxTimeout = max(limits.MaxTimeout, class.Deadline)
	}
	for _, plan := range settings.Plans {
		limits.Plans[plan.Name] = true
	}
	return limits
}

// check returns an error that names the first invalid option of a request, or nil if all options are valid. The text of
// the error is sent to the client.
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
