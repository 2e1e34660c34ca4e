package broker

import "junctionwharf/scheduler"

// Event is something that happened; State.Reduce takes it.
type Event interface{ event() }

// RequestArrived reports a new request; its ID is new. Its client's time runs from At, 0 for the time of the turn.
type RequestArrived struct {
	ID      uint64
	Request *Request
	At      Micros
}

// RequestCancelled reports that a client no longer waits.
type RequestCancelled struct{ ID uint64 }

// ClientHalfClosed reports that a client closed its sending side: it may have disconnected altogether, while it is
// still due an answer. That is given now.
type ClientHalfClosed struct{ ID uint64 }

// AttemptEnded reports how an attempt ended by itself.
type AttemptEnded struct {
	ID      uint64
	Attempt int
	Result  Result
}

// AttemptStopped reports how far an attempt that StopAttempt ended had come.
type AttemptStopped struct {
	ID       uint64
	Attempt  int
	Progress Progress
}

// StreamEnded reports that a Streaming value was delivered to its client complete, or never will be.
type StreamEnded struct {
	ID       uint64
	Complete bool
}

// HealthCheckEnded is the result of a health check.
type HealthCheckEnded struct {
	Node    string
	Latency Micros
	Result  Result
}

// NodesListed is an update of the list of storage nodes.
type NodesListed struct {
	Kind    scheduler.UpdateKind
	Version uint64
	Nodes   []Node
}

// Node is an entry of the list with the address at which this broker reaches it.
type Node struct {
	scheduler.Endpoint
	Address   string
	LastStart Micros // its last start on the loop's clock, 0 for long ago
}

// PeerMessage is a message of another broker.
type PeerMessage struct {
	From int
	Data []byte
}

// SettingsChanged brings new settings, which were checked. Requests under way keep their class.
type SettingsChanged struct{ Settings scheduler.Settings }

// ProcessesChanged reports that so many processes are this broker together, as while one replaces another, and how many
// more there may be that are not known.
type ProcessesChanged struct{ Processes, Unseen int }

// LagMeasured reports how long whatever could run in this process has lately waited for a processor, in the mean.
// Unknown says that nobody measures any more.
type LagMeasured struct {
	Waited  Micros
	Unknown bool
}

// ShuttingDown reports that the process ends: what is still due is to be answered now, and so is what still comes.
type ShuttingDown struct{}

func (RequestArrived) event()   {}
func (RequestCancelled) event() {}
func (ClientHalfClosed) event() {}
func (AttemptEnded) event()     {}
func (AttemptStopped) event()   {}
func (StreamEnded) event()      {}
func (HealthCheckEnded) event() {}
func (NodesListed) event()      {}
func (PeerMessage) event()      {}
func (SettingsChanged) event()  {}
func (ProcessesChanged) event() {}
func (LagMeasured) event()      {}
func (ShuttingDown) event()     {}
