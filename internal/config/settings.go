package config

import (
	"encoding/json"
	"fmt"
	"time"

	"junctionwharf/broker"
	"junctionwharf/logic"
)

// Settings is the object that an instance gets in the simulator's first message.
type Settings struct {
	Logic          logic.Settings
	ConnIdle       broker.Micros // idle connections to nodes end after this
	ConnectTimeout broker.Micros
}

var (
	effects = map[string]logic.Effect{"safe": logic.Safe, "keyed": logic.Keyed, "unsafe": logic.Unsafe}
	scopes  = map[string]logic.Scope{
		"": logic.ScopeAll, "all": logic.ScopeAll, "zone": logic.ScopeZone, "cell": logic.ScopeShard,
	}
)

// micros is a span of the settings, in microseconds.
type micros float64

func (m micros) span() time.Duration { return time.Duration(float64(m) * float64(time.Microsecond)) }

// ParseSettings reads the settings' JSON. Unknown keys are passed over.
func ParseSettings(text []byte) (*Settings, error) {
	var raw struct {
		Bounds struct {
			Cancel, Peers, Probes, RetryAfter, SecondCopies bool
			MaxAttempts                                     int
			MaxRetryAfter, ConnIdle, ConnectTimeout         micros
		}
		Classes []struct {
			Name, Effect, KeyScope            string
			Aim, Deadline, Window             micros
			AimStretch, Importance, LateWorth float64
			ByArrival, Stream                 bool
		}
		Discovery  string
		Invariants struct {
			AnswerSlack, Cold, DrainGrace, Fall, MustAskIn, KeyQuiet, RatioSpan micros
			ColdShare, FallMultiple, ExtraFloor, ResendRatio                    float64
		}
		NInstances, Ordinal int
		ServiceLevels       []struct {
			Name                                                               string
			CapDepth, CeilingRate, FloorRate, Nominal, Parts, Price, Tolerance float64
		}
		Specifics struct {
			IdleWorth, MaxUnits, UsualUnits, WithinShare, YoungLimit float64
			UsePeriod                                                micros
		}
		Zone string
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, err
	}
	b, v, x := raw.Bounds, raw.Invariants, raw.Specifics
	s := logic.Settings{
		Hosts: raw.NInstances, Ordinal: raw.Ordinal, Zone: raw.Zone, Subscribe: raw.Discovery == "subscribe",
		MeanUnits: x.UsualUnits, MaxUnits: x.MaxUnits, ColdUnits: x.YoungLimit,
		MeterPeriod: x.UsePeriod.span(), ShareWorth: x.WithinShare, SpareWorth: x.IdleWorth,
		Bounds: logic.Bounds{MaxAttempts: b.MaxAttempts, MaxRetryAfter: b.MaxRetryAfter.span(),
			RetryAfter: b.RetryAfter, Cancel: b.Cancel, Peers: b.Peers, Probes: b.Probes,
			SecondCopies: b.SecondCopies},
		Rules: logic.Rules{AnswerSlack: v.AnswerSlack.span(), DrainGrace: v.DrainGrace.span(),
			ColdTime: v.Cold.span(), ColdShare: v.ColdShare, FallTime: v.Fall.span(),
			FallMultiple: v.FallMultiple, MustAskIn: v.MustAskIn.span(), KeyQuiet: v.KeyQuiet.span(),
			BudgetFloor: v.ExtraFloor, BudgetRatio: v.ResendRatio, BudgetSpan: v.RatioSpan.span()},
	}
	for _, c := range raw.Classes {
		effect, known := effects[c.Effect]
		scope, scoped := scopes[c.KeyScope]
		if !known || !scoped {
			return nil, fmt.Errorf("class %q has effect %q and scope %q", c.Name, c.Effect, c.KeyScope)
		}
		s.Classes = append(s.Classes, logic.Class{Name: c.Name, Aim: c.Aim.span(), AimStretch: c.AimStretch,
			Deadline: c.Deadline.span(), Worth: c.Importance, LateWorth: c.LateWorth, Effect: effect, Scope: scope,
			Window: c.Window.span(), Ordered: c.ByArrival, Stream: c.Stream})
	}
	for _, p := range raw.ServiceLevels {
		s.Plans = append(s.Plans, logic.Plan{Name: p.Name, Rate: p.Nominal, Reserve: p.FloorRate,
			Limit: p.CeilingRate, LimitBurst: p.CapDepth, LimitSlack: p.Tolerance, Weight: p.Parts, Price: p.Price})
	}
	return &Settings{Logic: s, ConnIdle: broker.MicrosOf(b.ConnIdle.span()),
		ConnectTimeout: broker.MicrosOf(b.ConnectTimeout.span())}, nil
}
