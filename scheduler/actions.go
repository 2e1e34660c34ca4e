package scheduler

import (
	"log/slog"
	"strings"
	"time"
)

// Action is something that a Scheduler wants done.
type Action interface{ action() }

// Forward begins an attempt of a request at a node. A Timeout of 0 waits as long as the client does; no rule
// of this version sets another.
type Forward struct {
	ID      uint64
	Node    string
	Timeout time.Duration
}

// Reject is a final answer that says that repeating the request is harmless, with an optional hint when.
type Reject struct {
	ID    uint64
	After time.Duration // 0 for no hint
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID uint64 }

// Cancel stops waiting for an attempt.
type Cancel struct {
	ID      uint64
	Attempt int // from 0
}

// HealthCheck checks a node. No rule of this version emits it.
type HealthCheck struct{ Node string }

// SendToPeer sends bytes to one peer by its ordinal, or to all others with AllPeers.
type SendToPeer struct {
	Peer int
	Data []byte
}

// AllPeers addresses every other broker of the tier.
const AllPeers = -1

// SetTimer asks for a TimerFired event after a delay.
type SetTimer struct {
	Token uint64
	After time.Duration
}

// WatchEndpoints opens or closes the subscription to the endpoint list.
type WatchEndpoints struct{ On bool }

// FetchEndpoints asks for the whole endpoint list once. No rule of this version emits it.
type FetchEndpoints struct{}

// CloseIdleConnections closes idle connections to a node. No rule of this version emits it.
type CloseIdleConnections struct{ Node string }

// Log is a line for the engineers on call: a fixed message, and what differs as attributes.
type Log struct {
	Message    string
	Attributes []slog.Attr
}

// Text is the line in one string, for a sink without attributes.
func (l Log) Text() string {
	var text strings.Builder
	text.WriteString(l.Message)
	for _, a := range l.Attributes {
		text.WriteString(" " + a.Key + "=" + a.Value.String())
	}
	return text.String()
}

func (Forward) action()              {}
func (Reject) action()               {}
func (Fail) action()                 {}
func (Cancel) action()               {}
func (HealthCheck) action()          {}
func (SendToPeer) action()           {}
func (SetTimer) action()             {}
func (WatchEndpoints) action()       {}
func (FetchEndpoints) action()       {}
func (CloseIdleConnections) action() {}
func (Log) action()                  {}
