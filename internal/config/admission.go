package config

import (
	"fmt"

	"junctionwharf/admission"
	"junctionwharf/scheduler"
)

// Bounds of the section, far above any machine: a higher figure is a slip of the pen, by which load would never be
// shed.
const (
	maxLagMS = 10_000     // milliseconds
	maxOpen  = 10_000_000 // requests
)

// Admission is when requests are rejected for want of capacity or processor time.
type Admission struct {
	LagMS   float64 `toml:"lag_ms"`    // scheduling lag of the broker's loop beyond which load is shed; 0: off
	MaxOpen int     `toml:"most_open"` // requests that may wait for their answer; 0: bounded by memory and sockets
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

// Controller returns the admission controller. maxOpenOverloaded is that of admission.Settings, 0 for none.
func (a Admission) Controller(set scheduler.Settings, maxOpenOverloaded int) *admission.Controller {
	settings := admission.Settings{
		TargetLag:         int64(a.LagMS * microsPerMilli),
		MaxOpen:           a.MaxOpen,
		MaxOpenOverloaded: maxOpenOverloaded,
	}
	return admission.New(settings, set)
}
