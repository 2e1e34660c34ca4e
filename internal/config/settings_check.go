package config

import (
	"errors"
	"fmt"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

const (
	// defaultConnIdle is the time after which idle connections to nodes are closed. With a larger value, they use
	// sockets that connections to other nodes need. With a smaller value, requests after a pause wait for a connection.
	defaultConnIdle = 30 * broker.Second
	// defaultConnectTimeout limits the time for connecting to a node. With a larger value, a request to an unreachable
	// node is retried later. With a smaller value, a busy node is treated as unreachable.
	defaultConnectTimeout = broker.Second / 4
)

// complete sets the defaults of missing settings and checks all of them.
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
	if err := checkNotNegative(s.figures()); err != nil {
		return err
	}
	if s.Scheduler.Capabilities.MaxAttempts < 1 {
		return fmt.Errorf("bounds.maxAttempts: %d is below 1", s.Scheduler.Capabilities.MaxAttempts)
	}
	if s.Scheduler.Brokers < 1 {
		return fmt.Errorf("nInstances: %d is below 1", s.Scheduler.Brokers)
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
	names := map[string]bool{}
	for i, plan := range plans {
		if plan.Name == "" || names[plan.Name] {
			return fmt.Errorf("serviceLevels[%d].name: %q is empty or a duplicate", i, plan.Name)
		}
		names[plan.Name] = true
	}
	return nil
}

// figure is a configured number with its key.
type figure struct {
	key   string
	value float64
}

// checkNotNegative returns an error that names the key of the first negative figure. It runs before the settings are
// applied.
func checkNotNegative(figures []figure) error {
	for _, f := range figures {
		if f.value < 0 {
			return fmt.Errorf("%s: must not be below 0", f.key)
		}
	}
	return nil
}

// figures returns the values of the settings that must not be negative.
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
