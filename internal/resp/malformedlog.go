package resp

import (
	"log/slog"
	"sync"
	"time"
)

// malformedLogInterval is the minimum time between two log lines about malformed commands. With a smaller value a
// faulty client could fill the log.
const malformedLogInterval = 10 * time.Second

// malformedLog counts malformed commands and logs the count at most once per malformedLogInterval.
type malformedLog struct {
	logger *slog.Logger

	mu       sync.Mutex // guards the fields below
	count    int        // malformed commands since the last log line
	loggedAt time.Time  // time of the last log line
}

// record counts a malformed command and logs the count if malformedLogInterval has passed since the last log line.
func (m *malformedLog) record(err error) {
	now := time.Now()
	m.mu.Lock()
	m.count++
	count := m.count
	due := now.Sub(m.loggedAt) >= malformedLogInterval
	if due {
		m.count = 0
		m.loggedAt = now
	}
	m.mu.Unlock()
	if due {
		m.logger.Warn("malformed commands", "count", count, "last", err)
	}
}
