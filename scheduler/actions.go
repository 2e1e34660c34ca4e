package scheduler

import (
	"log/slog"
	"strings"
	"time"
)

// Action is an instruction from a Scheduler to its caller.
type Action interface{ action() }

// Forward starts an attempt of a request at a node. A Timeout of 0 sets no limit: the attempt may last until
// the deadline of the request. No rule of this version sets another Timeout.
type Forward struct {
	ID      uint64
	Node    string
	Timeout time.Duration
}

// Reject is a final answer. It states that the client may safely repeat the request.
type Reject struct {
	ID    uint64
	After time.Duration // suggested wait before the client repeats the request, 0 for no suggestion
}

// Fail is a final answer. It does not state whether the client may safely repeat the request.
type Fail struct{ ID uint64 }

// Cancel stops an attempt that is in flight.
type Cancel struct {
	ID      uint64
	Attempt int // from 0
}

// HealthCheck starts a health check of a node. No rule of this version emits it.
type HealthCheck struct{ Node string }

// SendToPeer sends bytes to one peer, given by its ordinal, or to all peers with AllPeers.
type SendToPeer struct {
	Peer int
	Data []byte
}

// AllPeers as SendToPeer.Peer addresses every other broker of the tier.
const AllPeers = -1

// SetTimer requests a TimerFired event after a delay.
type SetTimer struct {
	Token uint64
	After time.Duration
}

// WatchEndpoints opens or closes the subscription to the endpoint list.
type WatchEndpoints struct{ On bool }

// FetchEndpoints requests the whole endpoint list once. No rule of this version emits it.
type FetchEndpoints struct{}

// CloseIdleConnections closes idle connections to a node. No rule of this version emits it.
type CloseIdleConnections struct{ Node string }

// Log is a log line for the engineers on call: a fixed message, and the variable values as attributes.
type Log struct {
	Message    string
	Attributes []slog.Attr
}

// Text returns the message and the attributes as one string, for a sink without attributes.
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
