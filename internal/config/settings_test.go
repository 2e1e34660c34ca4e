package config

import (
	"strings"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

// Settings of three deployments that use different features.
const (
	smallestSettings = `{"nInstances":1,"ordinal":0,"bounds":{"maxAttempts":1},
		"classes":[{"name":"a","aim":1000,"deadline":2000,"effect":"unsafe"}],"serviceLevels":[{"name":"p"}]}`
	keyedSettings = `{"nInstances":300,"ordinal":299,"zone":"z4","bounds":{"maxAttempts":5,"secondCopies":true},
		"discovery":"subscribe",
		"classes":[{"name":"put","aim":90000,"deadline":250000,"effect":"keyed","keyScope":"zone","window":800000,
			"byArrival":true},
			{"name":"swap","aim":90000,"deadline":9000000,"effect":"keyed","keyScope":"cell","window":1},
			{"name":"any","aim":1,"deadline":1,"effect":"keyed","keyScope":"all"}],
		"serviceLevels":[{"name":"x","ceilingRate":5,"capDepth":40,"tolerance":4}],
		"invariants":{"drainGrace":300000,"ratioSpan":1000000,"extraFloor":2,"resendRatio":0.1,"keyQuiet":50000}}`
	unknownKeysSettings = `{"nInstances":2,"ordinal":1,"bounds":{"maxAttempts":2,"novelty":[1]},
		"novelty":{"deep":true},"zones":["only"],
		"classes":[{"name":"w","aim":5,"deadline":5,"effect":"safe","novelty":"x"}],
		"serviceLevels":[{"name":"p"},{"name":"q","price":9}]}`
)

// The settings of deployments with different features are all accepted: no check assumes the features of one of them.
// Keys that the protocol calls optional may be missing, and unknown keys are ignored.
func TestDeployments(t *testing.T) {
	for _, deployment := range []struct {
		name, text string
		check      func(*Settings) bool
	}{
		{"one class, one plan, no optional keys", smallestSettings, isSmallest},
		{"keys by zone and shard, ordered, with a retry budget and a rate limit", keyedSettings, isKeyed},
		{"an idempotent write and keys of a later version", unknownKeysSettings, isWithUnknownKeys},
	} {
		settings, err := parseComplete(deployment.text)
		if err != nil || !deployment.check(settings) {
			t.Errorf("%s: %+v, %v", deployment.name, settings, err)
		}
	}
}

// parseComplete decodes settings, sets defaults and checks the result.
func parseComplete(text string) (*Settings, error) {
	settings, err := ParseSettings([]byte(text))
	if err != nil {
		return nil, err
	}
	return settings, settings.complete()
}

func isSmallest(s *Settings) bool {
	class, rules := s.Scheduler.Classes[0], s.Scheduler.Rules
	return class.Idempotency == scheduler.NotIdempotent && class.ObjectiveStretch == 0 && !class.Ordered &&
		rules.RetryBudgetWindow == 0 && rules.QuietPeriod == 0 &&
		s.Scheduler.Plans[0].Limit == 0 && !s.Scheduler.Subscribe
}

func isKeyed(s *Settings) bool {
	classes, rules := s.Scheduler.Classes, s.Scheduler.Rules
	return classes[0].Scope == scheduler.ScopeZone && classes[0].Ordered && classes[1].Scope == scheduler.ScopeShard &&
		classes[2].Scope == scheduler.ScopeAll && s.Scheduler.Subscribe && s.Scheduler.Plans[0].LimitBurst == 40 &&
		rules.DrainGrace == 300*time.Millisecond && rules.RetryBudgetRatio == 0.1
}

func isWithUnknownKeys(s *Settings) bool {
	return s.Scheduler.Classes[0].Idempotency == scheduler.Idempotent && s.Scheduler.Plans[1].Price == 9
}

// A value of the wrong type or out of range causes an error that starts with its key.
func TestFaultyFigures(t *testing.T) {
	const sound = `{"nInstances":1,"ordinal":0,"bounds":{"maxAttempts":1,"maxRetryAfter":1},
		"specifics":{"maxUnits":8,"youngLimit":3},
		"classes":[{"name":"a","aim":1000,"deadline":2000,"effect":"safe","window":7,"importance":1,"lateWorth":0.1}],
		"serviceLevels":[{"name":"p","nominal":6,"floorRate":5,"price":2},{"name":"q"}],
		"invariants":{"drainGrace":9,"coldShare":0.2,"fall":4}}`
	for _, c := range []struct{ old, new, key string }{
		{`"aim":1000`, `"aim":0`, "classes[0].aim"},
		{`"aim":1000`, `"aim":"soon"`, "classes.aim"},
		{`"deadline":2000`, `"deadline":-1`, "classes[0].deadline"},
		{`"window":7`, `"window":-7`, "classes[0].window"},
		{`"importance":1`, `"importance":-1`, "classes[0].importance"},
		{`"lateWorth":0.1`, `"lateWorth":-0.1`, "classes[0].lateWorth"},
		{`"effect":"safe"`, `"effect":"mild"`, "classes[0].effect"},
		{`"nominal":6`, `"nominal":-6`, "serviceLevels[0].nominal"},
		{`"floorRate":5`, `"floorRate":-5`, "serviceLevels[0].floorRate"},
		{`"price":2`, `"price":-2`, "serviceLevels[0].price"},
		{`"name":"q"`, `"name":"p"`, "serviceLevels[1].name"},
		{`"drainGrace":9`, `"drainGrace":-9`, "invariants.drainGrace"},
		{`"drainGrace":9`, `"drainGrace":[]`, "invariants.drainGrace"},
		{`"coldShare":0.2`, `"coldShare":-0.2`, "invariants.coldShare"},
		{`"fall":4`, `"fall":-4`, "invariants.fall"},
		{`"maxRetryAfter":1`, `"maxRetryAfter":-1`, "bounds.maxRetryAfter"},
		{`"maxAttempts":1`, `"maxAttempts":0`, "bounds.maxAttempts"},
		{`"maxUnits":8`, `"maxUnits":-8`, "specifics.maxUnits"},
		{`"youngLimit":3`, `"youngLimit":-3`, "specifics.youngLimit"},
		{`"ordinal":0`, `"ordinal":1`, "ordinal"},
	} {
		_, err := parseComplete(strings.Replace(sound, c.old, c.new, 1))
		if err == nil || !strings.HasPrefix(err.Error(), c.key+":") {
			t.Errorf("%s instead of %s: got error %v, want one that starts with %q", c.new, c.old, err, c.key+":")
		}
	}
}
