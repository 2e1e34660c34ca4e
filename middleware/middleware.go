// Package middleware puts the broker's core in front of net/http handlers. The core decides when a request runs and at
// which storage node. A handler gets the node from NodeFromContext.
//
// Rule: the handler runs at most once at a time for a request, and more than once in total only if the core may retry
// the request. The handler's answer is recorded and is sent to the client once it is final. A rejected request is
// answered with 503 and Retry-After. A failed request is answered with 504 if its timeout has passed, and otherwise
// with 502: it may or may not have run.
//
// State: the body and the recorded answer of each open request, in memory.
//
// Owner: the HTTP server's goroutine owns a request. Each attempt has its own goroutine, which ends with the handler.
// The attempt's context is canceled when the core stops the attempt or the client disconnects.
//
// Units: body sizes are in bytes. Retry-After is in whole seconds, rounded up.
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
	// maxBody is the maximum size of a request body in bytes. Bodies are kept for retries. With a smaller value, larger
	// requests would be answered with 413. With a larger value, clients could make the broker use more memory.
	maxBody = 64 << 10
	// maxAnswer is the maximum size of a handler's answer in bytes. Answers are kept until they are final. With a
	// smaller value, larger answers would fail with 502. With a larger value, a burst of large answers would use more
	// memory.
	maxAnswer = 1 << 20
)

// Classify converts an HTTP request to a request of the core. The middleware sets Message and Transport. If Classify
// returns an error, the request is answered with 400 and the error's text.
type Classify func(*http.Request) (*broker.Request, error)

// Node is the storage node that the core chose for an attempt.
type Node struct {
	Name    string
	Address string
}

type attemptKey struct{}

// NodeFromContext returns the node of the attempt to which a handler's context belongs.
func NodeFromContext(ctx context.Context) (Node, bool) {
	a, ok := ctx.Value(attemptKey{}).(*attempt)
	if !ok {
		return Node{}, false
	}
	return a.node, true
}

// MarkNotExecuted reports to the core that the attempt had no effect. The core may then retry the request at another
// node even if the request is not idempotent. A handler calls MarkNotExecuted if, for example, its node refused the
// connection.
func MarkNotExecuted(ctx context.Context) {
	if a, ok := ctx.Value(attemptKey{}).(*attempt); ok {
		a.notExecuted.Store(true)
	}
}

// New returns a middleware that submits requests to a running loop.
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
