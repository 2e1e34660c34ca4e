package daemon

import (
	"junctionwharf/broker"
	"junctionwharf/internal/pool"
	"junctionwharf/scheduler"
)

// noTransport is the transport of a process that sends no requests. An attempt fails before anything is sent.
type noTransport struct{}

// Start implements broker.Transport.
func (noTransport) Start(_ broker.Attempt, done func(broker.Result)) broker.Handle {
	return pool.FailAttempt(errNoRequests, done)
}

// CheckHealth implements broker.Transport.
func (noTransport) CheckHealth(_ string, done func(broker.Result)) {
	err := &broker.AttemptError{Progress: broker.NotConnected, Err: errNoRequests}
	go done(broker.Result{Err: err, Load: scheduler.NoLoadReport})
}

// CloseIdle implements broker.Transport.
func (noTransport) CloseIdle(string) {}
