package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"junctionwharf/broker"
	"junctionwharf/logic"
)

// Settings is the object that an instance gets in the simulator's first message.
type Settings struct {
	Logic          logic.Settings
	Shards         int           // they run from 0 to this less 1; 0 for unknown
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
			NShards                                                  int
		}
		Zone string
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, typeFault(err)
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
	for i, c := range raw.Classes {
		effect, known := effects[c.Effect]
		if !known {
			return nil, fmt.Errorf("classes[%d].effect: %q is neither safe, keyed nor unsafe", i, c.Effect)
		}
		scope, known := scopes[c.KeyScope]
		if !known {
			return nil, fmt.Errorf("classes[%d].keyScope: %q is neither all, zone nor cell", i, c.KeyScope)
		}
		s.Classes = append(s.Classes, logic.Class{Name: c.Name, Aim: c.Aim.span(), AimStretch: c.AimStretch,
			Deadline: c.Deadline.span(), Worth: c.Importance, LateWorth: c.LateWorth, Effect: effect, Scope: scope,
			Window: c.Window.span(), Ordered: c.ByArrival, Stream: c.Stream})
	}
	for _, p := range raw.ServiceLevels {
		s.Plans = append(s.Plans, logic.Plan{Name: p.Name, Rate: p.Nominal, Reserve: p.FloorRate,
			Limit: p.CeilingRate, LimitBurst: p.CapDepth, LimitSlack: p.Tolerance, Weight: p.Parts, Price: p.Price})
	}
	return &Settings{Logic: s, Shards: x.NShards, ConnIdle: broker.MicrosOf(b.ConnIdle.span()),
		ConnectTimeout: broker.MicrosOf(b.ConnectTimeout.span())}, nil
}
