package capacity

import "fmt"

// connectionsFile is the raw file of ConnectionCost values.
const connectionsFile = "connections.json"

// ConnectionCost is what one broker cost that held so many clients' connections.
type ConnectionCost struct {
	Connections int     `json:"connections"`
	Rate        float64 `json:"rate"` // requests a second of other clients
	Open        int     `json:"open"` // connections at the end
	MemoryMB    float64 `json:"memory_mb"`
	CPU         float64 `json:"cpu"` // in cores
	Sent        int     `json:"sent"`
	Served      int     `json:"served"`
	P99Micros   int64   `json:"p99_us"`
}

// P99Milliseconds is P99Micros for the page; empty if nothing was sent.
func (c ConnectionCost) P99Milliseconds() string {
	if c.Sent == 0 {
		return ""
	}
	return formatMillis(c.P99Micros)
}

func formatMillis(micros int64) string { return fmt.Sprintf("%.1f", float64(micros)/1000) }

// LoadConnectionCosts reads the raw figures of connections that a directory has, none if it lacks them.
func LoadConnectionCosts(dir string) (costs []ConnectionCost, err error) {
	_, err = readRaw(dir, connectionsFile, &costs, func() bool { return len(costs) > 0 })
	if err != nil {
		return nil, err
	}
	return costs, nil
}
