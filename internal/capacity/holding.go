package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Holding is what one broker cost that held so many clients' connections.
type Holding struct {
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
func (h Holding) Milliseconds() string {
	if h.Sent == 0 {
		return ""
	}
	return fmt.Sprintf("%.1f", float64(h.P99)/1000)
}

// LoadHoldings reads the raw figures of connections that a directory has, none if it lacks them.
func LoadHoldings(dir string) (all []Holding, err error) {
	const name = "connections.json"
	text, err := os.ReadFile(filepath.Join(dir, name))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err == nil {
		err = json.Unmarshal(text, &all)
	}
	if err == nil && len(all) == 0 {
		err = errors.New("no figures in it")
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return all, nil
}
