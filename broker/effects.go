package broker

import "log/slog"

// Effect is an output of State.Reduce, which the loop executes.
type Effect interface{ effect() }

// StartAttempt starts an attempt.
type StartAttempt struct {
	ID      uint64
	Number  int // of the attempt, from 0
	Attempt Attempt
}

// StopAttempt ends an attempt. The loop answers with AttemptStopped.
type StopAttempt struct {
	ID     uint64
	Number int
}

// StopSending prevents an attempt from sending more data to its node.
type StopSending struct {
	ID     uint64
	Number int
}

// CancelUnlessWritten ends an attempt unless its request was fully written. It is used when the client has disconnected
// or the idempotency window has ended.
type CancelUnlessWritten struct {
	ID     uint64
	Number int
}

// Respond gives the final answer to a request's client.
type Respond struct {
	ID       uint64
	Response Response
}

// SendToPeer sends bytes to one other broker, or to all others if Peer is scheduler.AllPeers.
type SendToPeer struct {
	Peer int
	Data []byte
}

// CheckNodeHealth starts a health check of a node.
type CheckNodeHealth struct {
	Node    string
	Address string
}

// CloseIdle closes the idle connections to an address.
type CloseIdle struct{ Address string }

// DiscardValue releases a value that no client will receive.
type DiscardValue struct{ Value any }

// Log is a log line for the operators. Message is fixed, because lines are sampled by message. Variable data goes into
// Attributes.
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
