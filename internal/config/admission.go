package config

import (
	"fmt"

	"junctionwharf/admission"
	"junctionwharf/scheduler"
)

// Upper bounds for the section's values, far above the needs of any machine. A larger value is a typing error that
// would disable load shedding.
const (
	maxLagMS = 10_000     // milliseconds
	maxOpen  = 10_000_000 // requests
)

// Admission configures when requests are rejected because capacity or processor time is short.
type Admission struct {
	LagMS   float64 `toml:"lag_ms"`    // scheduling lag of the broker's loop above which load is shed; 0: off
	MaxOpen int     `toml:"most_open"` // maximum number of open requests; 0: limited only by memory and sockets
}

func (a Admission) check() error {
	if !(a.LagMS >= 0 && a.LagMS <= maxLagMS) {
		return fmt.Errorf("lag_ms: %v is not within 0 to %d", a.LagMS, maxLagMS)
	}
	if a.MaxOpen < 0 || a.MaxOpen > maxOpen {
		return fmt.Errorf("most_open: %d is not within 0 to %d", a.MaxOpen, maxOpen)
	}
	return nil
}

// Controller returns the admission controller. maxOpenOverloaded is the value for admission.Settings.MaxOpenOverloaded;
// 0 means no limit.
func (a Admission) Controller(set scheduler.Settings, maxOpenOverloaded int) *admission.Controller {
	settings := admission.Settings{
		TargetLag:         int64(a.LagMS * microsPerMilli),
		MaxOpen:           a.MaxOpen,
		MaxOpenOverloaded: maxOpenOverloaded,
	}
	return admission.New(settings, set)
}
