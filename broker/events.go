package broker

import "junctionwharf/scheduler"

// Event is an input of State.Reduce.
type Event interface{ event() }

// RequestArrived reports a new request with a new ID. The client's timeout runs from At, or from the time of the turn
// if At is 0.
type RequestArrived struct {
	ID      uint64
	Request *Request
	At      Micros
}

// RequestCancelled reports that a request's client has disconnected.
type RequestCancelled struct{ ID uint64 }

// ClientHalfClosed reports that a request's client has closed its sending side. The client may have disconnected, or
// may still expect an answer, so the request is ended and answered as soon as possible.
type ClientHalfClosed struct{ ID uint64 }

// AttemptEnded reports the result of an attempt that ended without being stopped.
type AttemptEnded struct {
	ID      uint64
	Attempt int
	Result  Result
}

// AttemptStopped reports the progress of an attempt that StopAttempt ended.
type AttemptStopped struct {
	ID       uint64
	Attempt  int
	Progress Progress
}

// StreamEnded reports that the delivery of a Streaming value has ended, completely or not.
type StreamEnded struct {
	ID       uint64
	Complete bool
}

// HealthCheckEnded reports the result of a health check.
type HealthCheckEnded struct {
	Node    string
	Latency Micros
	Result  Result
}

// NodesListed reports an update of the list of storage nodes.
type NodesListed struct {
	Kind    scheduler.UpdateKind
	Version uint64
	Nodes   []Node
}

// Node is a listed storage node, with the address at which this broker reaches the node.
type Node struct {
	scheduler.Endpoint
	Address   string
	LastStart Micros // on the loop's clock; 0 if unknown or long ago
}

// PeerMessage reports a message from another broker.
type PeerMessage struct {
	From int
	Data []byte
}

// SettingsChanged reports new, validated settings. Open requests keep their class, as do requests that came under an
// earlier generation of the settings (see scheduler.SettingsChanged).
type SettingsChanged struct {
	Settings   scheduler.Settings
	Generation uint64
}

// VolumeLimitChanged bounds the number of volumes whose state is remembered.
type VolumeLimitChanged struct{ MaxVolumes int }

// ProcessesChanged reports how many processes make up this broker, which are several during a handover, and how many
// further processes may be running unseen.
type ProcessesChanged struct{ Processes, Unseen int }

// LagMeasured reports the recent mean time for which runnable work in this process waited for a processor. Unknown
// means that the lag is no longer measured.
type LagMeasured struct {
	Waited  Micros
	Unknown bool
}

// ShuttingDown reports that the process is about to exit. Open requests, and requests that arrive later, are ended and
// answered as soon as possible.
type ShuttingDown struct{}

func (RequestArrived) event()     {}
func (RequestCancelled) event()   {}
func (ClientHalfClosed) event()   {}
func (AttemptEnded) event()       {}
func (AttemptStopped) event()     {}
func (StreamEnded) event()        {}
func (HealthCheckEnded) event()   {}
func (NodesListed) event()        {}
func (PeerMessage) event()        {}
func (SettingsChanged) event()    {}
func (VolumeLimitChanged) event() {}
func (ProcessesChanged) event()   {}
func (LagMeasured) event()        {}
func (ShuttingDown) event()       {}
