package scheduler

import "log/slog"

// logIntervalTicks is the fewest ticks between two log lines with one message. With fewer, an outage of a
// node fills the log with a line for each of its requests; with more, a second fault of the same kind stays
// unseen for longer.
const logIntervalTicks = 100

// The messages of log lines. They are fixed, since the limit counts by message; what differs is in the
// attributes.
const (
	messageUnknownClass        = "unknown class or plan"
	messageAttemptLost         = "attempt lost"
	messageUnresponsive        = "node unresponsive"
	messageUnresponsiveReplica = "node unresponsive while others of its shard answer"
	messageUpdateFailed        = "endpoint update failed"
	messageNodeLeaves          = "node leaves"
)

// logLimiter bounds log lines: a message is written at most once in logIntervalTicks. The budget is one
// for all nodes: a line on a second node that fails within the interval is dropped. What is dropped here is
// not counted: the key `left_out` of log lines counts only what internal/logging drops.
type logLimiter struct {
	lastTick map[string]int // tick of the last line, by message
}

// allow tells whether a message may be written in a tick, and notes it if so.
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
