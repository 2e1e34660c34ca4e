package broker

import "log/slog"

// Effect is something that State.Reduce wants done.
type Effect interface{ effect() }

// StartAttempt begins an attempt.
type StartAttempt struct {
	ID      uint64
	Number  int // of the attempt, from 0
	Attempt Attempt
}

// StopAttempt ends an attempt and asks for AttemptStopped.
type StopAttempt struct {
	ID     uint64
	Number int
}

// StopSending bars an attempt from sending more to its node.
type StopSending struct {
	ID     uint64
	Number int
}

// CancelUnlessWritten ends an attempt whose client has disconnected, or which came too late to its node, unless it
// was fully written.
type CancelUnlessWritten struct {
	ID     uint64
	Number int
}

// Respond gives the final answer to a request's client.
type Respond struct {
	ID       uint64
	Response Response
}

// SendToPeer sends bytes to one broker, or to all others.
type SendToPeer struct {
	Peer int
	Data []byte
}

// CheckNodeHealth asks for a health check of a node.
type CheckNodeHealth struct {
	Node    string
	Address string
}

// CloseIdle asks to close idle connections.
type CloseIdle struct{ Address string }

// DiscardValue releases a value that no client receives any more.
type DiscardValue struct{ Value any }

// Log is a line for the engineers on call: a fixed message, by which lines are sampled, and what differs as attributes.
type Log struct {
	Message    string
	Attributes []slog.Attr
}

func (StartAttempt) effect()        {}
func (StopAttempt) effect()         {}
func (StopSending) effect()         {}
func (CancelUnlessWritten) effect() {}
func (Respond) effect()             {}
func (SendToPeer) effect()          {}
func (CheckNodeHealth) effect()     {}
func (CloseIdle) effect()           {}
func (DiscardValue) effect()        {}
func (Log) effect()                 {}
