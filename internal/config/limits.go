package config

import (
	"fmt"
	"math"
)

// Default limits of the process, sized for a small machine.
const (
	// defaultCores is in processors. If it is higher than the actual number, the Go runtime starts more threads than
	// the machine can run, and requests are late. If it is lower, a broker on a larger machine sheds load too early.
	defaultCores = 1.0
	// defaultMemoryMB is in MiB. With a larger value, the platform kills a broker on a small machine. With a smaller
	// value, clients are rejected.
	defaultMemoryMB = 192
	// defaultSockets is in file descriptors. With a larger value, accepting a connection fails when the descriptors are
	// exhausted. With a smaller value, clients are rejected.
	defaultSockets = 1024
)

// Minimum limits with which a broker can run.
const (
	// minMemoryMB is in MiB. The program itself needs about this much. A smaller limit is rejected at the start, since
	// the platform would kill the process.
	minMemoryMB = 32
	// minSockets is in file descriptors. Discovery, peers and the console use most of them. A smaller limit is
	// rejected at the start, since the broker could accept hardly any client.
	minSockets = 64
)

// Maximum limits, beyond those of any machine.
const (
	maxCores    = 1 << 12 // processors
	maxMemoryMB = 1 << 26 // MiB
	maxSockets  = 1 << 24 // file descriptors
)

// Limits are the resource limits of the process.
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
	case l.Cores > maxCores:
		return fmt.Errorf("limits.cores: %v is above %d", l.Cores, maxCores)
	case l.MemoryMB < minMemoryMB:
		return fmt.Errorf("limits.memory_mb: %v is below %d", l.MemoryMB, minMemoryMB)
	case l.MemoryMB > maxMemoryMB:
		return fmt.Errorf("limits.memory_mb: %v is above %d", l.MemoryMB, maxMemoryMB)
	case l.Sockets < minSockets:
		return fmt.Errorf("limits.sockets: %d is below %d", l.Sockets, minSockets)
	case l.Sockets > maxSockets:
		return fmt.Errorf("limits.sockets: %d is above %d", l.Sockets, maxSockets)
	}
	return nil
}
