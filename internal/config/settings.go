package config

import (
	"fmt"
	"time"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

// Settings contains the settings of the platform's "settings" object. All brokers of a tier share them, except the
// broker's own ordinal and zone.
type Settings struct {
	Scheduler      scheduler.Settings
	Shards         int           // number of shards, indexed from 0; 0 means unknown
	ConnIdle       broker.Micros // idle connections to nodes are closed after this time
	ConnectTimeout broker.Micros
}

// wireSettings is the format of the object in the platform's file. encoding/json matches its keys regardless of case.
// The fields' tags say which keys a file may lack (see presenceTag).
type wireSettings struct {
	Bounds        wireBounds     `json:"bounds"`
	Classes       []wireClass    `json:"classes"`
	Clients       wireClients    `json:"clients"`
	Discovery     string         `json:"discovery"`
	Family        unused         `json:"family"`
	Invariants    wireInvariants `json:"invariants"`
	Kinds         unused         `json:"kinds"`
	NInstances    int            `json:"nInstances"`
	Ordinal       int            `json:"ordinal"`
	Prices        wirePrices     `json:"prices"`
	ScoreParts    wireScoreParts `json:"scoreParts"`
	ServiceLevels []wirePlan     `json:"serviceLevels"`
	Specifics     wireSpecifics  `json:"specifics"`
	Stage         unused         `json:"stage"`
	Telemetry     wireTelemetry  `json:"telemetry"`
	Tick          unused         `json:"tick"`
	Tiers         unused         `json:"tiers"`
	Weights       unused         `json:"weights"`
	Zone          string         `json:"zone"`
	Zones         unused         `json:"zones"`
}

type wireBounds struct {
	Cancel         bool   `json:"cancel"`
	Peers          bool   `json:"peers"`
	Probes         bool   `json:"probes"`
	RetryAfter     bool   `json:"retryAfter"`
	SecondCopies   bool   `json:"secondCopies"`
	MaxAttempts    int    `json:"maxAttempts"`
	MaxRetryAfter  micros `json:"maxRetryAfter"`
	ConnIdle       micros `json:"connIdle"`
	ConnectTimeout micros `json:"connectTimeout"`

	CPUPerRequest  unused `json:"cpuUsPerRequest"`
	CPUPerSecond   unused `json:"cpuUsPerS"`
	MaxOpen        unused `json:"maxOpen"`
	StreamsPerConn unused `json:"streamsPerConn"`
}

type wireClients struct {
	MarksRetry unused `json:"marksRetry"`
}

type wirePrices struct {
	Connection unused `json:"connection"`
	CrossZone  unused `json:"crossZone"`
	Discovery  unused `json:"discovery"`
	Fleet      unused `json:"fleet" presence:"optional"`
	Handshake  unused `json:"handshake"`
	LateFail   unused `json:"lateFail"`
	Moves      unused `json:"moves"`
	Origin     unused `json:"origin"`
	Peer       unused `json:"peer"`
	Probe      unused `json:"probe"`
	Waste      unused `json:"waste"`
}

type wireScoreParts struct {
	Whole       unused `json:"whole"`
	WorstClass  unused `json:"worstClass"`
	WorstTenant unused `json:"worstTenant"`
	WorstWindow unused `json:"worstWindow"`
}

type wireTelemetry struct {
	Fields unused `json:"fields"`
	Via    unused `json:"via"`
}

type wireClass struct {
	Name       string  `json:"name"`
	Effect     string  `json:"effect"`
	KeyScope   string  `json:"keyScope"`
	Aim        micros  `json:"aim"`
	Deadline   micros  `json:"deadline"`
	Window     micros  `json:"window"`
	AimStretch float64 `json:"aimStretch" presence:"optional"`
	Importance float64 `json:"importance"`
	LateWorth  float64 `json:"lateWorth"`
	ByArrival  bool    `json:"byArrival" presence:"optional"`
	Stream     bool    `json:"stream"`
}

type wireInvariants struct {
	AnswerSlack  micros  `json:"answerSlack"`
	Cold         micros  `json:"cold"`
	DrainGrace   micros  `json:"drainGrace"`
	Fall         micros  `json:"fall"`
	MustAskIn    micros  `json:"mustAskIn"`
	KeyQuiet     micros  `json:"keyQuiet" presence:"optional"`
	RatioSpan    micros  `json:"ratioSpan" presence:"optional"`
	ColdShare    float64 `json:"coldShare"`
	FallMultiple float64 `json:"fallMultiple"`
	ExtraFloor   float64 `json:"extraFloor" presence:"optional"`
	ResendRatio  float64 `json:"resendRatio" presence:"optional"`
}

type wirePlan struct {
	Name        string  `json:"name"`
	CapDepth    float64 `json:"capDepth"`
	CeilingRate float64 `json:"ceilingRate"`
	FloorRate   float64 `json:"floorRate"`
	Nominal     float64 `json:"nominal"`
	Parts       float64 `json:"parts"`
	Price       float64 `json:"price"`
	Tolerance   float64 `json:"tolerance"`
}

type wireSpecifics struct {
	IdleWorth   float64 `json:"idleWorth"`
	MaxUnits    float64 `json:"maxUnits"`
	UsualUnits  float64 `json:"usualUnits"`
	WithinShare float64 `json:"withinShare"`
	YoungLimit  float64 `json:"youngLimit"`
	UsePeriod   micros  `json:"usePeriod"`
	NShards     int     `json:"nShards"`

	TellsElsewhere unused `json:"tellsElsewhere"`
	Writes         unused `json:"writes"`
}

// subscribeMode is the value of the key "discovery" if all brokers poll one shared service.
const subscribeMode = "subscribe"

// idempotencies maps the values of a class's "effect" key to the scheduler's constants.
var idempotencies = map[string]scheduler.Idempotency{
	"safe":   scheduler.Idempotent,
	"keyed":  scheduler.IdempotentWithKey,
	"unsafe": scheduler.NotIdempotent,
}

// keyScopes maps the values of a class's "keyScope" key to the scheduler's constants.
var keyScopes = map[string]scheduler.Scope{
	"":     scheduler.ScopeAll,
	"all":  scheduler.ScopeAll,
	"zone": scheduler.ScopeZone,
	"cell": scheduler.ScopeShard,
}

// micros is a duration in the settings, in microseconds. It is a float because values in the file may have fractions.
type micros float64

// duration returns the duration. For a value beyond maxDuration it returns another one beyond maxDuration, which
// complete rejects: the conversion of a number that does not fit depends on the processor.
func (m micros) duration() time.Duration {
	const outOfRange = maxDuration + time.Second
	nanoseconds := float64(m) * float64(time.Microsecond)
	return time.Duration(max(-float64(outOfRange), min(nanoseconds, float64(outOfRange))))
}

// ParseSettings decodes the JSON text of the settings. It ignores unknown keys.
func ParseSettings(text []byte) (*Settings, error) {
	var wire wireSettings
	if err := decodeJSON(text, &wire); err != nil {
		return nil, err
	}
	settings := scheduler.Settings{
		Brokers:        wire.NInstances,
		Ordinal:        wire.Ordinal,
		Zone:           wire.Zone,
		Subscribe:      wire.Discovery == subscribeMode,
		MeanUnits:      wire.Specifics.UsualUnits,
		MaxUnits:       wire.Specifics.MaxUnits,
		SlowStartUnits: wire.Specifics.YoungLimit,
		MeterPeriod:    wire.Specifics.UsePeriod.duration(),
		ShareWeight:    wire.Specifics.WithinShare,
		SpareWeight:    wire.Specifics.IdleWorth,
		Capabilities:   wire.Bounds.decode(),
		Rules:          wire.Invariants.decode(),
	}
	for i, class := range wire.Classes {
		decoded, err := class.decode()
		if err != nil {
			return nil, fmt.Errorf("classes[%d].%w", i, err)
		}
		settings.Classes = append(settings.Classes, decoded)
	}
	for _, plan := range wire.ServiceLevels {
		settings.Plans = append(settings.Plans, plan.decode())
	}
	return &Settings{
		Scheduler:      settings,
		Shards:         wire.Specifics.NShards,
		ConnIdle:       broker.MicrosOf(wire.Bounds.ConnIdle.duration()),
		ConnectTimeout: broker.MicrosOf(wire.Bounds.ConnectTimeout.duration()),
	}, nil
}

func (w wireBounds) decode() scheduler.Capabilities {
	return scheduler.Capabilities{
		MaxAttempts:    w.MaxAttempts,
		MaxRetryAfter:  w.MaxRetryAfter.duration(),
		RetryAfter:     w.RetryAfter,
		Cancel:         w.Cancel,
		Peers:          w.Peers,
		HealthChecks:   w.Probes,
		HedgedRequests: w.SecondCopies,
	}
}

func (w wireInvariants) decode() scheduler.Rules {
	return scheduler.Rules{
		AnswerSlack:       w.AnswerSlack.duration(),
		DrainGrace:        w.DrainGrace.duration(),
		WarmUpTime:        w.Cold.duration(),
		InitialCapacity:   w.ColdShare,
		OverloadWindow:    w.Fall.duration(),
		OverloadMultiple:  w.FallMultiple,
		PollDeadline:      w.MustAskIn.duration(),
		QuietPeriod:       w.KeyQuiet.duration(),
		RetryBudgetMin:    w.ExtraFloor,
		RetryBudgetRatio:  w.ResendRatio,
		RetryBudgetWindow: w.RatioSpan.duration(),
	}
}

func (w wireClass) decode() (scheduler.Class, error) {
	idempotency, known := idempotencies[w.Effect]
	if !known {
		return scheduler.Class{}, fmt.Errorf("effect: %q is neither safe, keyed nor unsafe", w.Effect)
	}
	scope, known := keyScopes[w.KeyScope]
	if !known {
		return scheduler.Class{}, fmt.Errorf("keyScope: %q is neither all, zone nor cell", w.KeyScope)
	}
	return scheduler.Class{
		Name:             w.Name,
		LatencyObjective: w.Aim.duration(),
		ObjectiveStretch: w.AimStretch,
		Deadline:         w.Deadline.duration(),
		PriorityWeight:   w.Importance,
		LateWeight:       w.LateWorth,
		Idempotency:      idempotency,
		Scope:            scope,
		DedupWindow:      w.Window.duration(),
		Ordered:          w.ByArrival,
		Stream:           w.Stream,
	}, nil
}

func (w wirePlan) decode() scheduler.Plan {
	return scheduler.Plan{
		Name:           w.Name,
		Rate:           w.Nominal,
		ReservedRate:   w.FloorRate,
		Limit:          w.CeilingRate,
		LimitBurst:     w.CapDepth,
		LimitOverdraft: w.Tolerance,
		Weight:         w.Parts,
		Price:          w.Price,
	}
}
