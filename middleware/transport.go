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

// errNotChecked is the result of every health check, because the middleware does not know the nodes behind handlers.
var errNotChecked = errors.New("HTTP handlers do not support health checks")

// handlerTransport is the transport of one HTTP request. An attempt is a run of the next handler. running serializes
// the attempts: an attempt that was stopped but has not returned yet delays the next.
type handlerTransport struct {
	next    http.Handler
	request *http.Request
	body    []byte
	running sync.Mutex
}

// attempt is a run of the handler. The goroutine that Start starts owns it. mu guards begun and over, which Stop
// accesses on the loop's goroutine.
type attempt struct {
	node        Node
	cancel      context.CancelFunc
	notExecuted atomic.Bool

	mu    sync.Mutex
	begun bool // the handler was called
	over  bool // the handler has returned, or the attempt was stopped
}

// Start implements broker.Transport.
func (t *handlerTransport) Start(a broker.Attempt, done func(broker.Result)) broker.Handle {
	// The context has no deadline, because the core ends the attempt in time. With a deadline, a handler could return
	// early without having done its work, and its answer would be taken as final.
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
		if p := recover(); p != nil { // a panic in a handler ends only its own attempt
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

// CheckHealth implements broker.Transport. Health checks of handlers always fail.
func (t *handlerTransport) CheckHealth(_ string, done func(broker.Result)) {
	go done(broker.Result{Err: &broker.AttemptError{Err: errNotChecked}})
}

// CloseIdle implements broker.Transport.
func (t *handlerTransport) CloseIdle(string) {}

// begin reports whether the handler may be called. It returns false if the attempt was stopped.
func (a *attempt) begin() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.begun = !a.over
	return a.begun
}

// finish reports whether the handler's result is used. It returns false if the attempt was stopped.
func (a *attempt) finish() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := !a.over
	a.over = true
	return counts
}

// Stop implements broker.Handle. If the handler was called, the request counts as fully written, since it may have run.
// The next attempt's handler is called only after this one has returned.
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

// StopSending implements broker.Handle. It does nothing: what a handler itself sends ends when the handler's context is
// canceled, at the deadline at the latest.
func (a *attempt) StopSending() {}

// CancelUnlessWritten implements broker.Handle. It does nothing: a handler that was called counts as fully written.
func (a *attempt) CancelUnlessWritten() {}
