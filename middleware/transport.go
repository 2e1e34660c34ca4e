package middleware

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

// errNotChecked is the result of every health check: the nodes behind handlers are not known here.
var errNotChecked = errors.New("handlers are not probed")

// handlerTransport is the transport of one HTTP request: an attempt is a run of the next handler. running keeps
// attempts apart: one that was stopped but has not returned yet holds up the next.
type handlerTransport struct {
	next    http.Handler
	request *http.Request
	body    []byte
	running sync.Mutex
}

// attempt is a run of the handler. The goroutine that Start begins owns it; mu guards begun and over, which the loop's
// goroutine sets and reads by Stop.
type attempt struct {
	node        Node
	cancel      context.CancelFunc
	notExecuted atomic.Bool

	mu    sync.Mutex
	begun bool // the handler was called
	over  bool // it has returned, or was stopped
}

// Start implements broker.Transport.
func (t *handlerTransport) Start(a broker.Attempt, done func(broker.Result)) broker.Handle {
	// The core ends the attempt in time. A deadline of the context's own could come first, and what a handler then
	// returns without having done its work would pass for its answer.
	ctx, cancel := context.WithCancel(t.request.Context())
	run := &attempt{node: Node{Name: a.Node, Address: a.Address}, cancel: cancel}
	go func() {
		defer cancel()
		t.running.Lock()
		defer t.running.Unlock()
		if !run.begin() {
			return
		}
		if a.OnWritten != nil {
			a.OnWritten()
		}
		result := t.run(context.WithValue(ctx, attemptKey{}, run), run)
		if run.finish() {
			done(result)
		}
	}()
	return run
}

func (t *handlerTransport) run(ctx context.Context, a *attempt) (result broker.Result) {
	result = broker.Result{Reply: broker.ReplyError, Load: scheduler.NoLoadReport}
	defer func() {
		if p := recover(); p != nil { // a handler's fault ends its request only
			result.Err = &broker.AttemptError{Progress: broker.FullyWritten, Err: fmt.Errorf("panic: %v", p)}
		}
		if a.notExecuted.Load() {
			result = broker.Result{Reply: broker.ReplyRejected, Load: scheduler.NoLoadReport}
		}
	}()
	r := t.request.Clone(ctx)
	r.Body = io.NopCloser(bytes.NewReader(t.body))
	rec := &recorder{header: http.Header{}, code: http.StatusOK}
	t.next.ServeHTTP(rec, r)
	if rec.code < http.StatusInternalServerError && !rec.tooLarge {
		result.Reply = broker.ReplyOK
		result.Value = rec
	}
	return result
}

// CheckHealth implements broker.Transport: handlers are not checked.
func (t *handlerTransport) CheckHealth(_ string, done func(broker.Result)) {
	go done(broker.Result{Err: &broker.AttemptError{Err: errNotChecked}})
}

// CloseIdle implements broker.Transport.
func (t *handlerTransport) CloseIdle(string) {}

// begin reports whether the handler is to be called: not once the attempt was stopped.
func (a *attempt) begin() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.begun = !a.over
	return a.begun
}

// finish reports whether the result counts: not once the attempt was stopped.
func (a *attempt) finish() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := !a.over
	a.over = true
	return counts
}

// Stop implements broker.Handle. A handler that has begun may have run; no other begins before it returns.
func (a *attempt) Stop() broker.Progress {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.over = true
	a.cancel()
	if a.begun {
		return broker.FullyWritten
	}
	return broker.NotConnected
}

// StopSending implements broker.Handle. A handler's own sending ends with its context, at the deadline at the latest.
func (a *attempt) StopSending() {}

// CancelUnlessWritten implements broker.Handle. A handler runs from its start on, so that there is nothing left to bar.
func (a *attempt) CancelUnlessWritten() {}
