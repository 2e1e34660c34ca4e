package capacity

import "fmt"

// connectionsFile is the name of the raw file that stores ConnectionCost values.
const connectionsFile = "connections.json"

// ConnectionCost is the measured cost of one broker with a given number of open client connections.
type ConnectionCost struct {
	Connections int     `json:"connections"`
	Rate        float64 `json:"rate"` // requests a second, sent by other clients
	Open        int     `json:"open"` // connections still open at the end
	MemoryMB    float64 `json:"memory_mb"`
	CPU         float64 `json:"cpu"` // in cores
	Sent        int     `json:"sent"`
	Served      int     `json:"served"`
	P99Micros   int64   `json:"p99_us"`
}

// P99Milliseconds formats P99Micros in milliseconds for the page. It returns "" if no request was sent.
func (c ConnectionCost) P99Milliseconds() string {
	if c.Sent == 0 {
		return ""
	}
	return formatMillis(c.P99Micros)
}

func formatMillis(micros int64) string { return fmt.Sprintf("%.1f", float64(micros)/1000) }

// LoadConnectionCosts reads the raw connection costs from a directory. It returns nil if the raw file does not exist.
func LoadConnectionCosts(dir string) (costs []ConnectionCost, err error) {
	_, err = readRaw(dir, connectionsFile, &costs, func() bool { return len(costs) > 0 })
	if err != nil {
		return nil, err
	}
	return costs, nil
}
