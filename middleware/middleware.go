// Package middleware puts the broker's core before net/http handlers. The core decides when a request runs and for
// which storage node; a handler finds that node with NodeFromContext.
//
// Rule: a handler runs at most once at a time for a request, and again only where the core may retry it. Its answer
// is recorded and goes to the client once it is final. A request that is rejected is answered 503 with Retry-After,
// one without an answer in time 504, one that may have run without an answer 502.
//
// State: body and recorded answer of each request, in memory, as long as the request is open.
//
// Owner: the goroutine of the HTTP server owns a request; each attempt has a goroutine of its own, which ends with
// its handler. The attempt's context is cancelled when the core stops it, and when the client disconnects.
//
// Units: bodies are bytes; Retry-After is whole seconds, rounded up.
package middleware

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"junctionwharf/broker"
)

const (
	// maxBody is in bytes, held for a retry. If it were lower, larger requests would be answered 413; if it were
	// higher, clients could make the broker hold more memory.
	maxBody = 64 << 10
	// maxAnswer is in bytes of a handler's answer, held until it is final. If it were lower, larger answers would fail
	// with 502; if it were higher, a burst of them would take more memory.
	maxAnswer = 1 << 20
)

// Classify turns an HTTP request into the core's terms. Message and Transport are set by the middleware. An error
// answers the request as bad.
type Classify func(*http.Request) (*broker.Request, error)

// Node is the storage node that the core chose for an attempt.
type Node struct {
	Name    string
	Address string
}

type attemptKey struct{}

// NodeFromContext returns the node of the attempt that a handler runs.
func NodeFromContext(ctx context.Context) (Node, bool) {
	a, ok := ctx.Value(attemptKey{}).(*attempt)
	if !ok {
		return Node{}, false
	}
	return a.node, true
}

// MarkNotExecuted tells the core that the attempt has had no effect, so that even a request that is not idempotent
// may be retried at another node. A handler calls it when, say, its node refused the connection.
func MarkNotExecuted(ctx context.Context) {
	if a, ok := ctx.Value(attemptKey{}).(*attempt); ok {
		a.notExecuted.Store(true)
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
	request, err := classify(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "the body can't be read or is too large", http.StatusRequestEntityTooLarge)
		return
	}
	request.Transport = &handlerTransport{next: next, request: r, body: body}
	request.Message = nil
	submittedAt := time.Now()
	responses := make(chan broker.Response, 1)
	id := loop.Submit(request, func(response broker.Response) { responses <- response })
	select {
	case response := <-responses:
		late := time.Since(submittedAt) >= request.Timeout.Duration()
		writeResponse(w, response, late)
	case <-r.Context().Done():
		loop.Cancel(id)
	}
}

// writeResponse writes a final answer.
func writeResponse(w http.ResponseWriter, response broker.Response, late bool) {
	switch {
	case response.Verdict == broker.Served:
		response.Value.(*recorder).copyTo(w)
	case response.Verdict == broker.Rejected:
		seconds := max(1, (response.RetryAfter+broker.Second-1)/broker.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
		http.Error(w, "busy", http.StatusServiceUnavailable)
	case late:
		http.Error(w, "no answer in time", http.StatusGatewayTimeout)
	default:
		http.Error(w, "failed: it may or may not have run", http.StatusBadGateway)
	}
}
