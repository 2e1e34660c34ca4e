package scheduler

import "log/slog"

// logIntervalTicks is the minimum number of ticks between two log lines with the same message. With a smaller
// value an outage of a node fills the log with one line for each of its requests. With a larger value a
// second fault of the same kind remains unnoticed for longer.
const logIntervalTicks = 100

// The messages of log lines. Each is a constant, because logLimiter limits the lines by message. Variable
// values are attributes.
const (
	messageUnknownClass        = "unknown class or plan"
	messageAttemptLost         = "attempt lost"
	messageUnresponsive        = "node unresponsive"
	messageUnresponsiveReplica = "node unresponsive while others of its shard answer"
	messageUpdateFailed        = "endpoint update failed"
	messageNodeLeaves          = "node leaves"
)

// logLimiter limits log lines: each message is logged at most once in logIntervalTicks. All nodes share this
// limit: a line about a second node that fails within the interval is dropped. Nothing counts the lines that
// logLimiter drops: the key `left_out` of log lines counts only the lines that internal/logging drops.
type logLimiter struct {
	lastTick map[string]int // tick of the last line, by message
}

// allow reports whether a message may be logged in a tick. If so, it records the tick.
func (l *logLimiter) allow(message string, tick int) bool {
	if last, seen := l.lastTick[message]; seen && tick-last < logIntervalTicks {
		return false
	}
	l.lastTick[message] = tick
	return true
}

// log emits a log line for the engineers on call.
func (s *Scheduler) log(message string, attributes ...slog.Attr) {
	if s.logs.allow(message, s.ticks) {
		s.emit(Log{Message: message, Attributes: attributes})
	}
}
