package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

// Settings is the object that an instance gets in the simulator's first message.
type Settings struct {
	Scheduler      scheduler.Settings
	Shards         int           // they run from 0 to this less 1; 0 for unknown
	ConnIdle       broker.Micros // idle connections to nodes end after this
	ConnectTimeout broker.Micros
}

var (
	effects = map[string]scheduler.Idempotency{"safe": scheduler.Idempotent, "keyed": scheduler.IdempotentWithKey, "unsafe": scheduler.NotIdempotent}
	scopes  = map[string]scheduler.Scope{
		"": scheduler.ScopeAll, "all": scheduler.ScopeAll, "zone": scheduler.ScopeZone, "cell": scheduler.ScopeShard,
	}
)

// micros is a span of the settings, in microseconds.
type micros float64

func (m micros) span() time.Duration { return time.Duration(float64(m) * float64(time.Microsecond)) }

// typeFault names the key whose value is of the wrong type.
func typeFault(err error) error {
	var fault *json.UnmarshalTypeError
	if errors.As(err, &fault) {
		parts := strings.Split(fault.Field, ".")
		for i, part := range parts { // fields without a tag are named as in Go
			parts[i] = strings.ToLower(part[:1]) + part[1:]
		}
		return fmt.Errorf("%s: a %s is no value for it", strings.Join(parts, "."), fault.Value)
	}
	return err
}

// ParseSettings reads the settings' JSON. Unknown keys are passed over.
func ParseSettings(text []byte) (*Settings, error) {
	var raw struct {
		Bounds struct {
			Cancel         bool   `json:"cancel"`
			Peers          bool   `json:"peers"`
			Probes         bool   `json:"probes"`
			RetryAfter     bool   `json:"retryAfter"`
			SecondCopies   bool   `json:"secondCopies"`
			MaxAttempts    int    `json:"maxAttempts"`
			MaxRetryAfter  micros `json:"maxRetryAfter"`
			ConnIdle       micros `json:"connIdle"`
			ConnectTimeout micros `json:"connectTimeout"`
		} `json:"bounds"`
		Classes []struct {
			Name       string  `json:"name"`
			Effect     string  `json:"effect"`
			KeyScope   string  `json:"keyScope"`
			Aim        micros  `json:"aim"`
			Deadline   micros  `json:"deadline"`
			Window     micros  `json:"window"`
			AimStretch float64 `json:"aimStretch"`
			Importance float64 `json:"importance"`
			LateWorth  float64 `json:"lateWorth"`
			ByArrival  bool    `json:"byArrival"`
			Stream     bool    `json:"stream"`
		} `json:"classes"`
		Discovery  string `json:"discovery"`
		Invariants struct {
			AnswerSlack  micros  `json:"answerSlack"`
			Cold         micros  `json:"cold"`
			DrainGrace   micros  `json:"drainGrace"`
			Fall         micros  `json:"fall"`
			MustAskIn    micros  `json:"mustAskIn"`
			KeyQuiet     micros  `json:"keyQuiet"`
			RatioSpan    micros  `json:"ratioSpan"`
			ColdShare    float64 `json:"coldShare"`
			FallMultiple float64 `json:"fallMultiple"`
			ExtraFloor   float64 `json:"extraFloor"`
			ResendRatio  float64 `json:"resendRatio"`
		} `json:"invariants"`
		NInstances    int `json:"nInstances"`
		Ordinal       int `json:"ordinal"`
		ServiceLevels []struct {
			Name        string  `json:"name"`
			CapDepth    float64 `json:"capDepth"`
			CeilingRate float64 `json:"ceilingRate"`
			FloorRate   float64 `json:"floorRate"`
			Nominal     float64 `json:"nominal"`
			Parts       float64 `json:"parts"`
			Price       float64 `json:"price"`
			Tolerance   float64 `json:"tolerance"`
		} `json:"serviceLevels"`
		Specifics struct {
			IdleWorth   float64 `json:"idleWorth"`
			MaxUnits    float64 `json:"maxUnits"`
			UsualUnits  float64 `json:"usualUnits"`
			WithinShare float64 `json:"withinShare"`
			YoungLimit  float64 `json:"youngLimit"`
			UsePeriod   micros  `json:"usePeriod"`
			NShards     int     `json:"nShards"`
		} `json:"specifics"`
		Zone string `json:"zone"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, typeFault(err)
	}
	b, v, x := raw.Bounds, raw.Invariants, raw.Specifics
	s := scheduler.Settings{
		Brokers: raw.NInstances, Ordinal: raw.Ordinal, Zone: raw.Zone, Subscribe: raw.Discovery == "subscribe",
		MeanUnits: x.UsualUnits, MaxUnits: x.MaxUnits, SlowStartUnits: x.YoungLimit,
		MeterPeriod: x.UsePeriod.span(), ShareWeight: x.WithinShare, SpareWeight: x.IdleWorth,
		Capabilities: scheduler.Capabilities{MaxAttempts: b.MaxAttempts, MaxRetryAfter: b.MaxRetryAfter.span(),
			RetryAfter: b.RetryAfter, Cancel: b.Cancel, Peers: b.Peers, HealthChecks: b.Probes,
			HedgedRequests: b.SecondCopies},
		Rules: scheduler.Rules{AnswerSlack: v.AnswerSlack.span(), DrainGrace: v.DrainGrace.span(),
			WarmUpTime: v.Cold.span(), InitialCapacity: v.ColdShare, OverloadWindow: v.Fall.span(),
			OverloadMultiple: v.FallMultiple, PollDeadline: v.MustAskIn.span(), QuietPeriod: v.KeyQuiet.span(),
			RetryBudgetMin: v.ExtraFloor, RetryBudgetRatio: v.ResendRatio, RetryBudgetWindow: v.RatioSpan.span()},
	}
	for i, c := range raw.Classes {
		effect, known := effects[c.Effect]
		if !known {
			return nil, fmt.Errorf("classes[%d].effect: %q is neither safe, keyed nor unsafe", i, c.Effect)
		}
		scope, known := scopes[c.KeyScope]
		if !known {
			return nil, fmt.Errorf("classes[%d].keyScope: %q is neither all, zone nor cell", i, c.KeyScope)
		}
		s.Classes = append(s.Classes, scheduler.Class{Name: c.Name, LatencyObjective: c.Aim.span(), ObjectiveStretch: c.AimStretch,
			Deadline: c.Deadline.span(), PriorityWeight: c.Importance, LateWeight: c.LateWorth, Idempotency: effect, Scope: scope,
			DedupWindow: c.Window.span(), Ordered: c.ByArrival, Stream: c.Stream})
	}
	for _, p := range raw.ServiceLevels {
		s.Plans = append(s.Plans, scheduler.Plan{Name: p.Name, Rate: p.Nominal, ReservedRate: p.FloorRate,
			Limit: p.CeilingRate, LimitBurst: p.CapDepth, LimitOverdraft: p.Tolerance, Weight: p.Parts, Price: p.Price})
	}
	return &Settings{Scheduler: s, Shards: x.NShards, ConnIdle: broker.MicrosOf(b.ConnIdle.span()),
		ConnectTimeout: broker.MicrosOf(b.ConnectTimeout.span())}, nil
}
