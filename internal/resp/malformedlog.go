package resp

import (
	"log/slog"
	"sync"
	"time"
)

// malformedLogInterval is the least time between two log lines on malformed commands. Lower, a faulty client would fill
// the log.
const malformedLogInterval = 10 * time.Second

// malformedLog counts malformed commands and logs them now and then.
type malformedLog struct {
	logger *slog.Logger

	mu       sync.Mutex // guards what follows
	count    int        // since the last line
	loggedAt time.Time  // of the last line
}

// record counts a malformed command and logs the count if a line is due.
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
