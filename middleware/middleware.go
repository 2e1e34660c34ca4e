// Package middleware puts the broker's core before net/http handlers. The core decides when a request runs
// and for which storage node; a handler finds that node with NodeFromContext.
package middleware

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"junctionwharf/broker"
	"junctionwharf/scheduler"
)

const (
	maxBody   = 64 << 10 // bytes of a request's body, held for another attempt
	maxAnswer = 1 << 20  // bytes of a handler's answer, held until it is final
)

// Classify turns an HTTP request into the core's terms. Message and Via are set by the middleware. An
// error answers the request as bad.
type Classify func(*http.Request) (*broker.Request, error)

// Node is the storage node that the core chose for an attempt.
type Node struct{ Name, Address string }

type attemptKey struct{}

// NodeFromContext returns the node of the attempt that a handler runs.
func NodeFromContext(ctx context.Context) (Node, bool) {
	a, ok := ctx.Value(attemptKey{}).(*attempt)
	if !ok {
		return Node{}, false
	}
	return a.node, true
}

// MarkNotExecuted tells the core that the attempt has had no effect, so that even an unsafe request may go elsewhere.
// A handler calls it when, say, its node refused the connection.
func MarkNotExecuted(ctx context.Context) {
	if a, ok := ctx.Value(attemptKey{}).(*attempt); ok {
		a.notRun.Store(true)
	}
}

// New returns a middleware over a running loop.
func New(loop *broker.Loop, classify Classify) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			serve(loop, classify, next, w, r)
		})
	}
}

func serve(loop *broker.Loop, classify Classify, next http.Handler, w http.ResponseWriter, r *http.Request) {
	req, err := classify(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "the body can't be read or is too large", http.StatusRequestEntityTooLarge)
		return
	}
	req.Transport, req.Message = &runner{next: next, request: r, body: body}, nil
	began, finals := time.Now(), make(chan broker.Response, 1)
	id := loop.Submit(req, func(f broker.Response) { finals <- f })
	select {
	case f := <-finals:
		answer(w, f, time.Since(began) >= req.Timeout.Duration())
	case <-r.Context().Done():
		loop.Cancel(id)
	}
}

// answer words a final answer.
func answer(w http.ResponseWriter, f broker.Response, late bool) {
	switch {
	case f.Verdict == broker.Served:
		f.Value.(*recorder).copyTo(w)
	case f.Verdict == broker.Rejected:
		after := max(1, (f.RetryAfter+broker.Second-1)/broker.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(int64(after), 10))
		http.Error(w, "busy", http.StatusServiceUnavailable)
	case late:
		http.Error(w, "no answer in time", http.StatusGatewayTimeout)
	default:
		http.Error(w, "failed: it may or may not have run", http.StatusBadGateway)
	}
}

// runner is the transport of one HTTP request: an attempt is a run of the next handler. turn keeps attempts
// apart: one that was stopped but has not returned yet holds up the next.
type runner struct {
	next    http.Handler
	request *http.Request
	body    []byte
	turn    sync.Mutex
}

type attempt struct {
	node   Node
	cancel context.CancelFunc
	notRun atomic.Bool

	mu    sync.Mutex
	begun bool
	over  bool
}

// Start implements broker.Transport.
func (t *runner) Start(a broker.Attempt, done func(broker.Result)) broker.Handle {
	// The core ends the attempt in time. A deadline of the context's own could come first, and what a handler
	// then returns empty-handed would pass for its answer.
	ctx, cancel := context.WithCancel(t.request.Context())
	run := &attempt{node: Node{Name: a.Node, Address: a.Address}, cancel: cancel}
	go func() {
		defer cancel()
		t.turn.Lock()
		defer t.turn.Unlock()
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

func (t *runner) run(ctx context.Context, a *attempt) (result broker.Result) {
	result = broker.Result{Reply: broker.ReplyError, Load: scheduler.NoLoadReport}
	defer func() {
		if p := recover(); p != nil { // a handler's fault ends its request only
			result.Err = &broker.AttemptError{Progress: broker.FullyWritten, Err: fmt.Errorf("panic: %v", p)}
		}
		if a.notRun.Load() {
			result = broker.Result{Reply: broker.ReplyRejected, Load: scheduler.NoLoadReport}
		}
	}()
	r := t.request.Clone(ctx)
	r.Body = io.NopCloser(bytes.NewReader(t.body))
	rec := &recorder{header: http.Header{}, code: http.StatusOK}
	t.next.ServeHTTP(rec, r)
	if rec.code < http.StatusInternalServerError && !rec.full {
		result.Reply, result.Value = broker.ReplyOK, rec
	}
	return result
}

// Probe implements broker.Transport: handlers are not probed.
func (t *runner) Probe(_ string, done func(broker.Result)) {
	go done(broker.Result{Err: &broker.AttemptError{Err: errors.New("handlers are not probed")}})
}

// CloseIdle implements broker.Transport.
func (t *runner) CloseIdle(string) {}

func (a *attempt) begin() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.begun = !a.over
	return a.begun
}

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

// recorder holds a handler's answer until it is final.
type recorder struct {
	header http.Header
	code   int
	wrote  bool
	body   bytes.Buffer
	full   bool
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(code int) {
	if !r.wrote && code >= http.StatusOK {
		r.code, r.wrote = code, true
	}
}

// Write implements http.ResponseWriter.
func (r *recorder) Write(p []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	if r.body.Len()+len(p) > maxAnswer {
		r.full = true
		return 0, errors.New("the answer is too large")
	}
	return r.body.Write(p)
}

func (r *recorder) copyTo(w http.ResponseWriter) {
	for name, values := range r.header {
		w.Header()[name] = values
	}
	w.WriteHeader(r.code)
	w.Write(r.body.Bytes())
}
