package config

import (
	"fmt"
	"math"
)

// What a process may use where the configuration does not say: a small machine.
const (
	// defaultCores is in processors. Higher, Go's runtime starts more threads than the machine runs, and requests are
	// late; lower, a broker on a larger machine sheds load too early.
	defaultCores = 1.0
	// defaultMemoryMB is in MiB. Higher, the platform kills a broker on a small machine; lower, clients are rejected.
	defaultMemoryMB = 192
	// defaultSockets is in file descriptors. Higher, accepting fails for want of them; lower, clients are rejected.
	defaultSockets = 1024
)

// Below these no broker runs.
const (
	// minMemoryMB is in MiB: the program itself takes about as much. Lower, a start is killed instead of refused.
	minMemoryMB = 32
	// minSockets is in file descriptors: discovery, peers and the console take most of them. Lower, a start accepts
	// hardly any client instead of being refused.
	minSockets = 64
)

// Limits is what the process may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

func (l *Limits) complete() error {
	if l.Cores == 0 {
		l.Cores = defaultCores
	}
	if l.MemoryMB == 0 {
		l.MemoryMB = defaultMemoryMB
	}
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
	switch {
	case l.Cores < 0 || math.IsNaN(l.Cores):
		return fmt.Errorf("limits.cores: %v is below 0", l.Cores)
	case l.MemoryMB < minMemoryMB:
		return fmt.Errorf("limits.memory_mb: %v is below %d", l.MemoryMB, minMemoryMB)
	case l.Sockets < minSockets:
		return fmt.Errorf("limits.sockets: %d is below %d", l.Sockets, minSockets)
	}
	return nil
}
