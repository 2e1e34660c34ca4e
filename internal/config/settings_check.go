package config

import (
	"errors"
	"fmt"
	"math"
	"time"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

const (
	// defaultConnIdle is the time after which idle connections to nodes are closed. With a larger value, idle
	// connections use sockets that connections to other nodes need. With a smaller value, the first request after a
	// pause waits for a new connection.
	defaultConnIdle = 30 * broker.Second
	// defaultConnectTimeout limits the time for connecting to a node. With a larger value, a request to an unreachable
	// node is retried later. With a smaller value, a busy node is treated as unreachable.
	defaultConnectTimeout = broker.Second / 4
)

// Bounds of the settings, within which sums and products of a few values cannot overflow.
const (
	// maxDuration bounds all durations.
	maxDuration = 365 * 24 * time.Hour
	// maxFigure bounds all figures, and covers maxDuration in nanoseconds.
	maxFigure = float64(maxDuration)
	// maxCount bounds counts of brokers, shards and attempts.
	maxCount = 1 << 20
)

// complete sets the defaults of missing settings and checks all settings.
func (s *Settings) complete() error {
	if err := s.completeConnections(); err != nil {
		return err
	}
	if err := checkClasses(s.Scheduler.Classes); err != nil {
		return err
	}
	if err := checkPlans(s.Scheduler.Plans); err != nil {
		return err
	}
	if err := checkFigures(s.figures()); err != nil {
		return err
	}
	if err := checkCount("bounds.maxAttempts", s.Scheduler.Capabilities.MaxAttempts); err != nil {
		return err
	}
	if err := checkCount("nInstances", s.Scheduler.Brokers); err != nil {
		return err
	}
	if s.Scheduler.Ordinal < 0 || s.Scheduler.Ordinal >= s.Scheduler.Brokers {
		return fmt.Errorf("ordinal: got %d, want at least 0 and less than nInstances (%d)",
			s.Scheduler.Ordinal, s.Scheduler.Brokers)
	}
	return s.Scheduler.Validate()
}

func (s *Settings) completeConnections() error {
	if s.ConnIdle < 0 {
		return fmt.Errorf("bounds.connIdle: %d is below 0", s.ConnIdle)
	}
	if s.ConnectTimeout < 0 {
		return fmt.Errorf("bounds.connectTimeout: %d is below 0", s.ConnectTimeout)
	}
	if s.Shards < 0 {
		return fmt.Errorf("specifics.nShards: %d is below 0", s.Shards)
	}
	if s.Shards > maxCount {
		return fmt.Errorf("specifics.nShards: %d is above %d", s.Shards, maxCount)
	}
	if s.ConnIdle == 0 {
		s.ConnIdle = defaultConnIdle
	}
	if s.ConnectTimeout == 0 {
		s.ConnectTimeout = defaultConnectTimeout
	}
	return nil
}

func checkClasses(classes []scheduler.Class) error {
	if len(classes) == 0 {
		return errors.New("classes: at least one class is required")
	}
	names := map[string]bool{}
	for i, class := range classes {
		if class.Name == "" || names[class.Name] {
			return fmt.Errorf("classes[%d].name: %q is empty or a duplicate", i, class.Name)
		}
		names[class.Name] = true
		if class.Deadline <= 0 {
			return fmt.Errorf("classes[%d].deadline: %v is not above 0", i, class.Deadline)
		}
		if class.LatencyObjective <= 0 {
			return fmt.Errorf("classes[%d].aim: %v is not above 0", i, class.LatencyObjective)
		}
	}
	return nil
}

func checkPlans(plans []scheduler.Plan) error {
	if len(plans) == 0 {
		return errors.New("serviceLevels: at least one plan is required")
	}
	names := map[string]bool{}
	for i, plan := range plans {
		if plan.Name == "" || names[plan.Name] {
			return fmt.Errorf("serviceLevels[%d].name: %q is empty or a duplicate", i, plan.Name)
		}
		names[plan.Name] = true
	}
	return nil
}

// figure is a number from the settings or the site file, with its key.
type figure struct {
	key   string
	value float64
}

// checkFigures returns an error that names the key of the first figure that is negative, too large or no number.
func checkFigures(figures []figure) error {
	for _, f := range figures {
		switch {
		case f.value < 0 || math.IsNaN(f.value):
			return fmt.Errorf("%s: must not be below 0", f.key)
		case f.value > maxFigure:
			return fmt.Errorf("%s: too large", f.key)
		}
	}
	return nil
}

// checkCount returns an error unless a count is within 1 to maxCount.
func checkCount(key string, count int) error {
	switch {
	case count < 1:
		return fmt.Errorf("%s: %d is below 1", key, count)
	case count > maxCount:
		return fmt.Errorf("%s: %d is above %d", key, count, maxCount)
	}
	return nil
}

// figures returns the values of the settings that must be within 0 to maxFigure.
func (s *Settings) figures() []figure {
	set := &s.Scheduler
	figures := []figure{
		{"invariants.answerSlack", float64(set.Rules.AnswerSlack)},
		{"invariants.drainGrace", float64(set.Rules.DrainGrace)},
		{"invariants.cold", float64(set.Rules.WarmUpTime)},
		{"invariants.coldShare", set.Rules.InitialCapacity},
		{"invariants.fall", float64(set.Rules.OverloadWindow)},
		{"invariants.fallMultiple", set.Rules.OverloadMultiple},
		{"invariants.mustAskIn", float64(set.Rules.PollDeadline)},
		{"invariants.keyQuiet", float64(set.Rules.QuietPeriod)},
		{"invariants.extraFloor", set.Rules.RetryBudgetMin},
		{"invariants.resendRatio", set.Rules.RetryBudgetRatio},
		{"invariants.ratioSpan", float64(set.Rules.RetryBudgetWindow)},
		{"bounds.connIdle", float64(s.ConnIdle.Duration())},
		{"bounds.connectTimeout", float64(s.ConnectTimeout.Duration())},
		{"bounds.maxRetryAfter", float64(set.Capabilities.MaxRetryAfter)},
		{"specifics.usualUnits", set.MeanUnits},
		{"specifics.maxUnits", set.MaxUnits},
		{"specifics.youngLimit", set.SlowStartUnits},
		{"specifics.usePeriod", float64(set.MeterPeriod)},
		{"specifics.withinShare", set.ShareWeight},
		{"specifics.idleWorth", set.SpareWeight},
	}
	for i, class := range set.Classes {
		figures = append(figures, classFigures(fmt.Sprintf("classes[%d].", i), class)...)
	}
	for i, plan := range set.Plans {
		figures = append(figures, planFigures(fmt.Sprintf("serviceLevels[%d].", i), plan)...)
	}
	return figures
}

func classFigures(prefix string, class scheduler.Class) []figure {
	return []figure{
		{prefix + "aim", float64(class.LatencyObjective)},
		{prefix + "deadline", float64(class.Deadline)},
		{prefix + "window", float64(class.DedupWindow)},
		{prefix + "importance", class.PriorityWeight},
		{prefix + "lateWorth", class.LateWeight},
		{prefix + "aimStretch", class.ObjectiveStretch},
	}
}

func planFigures(prefix string, plan scheduler.Plan) []figure {
	return []figure{
		{prefix + "nominal", plan.Rate},
		{prefix + "floorRate", plan.ReservedRate},
		{prefix + "ceilingRate", plan.Limit},
		{prefix + "capDepth", plan.LimitBurst},
		{prefix + "tolerance", plan.LimitOverdraft},
		{prefix + "parts", plan.Weight},
		{prefix + "price", plan.Price},
	}
}
