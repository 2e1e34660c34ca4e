package capacity

import "fmt"

// ConnectionCost is what one broker cost that held so many clients' connections.
type ConnectionCost struct {
	Connections int     `json:"connections"`
	Rate        float64 `json:"rate"` // requests a second beside them
	Open        int     `json:"open"` // of the connections, at the end
	MemoryMB    float64 `json:"memory_mb"`
	CPU         float64 `json:"cpu"` // part of a core
	Sent        int     `json:"sent"`
	Served      int     `json:"served"`
	P99         int64   `json:"p99_us"`
}

// Milliseconds is P99 for the page.
func (h ConnectionCost) Milliseconds() string {
	if h.Sent == 0 {
		return ""
	}
	return fmt.Sprintf("%.1f", float64(h.P99)/1000)
}

// LoadConnectionCosts reads the raw figures of connections that a directory has, none if it lacks them.
func LoadConnectionCosts(dir string) (all []ConnectionCost, err error) {
	if _, err := readRaw(dir, "connections.json", &all, func() bool { return len(all) > 0 }); err != nil {
		return nil, err
	}
	return all, nil
}
