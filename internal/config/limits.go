package config

import (
	"fmt"
	"math"
)

// What a process may use where the configuration does not say: a small machine. Higher, a broker on one is killed for
// its memory; lower, one on a larger machine rejects clients that it could serve.
const (
	defaultCores    = 1.0
	defaultMemoryMB = 192
	defaultSockets  = 1024
)

// Below these no broker runs: the program itself and its connections to discovery and peers take about as much.
const (
	minMemoryMB = 32
	minSockets  = 64
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
