package scheduler

import (
	"time"
)

// Action is something that a Scheduler wants done.
type Action interface{ action() }

// Forward begins an attempt. A Timeout of 0 waits as long as the client does.
type Forward struct {
	ID      uint64
	Node    string
	Timeout time.Duration
}

// Reject is a final answer that says a further try is harmless, with an optional hint when to come.
type Reject struct {
	ID    uint64
	After time.Duration
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID uint64 }

// Cancel stops waiting for an attempt.
type Cancel struct {
	ID      uint64
	Attempt int
}

// HealthCheck checks a node.
type HealthCheck struct{ Node string }

// SendToPeer sends bytes to one peer by its ordinal, or to all others with AllPeers.
type SendToPeer struct {
	Peer int
	Data []byte
}

// AllPeers addresses every other gateway of the tier.
const AllPeers = -1

// SetTimer asks for a TimerFired event after a delay.
type SetTimer struct {
	Token uint64
	After time.Duration
}

// WatchEndpoints opens or closes the subscription to the node list.
type WatchEndpoints struct{ On bool }

// FetchEndpoints asks for the whole node list once.
type FetchEndpoints struct{}

// CloseIdleConnections gives back idle connections to a node.
type CloseIdleConnections struct{ Node string }

// Log is a line for the people on call.
type Log struct{ Text string }

func (Forward) action() {}

func (Reject) action() {}

func (Fail) action() {}

func (Cancel) action() {}

func (HealthCheck) action() {}

func (SendToPeer) action() {}

func (SetTimer) action() {}

func (WatchEndpoints) action() {}

func (FetchEndpoints) action() {}

func (CloseIdleConnections) action() {}

func (Log) action() {}
